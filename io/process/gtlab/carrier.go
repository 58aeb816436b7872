package gtlab

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"godwittide/io/connection/gtpipe"
)

// Net carries the connections of a lab. Its zero value is TCP.
type Net struct {
	// Dial opens a connection to an address.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Listen takes connections at an address.
	Listen func(addr string) (net.Listener, error)
	// Address returns an address that is free.
	Address func() string
}

// Over returns connections over a network in memory, on which a lab can run
// under a test clock.
func Over(n *gtpipe.Network) Net {
	return Net{Dial: n.Dial, Listen: n.Listen, Address: n.NewAddress}
}

// Loopback returns connections by TCP on loopback. A port is held from the
// moment when it is chosen until it is first listened on.
func Loopback() Net {
	h := &held{listeners: map[string]net.Listener{}}
	return Net{Listen: h.listen, Address: h.address}
}

// held keeps the listeners of ports that nobody uses yet.
type held struct {
	mu        sync.Mutex
	listeners map[string]net.Listener
}

func (h *held) address() string {
	ln := listenFree()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners[ln.Addr().String()] = ln
	return ln.Addr().String()
}

func (h *held) listen(addr string) (net.Listener, error) {
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

// Open takes connections at a free address.
func (n Net) Open() (net.Listener, error) { return n.listen(n.address()) }

func (n Net) listen(addr string) (net.Listener, error) {
	if n.Listen != nil {
		return n.Listen(addr)
	}
	return net.Listen("tcp", addr)
}

func (n Net) address() string {
	if n.Address != nil {
		return n.Address()
	}
	return FreeAddress()
}

// The ports that FreeAddress hands out lie below those that systems give to
// outgoing connections, so that none is taken between its choice and its use.
const (
	firstPort = 10000
	ports     = 20000
)

var nextPort atomic.Int64

// FreeAddress returns a loopback address with a free port, another one at each
// call. Processes that run side by side begin at different ports.
func FreeAddress() string {
	ln := listenFree()
	_ = ln.Close()
	return ln.Addr().String()
}

func listenFree() net.Listener {
	nextPort.CompareAndSwap(0, int64(os.Getpid())*997%ports)
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%ports)
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return ln
		}
	}
}
