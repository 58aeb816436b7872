// Package gtcall represents a request and its response independently of the
// protocol that carries them.
//
// # Usage
//
//	call := gtcall.New(id, "POST", "/lending/holds").
//		WithRoute("lending", "hold", gtconfig.Normal).
//		WithBody(body).
//		WithDeadline(deadline)
//
// A Call is a value: the With methods return a changed copy. Header maps and
// bodies are shared between copies and must not be changed.
package gtcall

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtroute"
	"godwittide/core/request/gtstream"
	"godwittide/core/version/gtconfig"
)

// Call is a request to a service.
type Call struct {
	id            string
	method        string
	target        string
	header        http.Header
	body          [][]byte // segments
	stream        *gtstream.Body
	service       string
	route         string
	version       string
	class         gtconfig.Class
	account       string
	idempotent    bool
	key           string
	isResend      bool
	releasedByAll bool
	lookupOnly    bool
	isLastAttempt bool
	isRetry       bool
	hops          int
	crashes       int
	maxBackends   int
	deadline      time.Time
	dueAt         time.Time
}

// New returns a call. The ID must be unique among the calls in flight; the target
// is the path and query.
func New(id, method, target string) Call {
	return Call{id: id, method: method, target: target, header: http.Header{}}
}

// ID returns the ID that the response must echo.
func (c Call) ID() string { return c.id }

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// DueAt returns the time up to which a response has its full value to the caller, or the
// zero time if there is none.
func (c Call) DueAt() time.Time { return c.dueAt }

// WithDueAt returns a copy with that time.
func (c Call) WithDueAt(t time.Time) Call {
	c.dueAt = t
	return c
}

// Target returns the path and query.
func (c Call) Target() string { return c.target }

// Header returns the caller's header fields.
func (c Call) Header() http.Header { return c.header }

// Body returns the whole body. It copies a body of several segments.
func (c Call) Body() []byte {
	switch len(c.body) {
	case 0:
		return nil
	case 1:
		return c.body[0]
	}
	return bytes.Join(c.body, nil)
}

// BodySegments returns the body in the segments in which it is kept.
func (c Call) BodySegments() [][]byte { return c.body }

// Stream returns the body if it is forwarded in windows, or nil if it is whole.
func (c Call) Stream() *gtstream.Body { return c.stream }

// CanBeSentAgain reports whether the whole body is at hand for another attempt.
func (c Call) CanBeSentAgain() bool { return c.stream == nil || c.stream.CanBeSentAgain() }

// Service returns the name of the service.
func (c Call) Service() string { return c.service }

// Route returns the name of the route.
func (c Call) Route() string { return c.route }

// Version returns the version of the backend server that was picked in a move, or ""
// if any may run the call.
func (c Call) Version() string { return c.version }

// Class returns the class by which the admission gate treats the call.
func (c Call) Class() gtconfig.Class { return c.class }

// Account returns the name of the client account that the caller has authenticated
// as, or "" if it needs none.
func (c Call) Account() string { return c.account }

// Idempotent reports whether the request is idempotent.
func (c Call) Idempotent() bool { return c.idempotent }

// Key returns the caller's idempotency key, or "" if there is none.
func (c Call) Key() string { return c.key }

// IsResend reports whether the caller has sent the request before.
func (c Call) IsResend() bool { return c.isResend }

// ReleasedByAll reports whether every node ranked for the key has refused the
// request without running it. The first of them may then run it after all.
func (c Call) ReleasedByAll() bool { return c.releasedByAll }

// LookupOnly reports whether the call only looks up the outcome of an earlier
// send of the request. Such a call must not run.
func (c Call) LookupOnly() bool { return c.lookupOnly }

// IsLastAttempt reports whether the sender has no other instance for the call if this one
// refuses it.
func (c Call) IsLastAttempt() bool { return c.isLastAttempt }

// IsRetry reports whether the call is, or is caused by, a retry that draws on the
// retry budget, at this hop or an earlier one.
func (c Call) IsRetry() bool { return c.isRetry }

// Hops returns the number of calls before this one in the call chain.
func (c Call) Hops() int { return c.hops }

// Crashes returns the number of backend servers known to have crashed with the
// request in flight.
func (c Call) Crashes() int { return c.crashes }

// MaxBackends returns the maximum number of backend servers that the request
// may reach, or 0 if it is unlimited.
func (c Call) MaxBackends() int { return c.maxBackends }

// Deadline returns the time at which the caller stops waiting.
func (c Call) Deadline() time.Time { return c.deadline }

// Fingerprint returns a hash of the service, method, target and body, or of what stands for a
// body that is forwarded in windows (gtdedup.StreamFingerprint).
func (c Call) Fingerprint() uint64 {
	if c.stream != nil {
		return gtdedup.StreamFingerprint(c.service, c.method, c.target, c.id, c.stream.Length())
	}
	return gtdedup.Fingerprint(c.service, c.method, c.target, c.body...)
}

// WithHeader returns a copy with the caller's header fields.
func (c Call) WithHeader(h http.Header) Call {
	c.header = h
	return c
}

// WithBody returns a copy with the body.
func (c Call) WithBody(b []byte) Call {
	c.body = nil
	if len(b) > 0 {
		c.body = [][]byte{b}
	}
	return c
}

// WithBodySegments returns a copy with the body in segments, so that a large one needs no
// memory in one piece.
func (c Call) WithBodySegments(segments [][]byte) Call {
	c.body = segments
	return c
}

// WithStream returns a copy whose body is forwarded in windows, unless the body is nil.
func (c Call) WithStream(b *gtstream.Body) Call {
	c.stream = b
	return c
}

// WithRoute returns a copy with the service, the name of the route and its class.
func (c Call) WithRoute(service, route string, class gtconfig.Class) Call {
	c.service, c.route, c.class = service, route, class
	return c
}

// WithVersion returns a copy with the version of the backend server that was picked.
func (c Call) WithVersion(version string) Call {
	c.version = version
	return c
}

// WithAccount returns a copy with the name of the client account.
func (c Call) WithAccount(name string) Call {
	c.account = name
	return c
}

// WithIdempotent returns a copy that is marked as idempotent or non-idempotent.
func (c Call) WithIdempotent(idempotent bool) Call {
	c.idempotent = idempotent
	return c
}

// WithKey returns a copy with the caller's idempotency key. resend is set if the
// caller has sent the request before, releasedByAll if every node ranked for the
// key has refused it without running it.
func (c Call) WithKey(key string, resend, releasedByAll bool) Call {
	c.key, c.isResend, c.releasedByAll = key, resend, releasedByAll
	return c
}

// WithLookupOnly returns a copy that only looks up the outcome of an earlier
// send.
func (c Call) WithLookupOnly() Call {
	c.lookupOnly = true
	return c
}

// WithLastAttempt returns a copy that is marked as the sender's last attempt or not.
func (c Call) WithLastAttempt(last bool) Call {
	c.isLastAttempt = last
	return c
}

// WithRetry returns a copy that is marked as a retry or not, as IsRetry reports.
func (c Call) WithRetry(isRetry bool) Call {
	c.isRetry = isRetry
	return c
}

// WithHops returns a copy that has n calls before it in the call chain.
func (c Call) WithHops(n int) Call {
	c.hops = n
	return c
}

// WithCrashes returns a copy with the number of known crashes.
func (c Call) WithCrashes(n int) Call {
	c.crashes = n
	return c
}

// WithMaxBackends returns a copy that may reach at most n backend servers; 0
// means no limit.
func (c Call) WithMaxBackends(n int) Call {
	c.maxBackends = n
	return c
}

// WithDeadline returns a copy with the time at which the caller stops waiting.
func (c Call) WithDeadline(t time.Time) Call {
	c.deadline = t
	return c
}

// Response is a backend server's response. Its body is either in memory or a
// stream that the receiver must close.
type Response struct {
	status int
	header http.Header
	body   []byte
	stream io.ReadCloser
	size   int64
	load   gtroute.Load
}

// NewResponse returns a response whose body is in memory.
func NewResponse(status int, header http.Header, body []byte) Response {
	return Response{status: status, header: header, body: body, size: int64(len(body))}
}

// NewStreamResponse returns a response whose body is read from stream. The size
// is in bytes, or -1 if it is not known in advance.
func NewStreamResponse(status int, header http.Header, stream io.ReadCloser, size int64) Response {
	return Response{status: status, header: header, stream: stream, size: size}
}

// Status returns the HTTP status.
func (r Response) Status() int { return r.status }

// Header returns the header fields.
func (r Response) Header() http.Header { return r.header }

// Body returns the body, or nil if it is a stream.
func (r Response) Body() []byte { return r.body }

// Stream returns the body as a stream, or nil if it is in memory.
func (r Response) Stream() io.ReadCloser { return r.stream }

// Size returns the length of the body in bytes, or -1 if it is unknown.
func (r Response) Size() int64 { return r.size }

// Load returns the load of the backend server as its node reported it.
func (r Response) Load() gtroute.Load { return r.load }

// WithLoad returns a copy with the load of the backend server.
func (r Response) WithLoad(l gtroute.Load) Response {
	r.load = l
	return r
}
