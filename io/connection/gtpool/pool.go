// Package gtpool pools HTTP/1.1 connections to other nodes and to the local
// backend server. A connection carries one exchange at a time. The client of
// net/http can't be used here: a caller has to know whether any byte of a
// request was written, a connection must be checked with a ping before it
// carries a non-idempotent request, and no request may be retried implicitly.
//
// # Usage
//
//	pool := &gtpool.Pool{Dial: dial, Now: timer.Time, SupportsPing: true, MaxConns: 100}
//	resp, err := pool.Do(ctx, "10.0.0.1:7401", "fast", req, idempotent)
//	defer resp.Body.Close()
//
// Each error has a kind. Full, Refused and StaleConnection mean that no byte of
// the request was written; ConnectionLost, Unresponsive, Deadline and Canceled
// that some were.
package gtpool

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"godwittide/core/connection/gtliveness"
	"godwittide/core/process/gtshard"
	"godwittide/core/request/gtkind"
)

// DialTimeout is the timeout for opening a connection.
const DialTimeout = time.Second

// Pool holds the idle connections, sharded by address and class, and counts the
// open ones by address. Its exported fields are set before use.
type Pool struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Now returns the time of the timer service.
	Now func() time.Time
	// SupportsPing means that the server responds to pings and sends keep-alives
	// while it handles a request, as nodes do. Without it an idle connection is
	// only reused while it is fresh.
	SupportsPing bool
	// MaxReuseIdle is the longest time that a connection may have been idle and
	// still be reused. If it is 0, reuse depends on the connection's liveness and
	// on pings instead.
	MaxReuseIdle time.Duration
	// IsMismatched reports whether resp is a mismatched response, one to another
	// request than req. It is discarded, and the next response is read. A nil
	// IsMismatched accepts every response.
	IsMismatched func(req *http.Request, resp *http.Response) bool
	// MaxConns is the maximum number of connections to one address, in use and idle.
	MaxConns int
	// ConnLimit returns a further limit on the number of connections to one address,
	// which may change; 0 means none. A nil ConnLimit sets none.
	ConnLimit func() int

	// Hold counts the bytes of the buffers of a new connection, and gives them back with a
	// negative number. A nil Hold counts nothing.
	Hold func(bytes int64)

	idle   gtshard.Map[[]*conn]
	open   gtshard.Map[int]
	closed atomic.Bool
}

// Do sends a request and returns its response once the header has been read.
// The response body must be closed. Idle connections are kept by class and are
// not reused across classes. An idle connection is pinged before it is reused if
// it has been idle for too long; the limit is shorter for a non-idempotent request.
func (p *Pool) Do(ctx context.Context, addr, class string, req *http.Request, idempotent bool) (*http.Response, error) {
	c, err := p.get(ctx, addr, class, idempotent)
	if err != nil {
		return nil, err
	}
	unbind := c.bindContext(ctx)
	resp, err := c.exchange(req)
	if err != nil {
		unbind()
		c.close()
		return nil, p.classify(ctx, c, err)
	}
	resp.Body = &body{
		ReadCloser: resp.Body, conn: c, unbind: unbind, ctx: ctx,
		reusable: !resp.Close && !req.Close, atEOF: resp.Body == http.NoBody || resp.ContentLength == 0,
	}
	return resp, nil
}

// classify wraps an error of an exchange on c with its kind.
func (p *Pool) classify(ctx context.Context, c *conn, err error) error {
	switch {
	case c.written == 0:
		return gtkind.Wrap(err, gtkind.StaleConnection, "send the request to %s: nothing was written", c.addr)
	case ctx.Err() == context.DeadlineExceeded, isTimeout(err) && ctx.Err() == nil && c.deadlinePassed():
		return gtkind.Wrap(err, gtkind.Deadline, "wait for the response of %s", c.addr)
	case ctx.Err() != nil:
		return gtkind.Wrap(err, gtkind.Canceled, "wait for the response of %s", c.addr)
	case isTimeout(err):
		return gtkind.Wrap(err, gtkind.Unresponsive, "wait for a keep-alive or the response of %s: nothing received for %s", c.addr, c.liveness.Idle().Round(time.Millisecond))
	default:
		return gtkind.Wrap(err, gtkind.ConnectionLost, "read the response of %s", c.addr)
	}
}

// isTimeout reports whether err, or an error that it wraps, is a timeout.
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

// get returns an idle connection that may carry the request, or a new one. It
// closes idle connections that are not reusable: also those that the server has closed,
// as one does that restarts, or that have unread bytes.
func (p *Pool) get(ctx context.Context, addr, class string, idempotent bool) (*conn, error) {
	for {
		c := p.popIdle(addr, class)
		if c == nil {
			return p.dial(ctx, addr, class)
		}
		if !c.isReusable() {
			c.close()
			continue
		}
		if p.MaxReuseIdle > 0 {
			if c.liveness.Idle() <= p.MaxReuseIdle {
				return c, nil
			}
			c.close()
			continue
		}
		switch c.liveness.Check(idempotent) {
		case gtliveness.Use:
			return c, nil
		case gtliveness.Ping:
			if p.SupportsPing && c.ping(ctx) == nil {
				return c, nil
			}
		case gtliveness.Drop:
		}
		c.close()
	}
}

// popIdle removes and returns the most recently used idle connection. It returns
// nil if there is none.
func (p *Pool) popIdle(addr, class string) *conn {
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

// pushIdle makes a connection available for reuse. If the pool has been closed
// in the meantime, the connection is closed.
func (p *Pool) pushIdle(c *conn) {
	key := c.addr + " " + c.class
	p.idle.Do(key, func(m map[string][]*conn) { m[key] = append(m[key], c) })
	if p.closed.Load() {
		p.Close()
	}
}

// dial opens a connection. It fails with Full if all connections that are allowed
// are in use.
func (p *Pool) dial(ctx context.Context, addr, class string) (*conn, error) {
	if !p.reserve(addr) {
		return nil, gtkind.New(gtkind.Full, "all %d connections to %s are in use", p.maxConns(), addr)
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	nc, err := p.Dial(ctx, addr)
	if err != nil {
		p.release(addr)
		return nil, gtkind.Wrap(err, gtkind.Refused, "connect to %s", addr)
	}
	return newConn(p, nc, addr, class), nil
}

// reserve counts a new connection to addr and reports whether it may be opened.
// If the limit is reached, it closes idle connections of any class to make room: several
// if the limit has fallen.
func (p *Pool) reserve(addr string) bool {
	if p.tryReserve(addr) {
		return true
	}
	for _, class := range []string{"fast", "normal", ""} {
		for c := p.popIdle(addr, class); c != nil; c = p.popIdle(addr, class) {
			c.close()
			if p.tryReserve(addr) {
				return true
			}
		}
	}
	return false
}

// maxConns returns the number of connections to one address that are allowed now.
func (p *Pool) maxConns() int {
	if p.ConnLimit != nil {
		if limit := p.ConnLimit(); limit > 0 {
			return min(limit, p.MaxConns)
		}
	}
	return p.MaxConns
}

// tryReserve counts a new connection to addr and reports true, unless as many as
// are allowed are open.
func (p *Pool) tryReserve(addr string) bool {
	ok, limit := false, p.maxConns()
	p.open.Do(addr, func(m map[string]int) {
		if m[addr] < limit {
			m[addr]++
			ok = true
		}
	})
	return ok
}

// hold counts the buffers of a connection.
func (p *Pool) hold(bytes int64) {
	if p.Hold != nil {
		p.Hold(bytes)
	}
}

// release removes one connection to addr from the count.
func (p *Pool) release(addr string) {
	p.open.Do(addr, func(m map[string]int) {
		if m[addr]--; m[addr] <= 0 {
			delete(m, addr)
		}
	})
}

// OpenConns returns the number of connections to addr, in use and idle.
func (p *Pool) OpenConns(addr string) int {
	n, _ := p.open.Get(addr)
	return n
}

// CloseExpired closes connections that have been idle for longer than
// gtliveness.IdleTimeout.
func (p *Pool) CloseExpired() {
	p.closeMatching(func(c *conn) bool { return c.liveness.Idle() > gtliveness.IdleTimeout })
}

// CloseIdle closes the idle connections to addr.
func (p *Pool) CloseIdle(addr string) {
	p.closeMatching(func(c *conn) bool { return c.addr == addr })
}

// Close closes all idle connections. Those in use are closed at the end of
// their exchange.
func (p *Pool) Close() {
	p.closed.Store(true)
	p.closeMatching(func(*conn) bool { return true })
}

// closeMatching closes the idle connections that match. It closes them outside the
// shard locks.
func (p *Pool) closeMatching(match func(*conn) bool) {
	var closing []*conn
	p.idle.Each(func(m map[string][]*conn) {
		for key, list := range m {
			kept := list[:0]
			for _, c := range list {
				if match(c) {
					closing = append(closing, c)
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
	for _, c := range closing {
		c.close()
	}
}
