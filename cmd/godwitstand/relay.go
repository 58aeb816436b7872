package main

import (
	"io"
	"net"

	"github.com/joomcode/errorx"

	"godwittide/io/process/gtcommand"
)

func init() {
	commands.Register("relay", "Copy bytes between callers and an address: the least that a hop can do.", &relayCommand{})
}

type relayCommand struct {
	Listen string `help:"IP and port to listen on." required:""`
	To     string `help:"IP and port to connect to." required:""`
}

// Run copies until the context ends.
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
		near, err := ln.Accept()
		if err != nil {
			return nil
		}
		far, err := net.Dial("tcp", c.To)
		if err != nil {
			_ = near.Close()
			continue
		}
		go carry(near, far)
		go carry(far, near)
	}
}

// carry copies one direction. It reads and writes, as a node does; the kernel
// does not copy for it.
func carry(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	_, _ = io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
}
