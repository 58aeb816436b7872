// Command godwitstand runs stand-ins for what surrounds the system, and its
// measurements.
//
// # Usage
//
//	godwitstand store --listen 127.0.0.1:2379
//	godwitstand backend --listen 127.0.0.1:9000 --name b1
//	godwitstand measure latency
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"godwittide/io/process/gtcommand"
)

// commands holds every command; each file of this folder adds its own.
var commands gtcommand.List

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(gtcommand.Main(ctx, "godwitstand", "Stand-ins and measurements for godwittide.", commands, os.Args[1:]))
}
