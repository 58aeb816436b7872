package gtsoak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"godwittide/core/process/gttimer"
)

// proxyMode determines what a proxy does with the bytes that it forwards.
type proxyMode int

const (
	// modePass forwards all bytes.
	modePass proxyMode = iota
	// modeDelay forwards all bytes after proxyDelay.
	modeDelay
	// modeOneWay forwards only bytes from the server to the client and holds back
	// the others until the mode changes.
	modeOneWay
	// modeBlackhole forwards no bytes. Connections that are open when the mode ends
	// stay blackholed until they are closed.
	modeBlackhole
	// modeReset resets all open connections once, then forwards as modePass.
	modeReset
)

// proxyDelay is the delay in modeDelay.
const proxyDelay = 120 * time.Millisecond

// proxy is a TCP proxy in front of one port of a node, which injects faults into
// the connections.
type proxy struct {
	ctx    context.Context // ends with the soak run
	target string

	ln      net.Listener
	mu      sync.Mutex
	mode    proxyMode
	changed chan struct{}
	conns   map[*proxiedConn]bool
}

// proxiedConn is one connection through a proxy, from the client that connected
// to the server behind the proxy.
type proxiedConn struct {
	client, server net.Conn
	blackholed     bool // bytes are discarded until the connection is closed
}

func (p *proxiedConn) close() { _, _ = p.client.Close(), p.server.Close() }

// listen listens on a free loopback port and starts to accept connections.
func (p *proxy) listen() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.ln, p.changed, p.conns = ln, make(chan struct{}), map[*proxiedConn]bool{}
	go p.acceptLoop()
	return nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) acceptLoop() {
	for {
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.handleConn(client)
	}
}

// handleConn connects to the target and forwards in both directions. If the
// target can't be reached, it resets the client's connection.
func (p *proxy) handleConn(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(client)
		return
	}
	c := &proxiedConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	go p.forward(c, server, client, true)
	go p.forward(c, client, server, false)
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// forward copies the bytes of one direction as the proxy's mode permits. It closes
// both connections when one of them ends.
func (p *proxy) forward(c *proxiedConn, to, from net.Conn, toServer bool) {
	defer func() {
		c.close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.waitToForward(c, toServer) {
				_, _ = io.Copy(io.Discard, from)
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitToForward waits until bytes may be forwarded in the given direction. It
// returns false if they are to be discarded, since the connection is blackholed
// or the run has ended.
func (p *proxy) waitToForward(c *proxiedConn, toServer bool) bool {
	for {
		p.mu.Lock()
		mode, blackholed, changed := p.mode, c.blackholed, p.changed
		p.mu.Unlock()
		switch {
		case blackholed:
			return false
		case mode == modeDelay:
			return gttimer.Sleep(p.ctx, proxyDelay) == nil
		case mode == modeBlackhole, mode == modeOneWay && toServer:
			<-changed
		default:
			return true
		}
	}
}

// setMode changes the mode and wakes up the connections that hold back bytes.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.blackholed = c.blackholed || p.mode == modeBlackhole && mode != modeBlackhole
		if mode == modeReset {
			resetConn(c.client)
			resetConn(c.server)
		}
	}
	if mode == modeReset {
		mode = modePass
	}
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

// close stops listening and resets all connections.
func (p *proxy) close() {
	_ = p.ln.Close()
	p.setMode(modeReset)
}
