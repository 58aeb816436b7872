// Package gtpool keeps HTTP/1.1 connections to other nodes and to the backend
// server, one exchange at a time on each. It exists beside the client of
// net/http because it has to know whether a byte of a request was written, to
// prove a connection alive before a request that may not be repeated, and
// never to send anything twice on its own.
//
// # Usage
//
//	pool := &gtpool.Pool{Dial: dial, Now: timer.Time, Ping: true, Max: 100}
//	resp, err := pool.Do(ctx, "10.0.0.1:7401", "fast", req, idempotent)
//	defer resp.Body.Close()
//
// The error has a kind: Refused or NotAlive when nothing was written, Cut or
// Silent when something was.
package gtpool

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"godwittide/core/connection/gtlive"
	"godwittide/core/process/gtshard"
	"godwittide/core/request/gtkind"
)

// DialLimit bounds the time to open a connection.
const DialLimit = time.Second

// Pool keeps idle connections, sharded by address and class. Its exported
// fields are set before use.
type Pool struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Now reads the timer service's clock.
	Now func() time.Time
	// Ping says that the other end answers pings and sends signs of life while
	// it works, as nodes do. Without it an idle connection that is not fresh
	// is replaced.
	Ping bool
	// Quiet says that the other end sends nothing between answers, so that an
	// idle connection with bytes to read, or that was closed, is replaced, and
	// any other may be used for as long as Quiet.
	Quiet time.Duration
	// Foreign says whether an answer belongs to another request than req, so
	// that the one after it is waited for; nil means never.
	Foreign func(req *http.Request, resp *http.Response) bool
	// Max is the most connections to one address, in use and idle.
	Max int

	idle   gtshard.Map[[]*conn]
	open   gtshard.Map[int]
	closed atomic.Bool
}

// Do sends a request and returns its answer up to the head. The body must be
// closed. Connections of different classes are kept apart.
func (p *Pool) Do(ctx context.Context, addr, class string, req *http.Request, idempotent bool) (*http.Response, error) {
	c, err := p.get(ctx, addr, class, idempotent)
	if err != nil {
		return nil, err
	}
	stop := c.guard(ctx)
	resp, err := c.exchange(req)
	if err != nil {
		stop()
		c.close()
		return nil, p.explain(ctx, c, err)
	}
	resp.Body = &body{
		ReadCloser: resp.Body, conn: c, stop: stop, ctx: ctx,
		keep: !resp.Close && !req.Close, end: resp.Body == http.NoBody || resp.ContentLength == 0,
	}
	return resp, nil
}

// explain gives an error of an exchange its kind.
func (p *Pool) explain(ctx context.Context, c *conn, err error) error {
	switch {
	case c.written == 0:
		return gtkind.Wrap(err, gtkind.NotAlive, "send to %s, nothing was written", c.addr)
	case ctx.Err() == context.DeadlineExceeded, isTimeout(err) && ctx.Err() == nil && c.late():
		return gtkind.Wrap(err, gtkind.Deadline, "wait for the answer of %s", c.addr)
	case ctx.Err() != nil:
		return gtkind.Wrap(err, gtkind.Canceled, "wait for the answer of %s", c.addr)
	case isTimeout(err):
		return gtkind.Wrap(err, gtkind.Silent, "wait for a sign of life of %s", c.addr)
	default:
		return gtkind.Wrap(err, gtkind.Cut, "read the answer of %s", c.addr)
	}
}

func isTimeout(err error) bool {
	for err != nil {
		if t, ok := err.(net.Error); ok && t.Timeout() {
			return true
		}
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return false
		}
		err = u.Unwrap()
	}
	return false
}

// get returns an idle connection that may carry the request, or a new one.
func (p *Pool) get(ctx context.Context, addr, class string, idempotent bool) (*conn, error) {
	for {
		c := p.pop(addr, class)
		if c == nil {
			return p.dial(ctx, addr, class)
		}
		if p.Quiet > 0 {
			if c.live.Idle() <= p.Quiet && c.quiet() {
				return c, nil
			}
			c.close()
			continue
		}
		switch c.live.Check(idempotent) {
		case gtlive.Use:
			return c, nil
		case gtlive.Ping:
			if p.Ping && c.ping(ctx) == nil {
				return c, nil
			}
		case gtlive.Drop:
		}
		c.close()
	}
}

func (p *Pool) pop(addr, class string) *conn {
	key := addr + " " + class
	var c *conn
	p.idle.Do(key, func(m map[string][]*conn) {
		list := m[key]
		if len(list) == 0 {
			return
		}
		c = list[len(list)-1]
		list[len(list)-1] = nil
		m[key] = list[:len(list)-1]
	})
	return c
}

func (p *Pool) push(c *conn) {
	key := c.addr + " " + c.class
	p.idle.Do(key, func(m map[string][]*conn) { m[key] = append(m[key], c) })
	if p.closed.Load() {
		p.Close()
	}
}

func (p *Pool) dial(ctx context.Context, addr, class string) (*conn, error) {
	if !p.reserve(addr) {
		return nil, gtkind.New(gtkind.Full, "all %d connections to %s are in use", p.Max, addr)
	}
	ctx, cancel := context.WithTimeout(ctx, DialLimit)
	defer cancel()
	nc, err := p.Dial(ctx, addr)
	if err != nil {
		p.release(addr)
		return nil, gtkind.Wrap(err, gtkind.Refused, "connect to %s", addr)
	}
	return newConn(p, nc, addr, class), nil
}

// reserve takes a place among the connections to addr. When none is left, an
// idle connection of any class gives way.
func (p *Pool) reserve(addr string) bool {
	if p.take(addr) {
		return true
	}
	for _, class := range []string{"fast", "normal", ""} {
		if c := p.pop(addr, class); c != nil {
			c.close()
			return p.take(addr)
		}
	}
	return false
}

func (p *Pool) take(addr string) bool {
	ok := false
	p.open.Do(addr, func(m map[string]int) {
		if m[addr] < p.Max {
			m[addr]++
			ok = true
		}
	})
	return ok
}

func (p *Pool) release(addr string) {
	p.open.Do(addr, func(m map[string]int) {
		if m[addr]--; m[addr] <= 0 {
			delete(m, addr)
		}
	})
}

// Open returns the number of connections to addr, in use and idle.
func (p *Pool) Open(addr string) int {
	n, _ := p.open.Get(addr)
	return n
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep() {
	p.drop(func(c *conn) bool { return c.live.Idle() > gtlive.MaxIdle })
}

// Forget closes the idle connections to addr.
func (p *Pool) Forget(addr string) {
	p.drop(func(c *conn) bool { return c.addr == addr })
}

// Close closes all idle connections, and each other one when its exchange is
// over.
func (p *Pool) Close() {
	p.closed.Store(true)
	p.drop(func(*conn) bool { return true })
}

func (p *Pool) drop(match func(*conn) bool) {
	var old []*conn
	p.idle.Each(func(m map[string][]*conn) {
		for key, list := range m {
			kept := list[:0]
			for _, c := range list {
				if match(c) {
					old = append(old, c)
				} else {
					kept = append(kept, c)
				}
			}
			clear(list[len(kept):])
			m[key] = kept
			if len(kept) == 0 {
				delete(m, key)
			}
		}
	})
	for _, c := range old {
		c.close()
	}
}
