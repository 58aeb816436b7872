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
	commands.Register("plant", "Run a node with a fault that the soak test must detect.", &plantCommand{})
}

type plantCommand struct {
	Promise  string `arg:"" help:"Fault: lie (every refusal says 'not run'), twice (sends POSTs twice), mix (puts another caller's name into responses), leave (stops without draining)." enum:"lie,twice,mix,leave"`
	Settings string `help:"Settings file." required:"" type:"existingfile" placeholder:"FILE"`
}

// Run runs the node until the command is interrupted or terminated.
func (c *plantCommand) Run(env gtcommand.Env) error {
	signal.Ignore(syscall.SIGHUP)
	cfg, err := gtsettings.Load(c.Settings)
	if err != nil {
		return err
	}
	node := &gtnode.Node{Settings: cfg, Log: gtlog.New(os.Stdout, zerolog.InfoLevel, cfg.Node.Instance)}
	faults[c.Promise](env.Context(), node)
	node.Init()
	return node.Run(env.Context())
}

// faults maps the name of each fault to a function that adds it to a node
// through the node's function fields.
var faults = map[string]func(ctx context.Context, n *gtnode.Node){
	"lie": func(_ context.Context, n *gtnode.Node) {
		n.Dialect.ErrorWriter = func(w http.ResponseWriter, _ error) {
			gthop.WriteError(w, gtkind.New(gtkind.Full, "planted fault: the request may have run"))
		}
	},
	"twice": func(_ context.Context, n *gtnode.Node) {
		n.DialBackend = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dialTCP(ctx, addr)
			return &faultyConn{Conn: conn, beforeWrite: func(b []byte) { resendPOST(addr, b) }}, err
		}
	},
	"mix": func(_ context.Context, n *gtnode.Node) {
		n.DialBackend = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dialTCP(ctx, addr)
			return &faultyConn{Conn: conn, afterRead: func(b []byte) { copy(b, bytes.ReplaceAll(b, []byte(" c1."), []byte(" c2."))) }}, err
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

// resendPOST sends b again on a new connection if it begins a POST, and discards
// the response.
func resendPOST(addr string, b []byte) {
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

// faultyConn is a connection that calls afterRead with the bytes of each read,
// and beforeWrite with the bytes of each write.
type faultyConn struct {
	net.Conn
	afterRead   func(b []byte)
	beforeWrite func(b []byte)
}

// Read reads from the connection and then calls afterRead.
func (c *faultyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.afterRead != nil {
		c.afterRead(b[:n])
	}
	return n, err
}

// Write calls beforeWrite and then writes to the connection.
func (c *faultyConn) Write(b []byte) (int, error) {
	if c.beforeWrite != nil {
		c.beforeWrite(b)
	}
	return c.Conn.Write(b)
}
