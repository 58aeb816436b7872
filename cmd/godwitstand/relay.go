package main

import (
	"io"
	"net"

	"github.com/joomcode/errorx"

	"godwittide/io/process/gtcommand"
)

func init() {
	commands.Register("relay", "Copy bytes between callers and an address, as a lower bound for the cost of a hop.", &relayCommand{})
}

type relayCommand struct {
	Listen string `help:"IP and port to listen on." required:""`
	To     string `help:"IP and port to connect to." required:""`
}

// Run relays connections until the context ends.
func (c *relayCommand) Run(env gtcommand.Env) error {
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errorx.Decorate(err, "listen on %s", c.Listen)
	}
	go func() {
		<-env.Context().Done()
		_ = ln.Close()
	}()
	for {
		client, err := ln.Accept()
		if err != nil {
			return nil
		}
		server, err := net.Dial("tcp", c.To)
		if err != nil {
			_ = client.Close()
			continue
		}
		go copyStream(client, server)
		go copyStream(server, client)
	}
}

// copyStream copies one direction and closes both connections at its end. It
// hides the concrete types from io.Copy, which would splice in the kernel
// instead of reading and writing as a node does.
func copyStream(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	_, _ = io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
}
