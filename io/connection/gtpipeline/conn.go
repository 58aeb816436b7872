package gtpipeline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"

	"godwittide/core/connection/gtsequence"
	"godwittide/io/connection/gtsocket"
)

const (
	// lingerTime is how long a connection is read after its last response, so that the
	// requests which are discarded don't reset it before the caller has read the responses.
	lingerTime = 500 * time.Millisecond
	// lingerBytes is how much is read meanwhile.
	lingerBytes = 1 << 20
	// bufferBytes is the size of the buffer that a connection is read through. Requests that
	// are not read yet take no more than that.
	bufferBytes = 4096
)

// errClosing is the error of writing a response behind one that closes the connection.
var errClosing = errorx.IllegalState.New("the connection closes before this response")

// aLongTimeAgo is a deadline that ends a read at once.
var aLongTimeAgo = time.Unix(1, 0)

// conn is a connection that was taken over from net/http. One goroutine reads its requests,
// one writes its responses, and each request has one.
type conn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer // used by the response at the front
	base   *http.Request // that net/http has read
	cancel context.CancelFunc
	closed chan struct{}

	mu        sync.Mutex
	changed   *sync.Cond
	sequence  *gtsequence.Sequence
	responses []*response // to the requests that have started, in order
	waiting   bool        // for the first byte of a request
	left      bool        // the caller has left, or the connection is broken
	idle      bool        // as reported to the server
	requests  sync.WaitGroup
}

// newConn returns a connection whose read bytes are in buffered. base is the request that
// net/http has read; the contexts of all requests follow from its own.
func newConn(s *Server, nc net.Conn, buffered *bufio.Reader, base *http.Request) *conn {
	c := &conn{server: s, nc: nc, base: base, closed: make(chan struct{}), sequence: gtsequence.New(s.Limits), bw: bufio.NewWriter(nc)}
	c.changed = sync.NewCond(&c.mu)
	c.cancel = watched(nc).cancel
	read, _ := buffered.Peek(buffered.Buffered())
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(read)), nc), bufferBytes)
	return c
}

// startFirst starts the request that net/http has read.
func (c *conn) startFirst(r *http.Request, h http.Header) *response {
	resp := newResponse(c, r, h)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startLocked(resp, true, 0)
	return resp
}

// startLocked adds the response of a request that starts. The caller holds the lock.
func (c *conn) startLocked(r *response, idempotent bool, size int64) {
	r.number = c.sequence.Start(idempotent, size)
	c.responses = append(c.responses, r)
	c.changed.Broadcast()
}

// serve runs the handler of a request in a goroutine of its own, and then ends its context.
func (c *conn) serve(resp *response, r *http.Request, cancel context.CancelFunc) {
	h := c.server.Handler
	switch {
	case !expectsNothingElse(r):
		h = http.HandlerFunc(refuseExpectation)
	case r.RequestURI == "*" && r.Method == http.MethodOptions:
		h = http.HandlerFunc(answerOptions)
	}
	c.requests.Go(func() {
		defer cancel()
		defer resp.finish()
		defer func() {
			if v := recover(); v != nil {
				c.server.logPanic(r, v)
				resp.abort()
			}
		}()
		h.ServeHTTP(resp, r)
	})
}

// answerOptions answers a request about the server as a whole, as net/http does.
func answerOptions(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "0") }

// refuseExpectation refuses a request with an unknown expectation, as net/http does.
func refuseExpectation(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusExpectationFailed)
}

// expectsNothingElse reports whether a request has no expectation but the interim response.
func expectsNothingElse(r *http.Request) bool {
	return r.Header.Get("Expect") == "" || expectsContinue(r)
}

// expectsContinue reports whether the caller waits for an interim response.
func expectsContinue(r *http.Request) bool {
	return httpguts.HeaderValuesContainsToken(r.Header["Expect"], "100-continue")
}

// run serves the connection until it is closed.
func (c *conn) run() {
	defer close(c.closed)
	var writer sync.WaitGroup
	writer.Go(c.writeResponses)
	c.readRequests()
	c.stop()
	c.await(c.sequence.Ended)
	c.cancel()
	writer.Wait()
	c.close()
	if c.server.OnState != nil {
		c.server.OnState(c.nc, http.StateClosed)
	}
	c.requests.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.responses {
		c.releaseLocked(r)
	}
}

// close closes the connection once the caller has had time to read the last response.
func (c *conn) close() {
	c.mu.Lock()
	left := c.left
	c.mu.Unlock()
	if socket := writeCloser(c.nc); socket != nil && !left {
		_ = socket.CloseWrite()
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.nc, lingerBytes))
	}
	_ = c.nc.Close()
}

// writeCloser returns the socket of a connection if it can be closed for writing alone.
func writeCloser(nc net.Conn) *net.TCPConn {
	for {
		if socket, ok := nc.(*net.TCPConn); ok {
			return socket
		}
		wrapper, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = wrapper.NetConn()
	}
}

// readRequests reads requests and starts them, until no further one may start.
func (c *conn) readRequests() {
	lastMethod := c.base.Method
	for {
		c.await(func() bool { return c.sequence.Stopped() || c.sequence.MayRead() })
		if !c.awaitRequest(lastMethod == http.MethodPost) {
			return
		}
		head, err := readHead(c.br, c.server.MaxHeadBytes+headSlack, c.server.MaxHeadLines)
		if err != nil {
			c.failRead(err)
			return
		}
		r, err := parseHead(head)
		if err != nil {
			c.failRead(err)
			return
		}
		lastMethod = r.Method
		if !c.startRequest(r, len(head)) {
			return
		}
	}
}

// awaitRequest waits for the beginning of a request, and reports whether it has come. Line ends
// before it are skipped if skipLines is true.
func (c *conn) awaitRequest(skipLines bool) bool {
	c.mu.Lock()
	if c.sequence.Stopped() {
		c.mu.Unlock()
		return false
	}
	if c.br.Buffered() == 0 {
		c.waiting = true
		if c.server.OnWait != nil {
			c.server.OnWait(c.nc)
		}
	}
	c.updateLocked()
	c.mu.Unlock()
	_, err := c.br.Peek(1)
	c.mu.Lock()
	c.waiting = false
	c.setReadDeadlineLocked(time.Now().Add(c.server.ReadTimeout))
	c.updateLocked()
	c.mu.Unlock()
	start := []byte(nil)
	if err == nil {
		start, err = c.br.Peek(minHeadBytes)
	}
	if err != nil {
		c.failRead(err)
		return false
	}
	if skipLines {
		_, _ = c.br.Discard(len(start) - len(bytes.TrimLeft(start, "\r\n")))
	}
	return true
}

// updateLocked sets the deadline of waiting for a request, and reports whether the connection
// is in use. The caller holds the lock.
func (c *conn) updateLocked() {
	if c.waiting {
		deadline := time.Time{}
		if c.sequence.Len() == 0 {
			deadline = time.Now().Add(c.server.IdleTimeout)
		}
		c.setReadDeadlineLocked(deadline)
	}
	idle := c.waiting && c.sequence.Len() == 0
	if idle != c.idle && c.server.OnState != nil {
		state := http.StateActive
		if idle {
			state = http.StateIdle
		}
		c.server.OnState(c.nc, state)
	}
	c.idle = idle
}

// setReadDeadlineLocked sets the deadline of reads, unless they have been ended. The caller
// holds the lock.
func (c *conn) setReadDeadlineLocked(t time.Time) {
	if !c.sequence.Ended() {
		_ = c.nc.SetReadDeadline(t)
	}
}

// failRead handles an error of reading a request. A request that can't be served is answered
// in its turn. One that has not arrived in time counts as not read.
func (c *conn) failRead(err error) {
	var refused *refusal
	switch {
	case errors.As(err, &refused):
		if refused.limit != "" {
			gtsocket.ReportLimit(c.nc, refused.limit, int64(c.server.MaxHeadLines))
		}
		resp := newResponse(c, c.base, http.Header{})
		resp.raw, resp.finished = refused.response(), true
		close(resp.done)
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.sequence.Stopped() {
			c.startLocked(resp, true, 0)
			c.sequence.Stop()
		}
	case isTimeout(err):
	default:
		c.leave()
	}
}

// isTimeout reports whether a read has ended by its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// leave tells that the caller has left: its requests are canceled.
func (c *conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sequence.Ended() {
		return // the read was ended on this side
	}
	c.left = true
	c.stopLocked()
	c.cancel()
}

// stop lets no further request start.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopLocked()
}

func (c *conn) stopLocked() {
	c.sequence.Stop()
	c.changed.Broadcast()
}

// startRequest starts a request once it may, and waits until its body has been read. It
// reports whether the next request may be read.
func (c *conn) startRequest(r *http.Request, headBytes int) bool {
	if !expectsNothingElse(r) {
		r.Close, r.ContentLength = true, 0 // its body is not read
	}
	size := requestSize(r, headBytes)
	ctx, cancel := context.WithCancel(c.base.Context())
	r = r.WithContext(ctx)
	r.RemoteAddr = c.base.RemoteAddr
	idempotent := c.server.Idempotent(r)
	if idempotent {
		r = r.WithContext(context.WithValue(ctx, aheadKey{}, true))
	}
	resp := newResponse(c, r, http.Header{})
	if resp.body = newBody(c.br, r); resp.body != nil {
		r.Body = resp.body
		if expectsContinue(r) && r.ProtoAtLeast(1, 1) {
			resp.body.interim = resp.writeContinue
		}
	}
	if !c.admit(resp, idempotent, size, headBytes) {
		cancel()
		return false
	}
	if resp.body == nil {
		c.serve(resp, r, cancel)
		return !r.Close
	}
	c.mu.Lock()
	c.setReadDeadlineLocked(time.Now().Add(c.server.ReadTimeout))
	c.mu.Unlock()
	c.serve(resp, r, cancel)
	<-resp.body.done
	return !r.Close && resp.body.complete.Load()
}

// admit waits until a request may start, and starts it. It returns false if the connection
// closes before.
func (c *conn) admit(resp *response, idempotent bool, size int64, headBytes int) bool {
	c.mu.Lock()
	depth := c.sequence.Len() + 1
	c.mu.Unlock()
	if depth > 1 && c.server.OnRequest != nil {
		c.server.OnRequest(depth)
	}
	// A head counts only while others are ahead of it.
	mayStart := func() bool {
		return c.sequence.MayStart(idempotent, size) && (c.sequence.Len() == 0 || resp.reserved > 0 || c.reserveLocked(resp, headBytes))
	}
	c.await(func() bool { return c.sequence.Stopped() || mayStart() })
	c.mu.Lock()
	defer c.mu.Unlock()
	if !mayStart() {
		c.releaseLocked(resp)
		return false
	}
	c.startLocked(resp, idempotent, size)
	return true
}

// reserveLocked reserves bytes of the budget for a response or its request, and reports whether
// it could. The caller holds the lock.
func (c *conn) reserveLocked(r *response, bytes int) bool {
	if c.server.Reserve != nil && !c.server.Reserve(int64(bytes)) {
		return false
	}
	r.reserved += int64(bytes)
	return true
}

// releaseLocked gives back what was reserved. The caller holds the lock.
func (c *conn) releaseLocked(r *response) {
	if c.server.Release != nil && r.reserved > 0 {
		c.server.Release(r.reserved)
	}
	r.reserved = 0
}

// writeResponses writes the responses in the order of the requests, until the connection
// closes.
func (c *conn) writeResponses() {
	for {
		c.mu.Lock()
		for len(c.responses) == 0 && !c.sequence.Ended() {
			c.changed.Wait()
		}
		if c.sequence.Ended() {
			_ = c.nc.SetReadDeadline(aLongTimeAgo)
			c.mu.Unlock()
			return
		}
		r := c.responses[0]
		c.mu.Unlock()
		r.takeTurn()
		<-r.done
		closes := r.complete()
		c.mu.Lock()
		c.responses = c.responses[1:]
		c.releaseLocked(r)
		c.sequence.Answer(closes)
		c.updateLocked()
		c.changed.Broadcast()
		c.mu.Unlock()
	}
}

// isFront reports whether it is the turn of a response.
func (c *conn) isFront(n uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sequence.IsFront(n)
}

// keep reports whether bytes of a response may be kept until its turn. It fails if the turn
// won't come.
func (c *conn) keep(r *response, bytes int) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.sequence.Ended():
		return false, errClosing
	case c.sequence.IsFront(r.number):
		return false, nil
	case !c.reserveLocked(r, bytes):
		return false, nil
	}
	kept := c.sequence.Keep(r.number, bytes)
	if !kept {
		r.reserved -= int64(bytes)
		if c.server.Release != nil {
			c.server.Release(int64(bytes))
		}
	}
	return kept, nil
}

// awaitFront waits until it is the turn of a response, or the connection closes.
func (c *conn) awaitFront(n uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.sequence.IsFront(n) && !c.sequence.Ended() {
		c.changed.Wait()
	}
}

// closesAfter reports whether the response at the front closes the connection.
func (c *conn) closesAfter(n uint64, asked bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	closes := c.sequence.Closes(n, asked, c.server.Draining != nil && c.server.Draining())
	c.changed.Broadcast()
	return closes
}

// await waits until a condition holds, which it checks under the lock. Meanwhile it watches
// whether the caller leaves.
func (c *conn) await(condition func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if condition() {
		return
	}
	endWatch := func() {}
	if !c.left {
		endWatch = c.watch()
	}
	for !condition() {
		c.changed.Wait()
	}
	c.mu.Unlock()
	endWatch()
	c.mu.Lock()
}

// watch watches whether the caller leaves, by reading ahead into the buffer, until the
// function that it returns is called. The caller holds the lock.
func (c *conn) watch() func() {
	c.setReadDeadlineLocked(time.Time{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			_, err := c.br.Peek(c.br.Buffered() + 1)
			switch {
			case err == nil:
				continue
			case errors.Is(err, bufio.ErrBufferFull) || isTimeout(err):
				// Besides the end of the watch, gtsocket.InterruptRead may come late for a body.
			default:
				c.leave()
			}
			return
		}
	}()
	return func() {
		_ = c.nc.SetReadDeadline(aLongTimeAgo)
		<-ended
		c.mu.Lock()
		c.setReadDeadlineLocked(time.Time{})
		c.mu.Unlock()
	}
}
