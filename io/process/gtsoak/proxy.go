package gtsoak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"godwittide/core/process/gttimer"
)

// way is what a proxy does with the bytes that pass.
type way int

const (
	// pass passes bytes on.
	pass way = iota
	// late passes bytes on after a delay.
	late
	// oneWay passes on only what comes from the side that was connected to.
	oneWay
	// silent passes nothing on; connections from then stay silent for good.
	silent
	// reset ends every connection.
	reset
)

// lateBy is the delay of a late proxy.
const lateBy = 120 * time.Millisecond

// proxy stands before one port of a node, and spoils its connections on demand.
type proxy struct {
	ctx context.Context // that of the day
	to  string

	ln      net.Listener
	mu      sync.Mutex
	way     way
	changed chan struct{}
	pairs   map[*pair]bool
}

// pair is one connection through a proxy.
type pair struct {
	near, far net.Conn
	dead      bool // silent for good
}

func (p *pair) close() { _, _ = p.near.Close(), p.far.Close() }

// open listens on any free port of loopback.
func (p *proxy) open() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.ln, p.changed, p.pairs = ln, make(chan struct{}), map[*pair]bool{}
	go p.run()
	return nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) run() {
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.connect(near)
	}
}

func (p *proxy) connect(near net.Conn) {
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		abort(near)
		return
	}
	c := &pair{near: near, far: far}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	go p.carry(c, far, near, true)
	go p.carry(c, near, far, false)
}

// abort ends a connection by a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// carry copies one direction as the proxy's way allows.
func (p *proxy) carry(c *pair, to, from net.Conn, forth bool) {
	defer func() {
		c.close()
		p.mu.Lock()
		delete(p.pairs, c)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.await(c, forth) {
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

// await waits until bytes may pass. It returns false on a connection that is
// silent for good.
func (p *proxy) await(c *pair, forth bool) bool {
	for {
		p.mu.Lock()
		w, dead, changed := p.way, c.dead, p.changed
		p.mu.Unlock()
		switch {
		case dead:
			return false
		case w == late:
			return gttimer.Sleep(p.ctx, lateBy) == nil
		case w == silent, w == oneWay && forth:
			<-changed
		default:
			return true
		}
	}
}

// set changes the way.
func (p *proxy) set(w way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.dead = c.dead || p.way == silent && w != silent
		if w == reset {
			abort(c.near)
			abort(c.far)
		}
	}
	if w == reset {
		w = pass
	}
	p.way = w
	close(p.changed)
	p.changed = make(chan struct{})
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	_ = p.ln.Close()
	p.set(reset)
}
