package main

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/core/request/gtkind"
	"godwittide/io/process/gtcommand"
	"godwittide/io/process/gtlog"
	"godwittide/io/process/gtnode"
	"godwittide/io/process/gtsettings"
	"godwittide/io/request/gthop"
)

func init() {
	commands.Register("plant", "Run a node that breaks a promise, for the soak to find.", &plantCommand{})
}

type plantCommand struct {
	Promise  string `arg:"" help:"What it does: lie (every refusal says 'not run'), twice (sends POSTs twice), mix (spoils answers), leave (stops without draining)." enum:"lie,twice,mix,leave"`
	Settings string `help:"Settings file." required:"" type:"existingfile" placeholder:"FILE"`
}

// Run runs the node until it is asked to stop.
func (c *plantCommand) Run(env gtcommand.Env) error {
	signal.Ignore(syscall.SIGHUP)
	cfg, err := gtsettings.Load(c.Settings)
	if err != nil {
		return err
	}
	node := &gtnode.Node{Settings: cfg, Log: gtlog.New(os.Stdout, zerolog.InfoLevel, cfg.Node.Instance)}
	plants[c.Promise](env.Context(), node)
	node.Init()
	return node.Run(env.Context())
}

// plants spoil a node by its function fields.
var plants = map[string]func(ctx context.Context, n *gtnode.Node){
	"lie": func(_ context.Context, n *gtnode.Node) {
		n.Dialect.WriteError = func(w http.ResponseWriter, _ error) {
			gthop.WriteError(w, gtkind.New(gtkind.Full, "planted: perhaps it ran"))
		}
	},
	"twice": func(_ context.Context, n *gtnode.Node) {
		n.DialBackend = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dialTCP(ctx, addr)
			return &planted{Conn: conn, write: func(b []byte) { again(addr, b) }}, err
		}
	},
	"mix": func(_ context.Context, n *gtnode.Node) {
		n.DialBackend = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dialTCP(ctx, addr)
			return &planted{Conn: conn, read: func(b []byte) { copy(b, bytes.ReplaceAll(b, []byte(" c1."), []byte(" c2."))) }}, err
		}
	},
	"leave": func(ctx context.Context, n *gtnode.Node) {
		n.Middleware = func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if ctx.Err() != nil {
					os.Exit(0)
				}
				next.ServeHTTP(w, r)
			})
		}
	},
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errorx.Decorate(err, "connect to %s", addr)
	}
	return conn, nil
}

// again sends a POST a second time, and forgets its answer.
func again(addr string, b []byte) {
	if !bytes.HasPrefix(b, []byte("POST")) {
		return
	}
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	_, _ = conn.Write(bytes.Clone(b))
	go func() {
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}()
}

// planted is a connection that is spoilt.
type planted struct {
	net.Conn
	read  func(b []byte)
	write func(b []byte)
}

// Read reads, and spoils what came.
func (c *planted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.read != nil {
		c.read(b[:n])
	}
	return n, err
}

// Write writes, and does more than that.
func (c *planted) Write(b []byte) (int, error) {
	if c.write != nil {
		c.write(b)
	}
	return c.Conn.Write(b)
}
