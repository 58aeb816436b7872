// Command godwittide runs a node of the service mesh and has the commands to
// operate the mesh.
//
// # Usage
//
//	godwittide node --settings node.toml
//	godwittide config push --store http://127.0.0.1:2379 conf.d
//	godwittide demo
//
// Exit codes: 0 success, 1 refused or failed, 2 usage error.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"godwittide/io/process/gtcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(gtcommand.Main(ctx, "godwittide", "Nodes of a service mesh, and the commands to operate it.", commands, os.Args[1:]))
}
