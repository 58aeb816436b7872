package main

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/joomcode/errorx"

	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtfake"
)

func init() {
	commands.Register("store", "Run a stand-in for the platform's store.", &storeCommand{})
}

type storeCommand struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:2379" placeholder:"IP:PORT"`
}

// Run serves the store until the command is interrupted or terminated.
func (c *storeCommand) Run(env gtcommand.Env) error {
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errorx.Decorate(err, "listen for the store")
	}
	server := &http.Server{Handler: (&gtfake.Store{}).Handler()}
	stop := context.AfterFunc(env.Context(), func() { _ = server.Close() })
	defer stop()
	env.Printf("store listens on %s; POST /admin/faults sets faults\n", ln.Addr())
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errorx.Decorate(err, "serve the store")
	}
	return nil
}
