// Package gtpipe implements an in-memory network. It connects dialers and
// listeners of one process without sockets. Since nothing in it waits for the
// operating system, nodes can run on it under a test clock.
//
// # Usage
//
//	network := &gtpipe.Network{}
//	ln, err := network.Listen("10.0.0.1:80")
//	conn, err := network.Dial(ctx, "10.0.0.1:80")
//
// Addresses are arbitrary strings and are not resolved. Connections behave like
// TCP connections: bytes arrive in order, a reader gets io.EOF after the last
// byte of a closed peer, and the first write to a closed peer is lost without an
// error.
package gtpipe

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
)

// maxBacklog is the maximum number of connections that wait to be accepted at an
// address.
const maxBacklog = 1024

// basePort is the base of the port numbers that NewAddress returns.
const basePort = 10000

// Network is an in-memory network. Its zero value is ready for use.
type Network struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	portOffset int
}

// NewAddress returns an address that it has not returned before.
func (n *Network) NewAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.portOffset++
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(basePort+n.portOffset))
}

// Listen returns a listener for an address. It fails with EADDRINUSE while
// another listener uses the address.
func (n *Network) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "pipe", Addr: address(addr), Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{network: n, addr: address(addr), backlog: make(chan net.Conn, maxBacklog), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to an address. It fails with ECONNREFUSED if there is no listener
// or its backlog is full.
func (n *Network) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Addr: address(addr), Err: err}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	client, server := Pair(address("dialer"), address(addr))
	if l := n.listeners[addr]; l != nil && l.enqueue(server) {
		return client, nil
	}
	return nil, &net.OpError{Op: "dial", Net: "pipe", Addr: address(addr), Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}

// remove frees the address of a listener.
func (n *Network) remove(l *listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[string(l.addr)] == l {
		delete(n.listeners, string(l.addr))
	}
}

// address is the address of one end of a connection.
type address string

// Network returns the name of the network type.
func (a address) Network() string { return "pipe" }

// String returns the address as passed to Listen or Dial.
func (a address) String() string { return string(a) }

// listener accepts the connections to one address.
type listener struct {
	network   *Network
	addr      address
	backlog   chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// enqueue adds a connection to the backlog. It returns false if the listener is
// closed or the backlog is full.
func (l *listener) enqueue(c net.Conn) bool {
	select {
	case <-l.closed:
		return false
	default:
	}
	select {
	case l.backlog <- c:
		return true
	default:
		return false
	}
}

// Accept waits for the next connection and returns it.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "pipe", Addr: l.addr, Err: net.ErrClosed}
	}
}

// Close closes the listener and the connections that were not accepted yet.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		l.network.remove(l)
		close(l.closed)
		for {
			select {
			case c := <-l.backlog:
				_ = c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return l.addr }
