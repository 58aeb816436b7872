// Package gtpipeline serves callers that send further requests on a connection before the
// first is answered (HTTP/1.1 pipelining): requests that were read ahead run concurrently if
// they are idempotent, and the responses are written in the order of the requests.
//
// # Usage
//
//	p := &gtpipeline.Server{Handler: h, Idempotent: edge.IsIdempotent, Limits: limits, ...}
//	server := &http.Server{Handler: p, ConnContext: p.ConnContext, ConnState: p.ConnState}
//	server.Serve(p.Listener(ln))
//
// net/http serves each connection until bytes of a further request arrive while an idempotent
// one is served. From then on this package serves it, which takes it over by http.Hijacker.
// Which request may start is decided in core/connection/gtsequence.
package gtpipeline

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"godwittide/core/connection/gtsequence"
	"godwittide/io/connection/gtsocket"
)

// Server serves the requests of callers' connections. Its fields are set before use.
type Server struct {
	// Handler serves each request.
	Handler http.Handler
	// Idempotent reports whether a request may run beside others of its connection. Its
	// body must not be read.
	Idempotent func(r *http.Request) bool
	// Limits bounds what a connection may hold.
	Limits gtsequence.Limits
	// Reserve reserves bytes of the process's budget for the head of a request that runs ahead
	// of its turn, or for a response that waits for it, and reports whether it could. If not,
	// the request or response waits for its turn. Release gives them back. Bodies of requests
	// are reserved by whoever reads them. Nil means that nothing is reserved.
	Reserve func(bytes int64) bool
	Release func(bytes int64)
	// MaxHeadBytes is the maximum size of a request's head, as in http.Server.
	MaxHeadBytes int
	// MaxHeadLines is the maximum number of lines of a head; 0 means no limit.
	MaxHeadLines int
	// ReadTimeout is the timeout for reading a request.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept open.
	IdleTimeout time.Duration
	// Draining reports whether the handler asks all callers to close their connections. The
	// last request of a connection that has started then gets that. Nil means never.
	Draining func() bool
	// OnState is called when a connection that was taken over comes into use or becomes
	// idle. Its end is reported as http.StateClosed. It may be nil.
	OnState func(c net.Conn, state http.ConnState)
	// OnWait is called before the first byte of a request is waited for on a connection
	// that was taken over and of which nothing is buffered. It may be nil.
	OnWait func(c net.Conn)
	// OnRequest is called for each request that was read while others of its connection
	// were not answered, with the number of them and itself. It may be nil.
	OnRequest func(depth int)
	// OnTakeOver is called when a connection is taken over, with the caller's address. It may
	// be nil.
	OnTakeOver func(addr string)
	// ErrorLog receives the panics of handlers. Nil means none.
	ErrorLog *log.Logger
}

// Listener wraps a listener so that its connections tell when bytes of a further request
// arrive.
func (s *Server) Listener(ln net.Listener) net.Listener { return listener{ln} }

type listener struct{ net.Listener }

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c}, nil
}

// ConnContext adds a connection to the context of its requests, as gtsocket.WithConn does. It
// is the ConnContext hook of http.Server.
func (s *Server) ConnContext(ctx context.Context, c net.Conn) context.Context {
	ctx = gtsocket.WithConn(ctx, c)
	if w := watched(c); w != nil {
		ctx, w.cancel = context.WithCancel(ctx)
	}
	return ctx
}

// ConnState follows the state of a connection. It is called by the ConnState hook of
// http.Server.
func (s *Server) ConnState(c net.Conn, state http.ConnState) {
	w := watched(c)
	switch {
	case w == nil:
	case state == http.StateIdle:
		w.becomeIdle()
	case state == http.StateClosed:
		w.cancel()
	}
}

// watched returns the watched connection that a connection wraps, or nil.
func watched(c net.Conn) *watchedConn {
	for c != nil {
		if w, ok := c.(*watchedConn); ok {
			return w
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}

// ServeHTTP serves a request that net/http has read.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	nc := watched(gtsocket.Conn(r.Context()))
	if nc == nil || r.Close || !r.ProtoAtLeast(1, 1) {
		s.Handler.ServeHTTP(w, r)
		return
	}
	first := &firstWriter{ResponseWriter: w, server: s, request: r, header: w.Header()}
	if nc.begin(r.ContentLength, first) && s.Idempotent(r) {
		if r.ContentLength != 0 {
			// The whole body has been read from the connection, so this doesn't wait.
			b, err := io.ReadAll(r.Body)
			r.Body = newBytesBody(b, err)
		}
		if c := s.takeOver(w, r); c != nil {
			c.serve(c.startFirst(r, w.Header()), r, func() {})
			c.run()
			return
		}
	}
	if r.ContentLength != 0 {
		r.Body = &watchedBody{ReadCloser: r.Body, conn: nc}
	}
	first.serve()
}

// takeOver takes a connection over from net/http, or returns nil.
func (s *Server) takeOver(w http.ResponseWriter, r *http.Request) *conn {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return nil
	}
	nc, buffered, err := hijacker.Hijack()
	if err != nil {
		return nil
	}
	if s.OnTakeOver != nil {
		s.OnTakeOver(r.RemoteAddr)
	}
	return newConn(s, nc, buffered.Reader, r)
}

// firstWriter writes the response to a request that net/http has read. The connection may be
// taken over until its handler writes or returns.
type firstWriter struct {
	http.ResponseWriter
	server  *Server
	request *http.Request
	header  http.Header // net/http's writer must not be asked for it beside the handler
	// returned is set once the handler has returned without a panic.
	returned bool

	mu       sync.Mutex
	begun    bool      // the handler has written or returned: net/http keeps the connection
	conn     *conn     // that took over, or nil
	response *response // in conn
}

// serve runs the handler. If the connection is taken over meanwhile, it returns only once
// the connection has been closed, since net/http ends the context of its requests then.
func (f *firstWriter) serve() {
	defer f.end()
	f.server.Handler.ServeHTTP(f, f.request)
	f.returned = true
}

// end ends the request, whose handler has returned or panicked. It must be deferred.
func (f *firstWriter) end() {
	f.begin()
	if f.conn == nil {
		return
	}
	if !f.returned {
		f.server.logPanic(f.request, recover())
		f.response.abort()
	}
	f.response.finish()
	<-f.conn.closed
}

// takeOver takes the connection over because bytes of a further request have arrived. It
// returns at once.
func (f *firstWriter) takeOver() {
	f.mu.Lock()
	begun := f.begun
	f.mu.Unlock()
	if begun {
		return // as when the next request of a caller that waits for each response comes early
	}
	go func() {
		if f.server.Idempotent(f.request) && f.tryTakeOver() {
			f.conn.run()
		}
	}()
}

func (f *firstWriter) tryTakeOver() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.begun {
		return false
	}
	f.conn = f.server.takeOver(f.ResponseWriter, f.request)
	if f.conn == nil {
		return false
	}
	f.response = f.conn.startFirst(f.request, f.header)
	return true
}

// begin tells that the handler writes or has returned, and returns the writer of the
// response.
func (f *firstWriter) begin() http.ResponseWriter {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = true
	if f.conn != nil {
		return f.response
	}
	return f.ResponseWriter
}

// Header returns the header that WriteHeader writes.
func (f *firstWriter) Header() http.Header { return f.header }

// WriteHeader writes the status and header of the response.
func (f *firstWriter) WriteHeader(status int) { f.begin().WriteHeader(status) }

// Write writes a part of the response's body.
func (f *firstWriter) Write(b []byte) (int, error) { return f.begin().Write(b) }

// Flush writes what is buffered to the caller.
func (f *firstWriter) Flush() {
	if flusher, ok := f.begin().(http.Flusher); ok {
		flusher.Flush()
	}
}

// Unwrap returns the writer of the response, for http.ResponseController. The connection is
// not taken over any more.
func (f *firstWriter) Unwrap() http.ResponseWriter { return f.begin() }

// logPanic logs a panic of a handler as net/http does.
func (s *Server) logPanic(r *http.Request, v any) {
	if v != nil && v != http.ErrAbortHandler && s.ErrorLog != nil {
		s.ErrorLog.Printf("http: panic serving %s: %v\n%s", r.RemoteAddr, v, debug.Stack())
	}
}

// aheadKey is the context key of requests that started as idempotent ones.
type aheadKey struct{}

// MayRunBeside reports whether the request of a context was started as an idempotent one, so
// that others of its connection may run beside it.
func MayRunBeside(ctx context.Context) bool { return ctx.Value(aheadKey{}) != nil }
