package gtcluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"godwittide/io/connection/gtpipe"
)

// Net opens and accepts the connections of a cluster. Its zero value uses
// TCP on loopback.
type Net struct {
	// Dial opens a connection to an address; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Listen listens on an address; nil means TCP.
	Listen func(addr string) (net.Listener, error)
	// NewAddress returns a free address; nil means FreeAddress.
	NewAddress func() string
}

// InMemory returns a Net on an in-memory network, on which a cluster can run
// under a test clock.
func InMemory(n *gtpipe.Network) Net {
	return Net{Dial: n.Dial, Listen: n.Listen, NewAddress: n.NewAddress}
}

// Loopback returns a Net that uses TCP on loopback. It keeps each port that it
// chooses bound until the port is first listened on, so that no other process
// takes the port in between.
func Loopback() Net {
	ports := &heldPorts{listeners: map[string]net.Listener{}}
	return Net{Listen: ports.listen, NewAddress: ports.address}
}

// heldPorts holds the listeners of ports that were chosen and aren't in use yet,
// by address.
type heldPorts struct {
	mu        sync.Mutex
	listeners map[string]net.Listener
}

func (h *heldPorts) address() string {
	ln := listenOnFreePort()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners[ln.Addr().String()] = ln
	return ln.Addr().String()
}

func (h *heldPorts) listen(addr string) (net.Listener, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ln := h.listeners[addr]; ln != nil {
		delete(h.listeners, addr)
		return ln, nil
	}
	return net.Listen("tcp", addr)
}

// Connect opens a connection to an address.
func (n Net) Connect(ctx context.Context, addr string) (net.Conn, error) {
	if n.Dial != nil {
		return n.Dial(ctx, addr)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// ListenOnFreeAddress listens on a free address.
func (n Net) ListenOnFreeAddress() (net.Listener, error) { return n.listen(n.address()) }

func (n Net) listen(addr string) (net.Listener, error) {
	if n.Listen != nil {
		return n.Listen(addr)
	}
	return net.Listen("tcp", addr)
}

func (n Net) address() string {
	if n.NewAddress != nil {
		return n.NewAddress()
	}
	return FreeAddress()
}

// The ports that FreeAddress chooses lie below the range that operating systems
// use for outgoing connections, so that no outgoing connection takes a port
// between its choice and its use.
const (
	firstFreePort = 10000
	freePortCount = 20000
)

var nextPortOffset atomic.Int64

// FreeAddress returns a loopback address with a free port, a different one on
// each call. The first port depends on the process ID, so that concurrent
// processes seldom try the same ports.
func FreeAddress() string {
	ln := listenOnFreePort()
	_ = ln.Close()
	return ln.Addr().String()
}

// listenOnFreePort listens on the next port of the range that is free.
func listenOnFreePort() net.Listener {
	nextPortOffset.CompareAndSwap(0, int64(os.Getpid())*997%freePortCount)
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", firstFreePort+nextPortOffset.Add(1)%freePortCount)
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return ln
		}
	}
}
