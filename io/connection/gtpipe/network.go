// Package gtpipe is a network in memory. It carries bytes between listeners
// and dialers of one process without a socket, so that real nodes run under a
// test clock: nothing in it waits for the operating system.
//
// # Usage
//
//	network := &gtpipe.Network{}
//	ln, err := network.Listen("10.0.0.1:80")
//	conn, err := network.Dial(ctx, "10.0.0.1:80")
//
// Addresses are plain names; nothing is resolved. Connections follow TCP where
// callers can tell: bytes arrive in order, the end of one side is read after
// its last byte, and what is written to an end that has just gone is lost
// without an error.
package gtpipe

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
)

// backlog is the number of connections that wait to be accepted at an address.
const backlog = 1024

// firstPort is the first port that Address hands out.
const firstPort = 10000

// Network is one network. Its zero value is ready for use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	ports     int
}

// Address returns an address that nobody has been given before.
func (n *Network) Address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports++
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+n.ports))
}

// Listen takes connections at an address. It fails with EADDRINUSE while
// another listener has the address.
func (n *Network) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "pipe", Addr: address(addr), Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{network: n, addr: address(addr), queue: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to an address. It fails with ECONNREFUSED if nobody listens.
func (n *Network) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Addr: address(addr), Err: err}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	near, far := Pair(address("dialer"), address(addr))
	if l := n.listeners[addr]; l != nil && l.offer(far) {
		return near, nil
	}
	return nil, &net.OpError{Op: "dial", Net: "pipe", Addr: address(addr), Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}

func (n *Network) forget(l *listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[string(l.addr)] == l {
		delete(n.listeners, string(l.addr))
	}
}

// address is the name of an end.
type address string

// Network returns the name of the kind of network.
func (a address) Network() string { return "pipe" }

// String returns the address as it was given.
func (a address) String() string { return string(a) }

// listener takes the connections of one address.
type listener struct {
	network *Network
	addr    address
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) offer(c net.Conn) bool {
	select {
	case <-l.closed:
		return false
	default:
	}
	select {
	case l.queue <- c:
		return true
	default:
		return false
	}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "pipe", Addr: l.addr, Err: net.ErrClosed}
	}
}

// Close ends the listener, and the connections that nobody has accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.forget(l)
		close(l.closed)
		for {
			select {
			case c := <-l.queue:
				_ = c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return l.addr }
