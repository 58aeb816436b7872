// Command godwitstand runs stand-ins for backend servers and the store, soak
// tests and measurements.
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

// commands lists every command; the init function of each file registers its
// own.
var commands gtcommand.List

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(gtcommand.Main(ctx, "godwitstand", "Stand-ins, soak tests and measurements for godwittide.", commands, os.Args[1:]))
}
