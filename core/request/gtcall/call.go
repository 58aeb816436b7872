// Package gtcall is one request and its answer, apart from the protocol that
// carries them.
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
	"io"
	"net/http"
	"time"

	"godwittide/core/request/gtonce"
	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtconfig"
)

// Call is one request on its way.
type Call struct {
	id         string
	method     string
	target     string
	header     http.Header
	body       []byte
	service    string
	route      string
	class      gtconfig.Class
	idempotent bool
	key        string
	resend     bool
	again      bool
	find       bool
	nested     bool
	hops       int
	crashes    int
	most       int
	deadline   time.Time
}

// New returns a call with an id that is unique among calls in flight, a method
// and a target: path and query.
func New(id, method, target string) Call {
	return Call{id: id, method: method, target: target, header: http.Header{}}
}

// ID returns the id that each answer has to echo.
func (c Call) ID() string { return c.id }

// Method returns the method.
func (c Call) Method() string { return c.method }

// Target returns path and query.
func (c Call) Target() string { return c.target }

// Header returns the caller's header fields.
func (c Call) Header() http.Header { return c.header }

// Body returns the whole body.
func (c Call) Body() []byte { return c.body }

// Service returns the name of the service.
func (c Call) Service() string { return c.service }

// Route returns the name of the route.
func (c Call) Route() string { return c.route }

// Class returns the class at admission.
func (c Call) Class() gtconfig.Class { return c.class }

// Idempotent says whether the request may be repeated.
func (c Call) Idempotent() bool { return c.idempotent }

// Key returns the caller's key, or "".
func (c Call) Key() string { return c.key }

// Resend says that the caller has sent the request before.
func (c Call) Resend() bool { return c.resend }

// Again says that every node in rank has passed the request on.
func (c Call) Again() bool { return c.again }

// Find says that the call only looks for the outcome of an earlier send, and
// is not to be run.
func (c Call) Find() bool { return c.find }

// Nested says that the call is part of a retry that an earlier hop made.
func (c Call) Nested() bool { return c.nested }

// Hops returns how many calls stand before this one in its chain.
func (c Call) Hops() int { return c.hops }

// Crashes returns how many backend servers are known to have crashed with the
// request in flight.
func (c Call) Crashes() int { return c.crashes }

// Most returns on how many backend servers the request may be tried, or 0 for
// no bound.
func (c Call) Most() int { return c.most }

// Deadline returns when the caller stops waiting.
func (c Call) Deadline() time.Time { return c.deadline }

// Fingerprint returns the fingerprint of the request's contents.
func (c Call) Fingerprint() uint64 { return gtonce.Fingerprint(c.service, c.method, c.target, c.body) }

// WithHeader returns a copy with the caller's header fields.
func (c Call) WithHeader(h http.Header) Call {
	c.header = h
	return c
}

// WithBody returns a copy with the body.
func (c Call) WithBody(b []byte) Call {
	c.body = b
	return c
}

// WithRoute returns a copy that goes to a service, by a route, in a class.
func (c Call) WithRoute(service, route string, class gtconfig.Class) Call {
	c.service, c.route, c.class = service, route, class
	return c
}

// WithIdempotent returns a copy that says whether it may be repeated.
func (c Call) WithIdempotent(yes bool) Call {
	c.idempotent = yes
	return c
}

// WithKey returns a copy with the caller's key, which says whether the caller
// has sent it before, and whether every node in rank has passed it on.
func (c Call) WithKey(key string, resend, again bool) Call {
	c.key, c.resend, c.again = key, resend, again
	return c
}

// WithFind returns a copy that only looks for the outcome of an earlier send.
func (c Call) WithFind() Call {
	c.find = true
	return c
}

// WithNested returns a copy that says whether it is part of a retry.
func (c Call) WithNested(yes bool) Call {
	c.nested = yes
	return c
}

// WithHops returns a copy that has n calls before it in its chain.
func (c Call) WithHops(n int) Call {
	c.hops = n
	return c
}

// WithCrashes returns a copy with the number of crashes known.
func (c Call) WithCrashes(n int) Call {
	c.crashes = n
	return c
}

// WithMost returns a copy that may be tried on n backend servers.
func (c Call) WithMost(n int) Call {
	c.most = n
	return c
}

// WithDeadline returns a copy with the time when the caller stops waiting.
func (c Call) WithDeadline(t time.Time) Call {
	c.deadline = t
	return c
}

// Answer is what a backend server answered. The body is either whole in
// memory, or a stream that has to be closed.
type Answer struct {
	status int
	header http.Header
	body   []byte
	stream io.ReadCloser
	size   int64
	load   gtroute.Load
}

// NewAnswer returns an answer with a whole body.
func NewAnswer(status int, header http.Header, body []byte) Answer {
	return Answer{status: status, header: header, body: body, size: int64(len(body))}
}

// NewStream returns an answer whose body is read from stream. A size of -1
// means that it is not known in advance.
func NewStream(status int, header http.Header, stream io.ReadCloser, size int64) Answer {
	return Answer{status: status, header: header, stream: stream, size: size}
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// Header returns the header fields.
func (a Answer) Header() http.Header { return a.header }

// Body returns the whole body, if there is no stream.
func (a Answer) Body() []byte { return a.body }

// Stream returns the body's stream, or nil.
func (a Answer) Stream() io.ReadCloser { return a.stream }

// Size returns the body's length in bytes, or -1.
func (a Answer) Size() int64 { return a.size }

// Load returns what the node told of its backend server's load.
func (a Answer) Load() gtroute.Load { return a.load }

// WithLoad returns a copy with the backend server's load.
func (a Answer) WithLoad(l gtroute.Load) Answer {
	a.load = l
	return a
}
