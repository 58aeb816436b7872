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

	"godwittide/core/connection/gtliveness"
	"godwittide/io/connection/gtsocket"
)

// PingPath is the path of ping requests between nodes.
const PingPath = "/gt/ping"

// maxHeadBytes is how much may be received in an exchange until the head of its
// response is complete: interim and mismatched responses, and the head itself. A server
// in trouble may send bytes without end.
const maxHeadBytes = 512 << 10

// bufferBytes is the size of each of the two buffers of a connection.
const bufferBytes = 4 << 10

// errHeadTooLarge ends an exchange in which more than maxHeadBytes were received.
var errHeadTooLarge = errorx.IllegalFormat.New("received %d bytes without the head of a response", maxHeadBytes)

// conn is one pooled connection. It carries one exchange at a time.
type conn struct {
	pool            *Pool
	nc              net.Conn
	r               *bufio.Reader
	w               *bufio.Writer
	addr            string
	class           string
	liveness        gtliveness.Liveness
	written         int          // bytes written of the current request
	deadline        time.Time    // of the current exchange; zero means none
	ctxDone         *atomic.Bool // the context of the current exchange has ended
	expectKeepAlive bool         // reads time out after gtliveness.KeepAliveTimeout
	giveUp          func() bool  // whether to end an exchange on which nothing comes; nil means yes
	expectHead      bool         // the head of the response is not complete
	headBytes       int          // bytes received while it was not
	closeOnce       sync.Once
}

// pastDeadline is a deadline that interrupts pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

func newConn(p *Pool, nc net.Conn, addr, class string) *conn {
	c := &conn{pool: p, nc: nc, addr: addr, class: class, liveness: gtliveness.Liveness{Now: p.Now}}
	c.r = bufio.NewReaderSize(c, bufferBytes)
	c.w = bufio.NewWriterSize(countingWriter{c}, bufferBytes)
	p.hold(2 * bufferBytes)
	c.liveness.Received()
	return c
}

// Read reads from the connection and records in its liveness that data was
// received. While a keep-alive is expected, it waits no longer than
// gtliveness.KeepAliveTimeout, unless the exchange is to go on without one. While the
// head of a response is expected, it receives no more than maxHeadBytes.
func (c *conn) Read(b []byte) (int, error) {
	if c.expectHead && c.headBytes >= maxHeadBytes {
		return 0, errHeadTooLarge
	}
	n, err := c.read(b)
	for n == 0 && isTimeout(err) && c.goesOnInSilence() {
		n, err = c.read(b)
	}
	if n > 0 {
		c.liveness.Received()
	}
	if c.expectHead {
		c.headBytes += n
	}
	return n, err
}

// read reads once, and while a keep-alive is expected no longer than until it is due.
func (c *conn) read(b []byte) (int, error) {
	if c.expectKeepAlive {
		c.setReadDeadline(c.keepAliveDeadline(time.Now()))
	}
	return c.nc.Read(b)
}

// goesOnInSilence reports whether the exchange goes on although no keep-alive came in
// time: bytes have come meanwhile, as this process may have been short of processor time,
// or the exchange is not to be given up.
func (c *conn) goesOnInSilence() bool {
	if !c.expectKeepAlive || c.ctxDone.Load() || c.deadlinePassed() {
		return false
	}
	return gtsocket.Peek(c.nc) == gtsocket.Unread || c.giveUp != nil && !c.giveUp()
}

// keepAliveDeadline returns the time until which a keep-alive or the response has to come,
// which is not after the deadline of the exchange.
func (c *conn) keepAliveDeadline(now time.Time) time.Time {
	t := now.Add(gtliveness.KeepAliveTimeout)
	if !c.deadline.IsZero() && c.deadline.Before(t) {
		return c.deadline
	}
	return t
}

// setReadDeadline sets the read deadline to t. If the context ended just before,
// t has replaced the pastDeadline that bindContext set. So that the cancellation
// is not lost, pastDeadline is set again if the context has ended.
func (c *conn) setReadDeadline(t time.Time) {
	_ = c.nc.SetReadDeadline(t)
	if c.ctxDone.Load() {
		_ = c.nc.SetReadDeadline(pastDeadline)
	}
}

// countingWriter counts the bytes written, so that a failed exchange can be
// classified by whether any byte was written.
type countingWriter struct{ c *conn }

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.c.nc.Write(b)
	w.c.written += n
	return n, err
}

// bindContext interrupts reads and writes when ctx ends or its deadline passes.
// The returned function removes the binding and reports whether ctx was still
// active; if not, the connection must not be reused.
func (c *conn) bindContext(ctx context.Context) func() bool {
	c.deadline, _ = ctx.Deadline()
	c.giveUp, _ = ctx.Value(giveUpKey{}).(func() bool)
	_ = c.nc.SetDeadline(c.deadline)
	ctxDone := &atomic.Bool{}
	c.ctxDone = ctxDone
	return context.AfterFunc(ctx, func() {
		ctxDone.Store(true)
		_ = c.nc.SetDeadline(pastDeadline)
	})
}

// deadlinePassed reports whether the deadline of the current exchange has
// passed. The timer of the network connection may fire shortly before that of
// the context, so the context alone doesn't show it.
func (c *conn) deadlinePassed() bool { return !c.deadline.IsZero() && !time.Now().Before(c.deadline) }

// giveUpKey is the context key of the function that WithGiveUp adds.
type giveUpKey struct{}

// WithGiveUp adds to the context of a call a function that decides, each time that nothing
// was received for gtliveness.KeepAliveTimeout, whether the exchange ends as Unresponsive
// (true) or goes on until its deadline. Without one it ends.
func WithGiveUp(ctx context.Context, giveUp func() bool) context.Context {
	return context.WithValue(ctx, giveUpKey{}, giveUp)
}

// exchange writes a request and reads the header of its response. It skips
// interim responses, which serve as keep-alives, and mismatched responses.
func (c *conn) exchange(req *http.Request) (*http.Response, error) {
	c.written = 0
	if err := req.Write(c.w); err != nil {
		return nil, err
	}
	if err := c.w.Flush(); err != nil {
		return nil, err
	}
	c.expectKeepAlive = c.pool.SupportsPing
	c.expectHead, c.headBytes = true, 0
	defer func() { c.expectKeepAlive, c.expectHead = false, false }()
	for {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		if resp == nil || isInterim(resp) {
			continue
		}
		c.setReadDeadline(c.deadline)
		return resp, nil
	}
}

// ping checks with a HEAD request whether the connection still works.
func (c *conn) ping(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, gtliveness.PingTimeout)
	defer cancel()
	unbind := c.bindContext(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+c.addr+PingPath, nil)
	if err != nil {
		return err
	}
	resp, err := c.exchange(req)
	if err != nil {
		return err
	}
	if !unbind() || resp.Close {
		return errorx.IllegalState.New("connection to %s is closing", c.addr)
	}
	return nil
}

// close closes the connection once and removes it from the pool's count.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.nc.Close()
		c.pool.release(c.addr)
		c.pool.hold(-2 * bufferBytes)
	})
}

// body is a response body that returns its connection to the pool when it is
// closed.
type body struct {
	io.ReadCloser
	conn      *conn
	unbind    func() bool
	ctx       context.Context
	reusable  bool // neither side asked to close the connection
	atEOF     bool // the body was read to its end
	closeOnce sync.Once
}

// Read reads the body. An error other than io.EOF has a kind.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.atEOF = true
	case err != nil:
		err = b.conn.pool.classify(b.ctx, b.conn, err)
	}
	return n, err
}

// Close returns the connection to the pool. It closes the connection instead if
// the body was not read to its end, the context has ended, either side asked to
// close it, or unread bytes follow the response.
func (b *body) Close() error {
	b.closeOnce.Do(func() {
		ctxActive := b.unbind()
		if !b.atEOF || !ctxActive || !b.reusable || b.conn.r.Buffered() > 0 {
			b.conn.close()
			return
		}
		b.conn.pool.pushIdle(b.conn)
	})
	return nil
}

// Discard closes a response's body together with its connection, even if the
// body was read to its end.
func Discard(resp *http.Response) {
	if b, ok := resp.Body.(*body); ok {
		b.reusable = false
	}
	resp.Body.Close()
}
