package gtpool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"godwittide/core/connection/gtlive"
)

// PingTarget is the target that a node answers pings on.
const PingTarget = "/gt/ping"

// conn is one connection. Only one exchange at a time uses it.
type conn struct {
	pool    *Pool
	nc      net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	addr    string
	class   string
	live    gtlive.State
	written int
	limit   time.Time
	ended   *atomic.Bool
	watched bool
	once    sync.Once
}

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

func newConn(p *Pool, nc net.Conn, addr, class string) *conn {
	c := &conn{pool: p, nc: nc, addr: addr, class: class, live: gtlive.State{Now: p.Now}}
	c.r = bufio.NewReaderSize(c, 4<<10)
	c.w = bufio.NewWriterSize(writer{c}, 4<<10)
	c.live.Heard()
	return c
}

// Read reads from the connection and notes the sign of life.
func (c *conn) Read(b []byte) (int, error) {
	if c.watched {
		silence := time.Now().Add(gtlive.Silence)
		if c.limit.IsZero() || silence.Before(c.limit) {
			c.readUntil(silence)
		}
	}
	n, err := c.nc.Read(b)
	if n > 0 {
		c.live.Heard()
	}
	return n, err
}

// readUntil sets the deadline of reads, unless the context has ended: its end
// may have come just before, and would be lost.
func (c *conn) readUntil(t time.Time) {
	_ = c.nc.SetReadDeadline(t)
	if c.ended.Load() {
		_ = c.nc.SetReadDeadline(past)
	}
}

// writer counts what was written, so that "nothing was written" is known.
type writer struct{ c *conn }

func (w writer) Write(b []byte) (int, error) {
	n, err := w.c.nc.Write(b)
	w.c.written += n
	return n, err
}

// guard makes the end of ctx interrupt reads and writes. The function that it
// returns ends the guard and says whether the connection is still good.
func (c *conn) guard(ctx context.Context) func() bool {
	c.limit, _ = ctx.Deadline()
	_ = c.nc.SetDeadline(c.limit)
	ended := &atomic.Bool{}
	c.ended = ended
	return context.AfterFunc(ctx, func() {
		ended.Store(true)
		_ = c.nc.SetDeadline(past)
	})
}

// late says whether the deadline has passed. The timer of the context may be a
// little later than the connection's.
func (c *conn) late() bool { return !c.limit.IsZero() && !time.Now().Before(c.limit) }

// exchange writes a request and reads the head of its answer. Interim answers
// are signs of life.
func (c *conn) exchange(req *http.Request) (*http.Response, error) {
	c.written = 0
	if err := req.Write(c.w); err != nil {
		return nil, err
	}
	if err := c.w.Flush(); err != nil {
		return nil, err
	}
	c.watched = c.pool.Ping
	defer func() { c.watched = false }()
	for {
		resp, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if c.pool.Foreign != nil && c.pool.Foreign(req, resp) {
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, err
			}
			continue
		}
		c.readUntil(c.limit)
		return resp, nil
	}
}

// ping proves the connection alive.
func (c *conn) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, gtlive.PingLimit)
	defer cancel()
	stop := c.guard(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+c.addr+PingTarget, nil)
	if err != nil {
		return err
	}
	resp, err := c.exchange(req)
	if err != nil {
		return err
	}
	if !stop() || resp.Close {
		return errorx.IllegalState.New("connection to %s is closing", c.addr)
	}
	return nil
}

func (c *conn) close() {
	c.once.Do(func() {
		_ = c.nc.Close()
		c.pool.release(c.addr)
	})
}

// body gives the connection back once the answer has been read to its end.
type body struct {
	io.ReadCloser
	conn *conn
	stop func() bool
	ctx  context.Context
	keep bool
	end  bool
	done sync.Once
}

// Read reads the body. An error other than the end has a kind.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.end = true
	case err != nil:
		err = b.conn.pool.explain(b.ctx, b.conn, err)
	}
	return n, err
}

// Close gives the connection back, or closes it if the answer was not read to
// its end.
func (b *body) Close() error {
	b.done.Do(func() {
		good := b.stop()
		if !b.end || !good || !b.keep || b.conn.r.Buffered() > 0 {
			b.conn.close()
			return
		}
		b.conn.pool.push(b.conn)
	})
	return nil
}

// Discard closes the connection that an answer came on, whatever is left to
// read.
func Discard(resp *http.Response) {
	if b, ok := resp.Body.(*body); ok {
		b.keep = false
	}
	resp.Body.Close()
}
