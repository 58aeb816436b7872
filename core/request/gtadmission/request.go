package gtadmission

import (
	"time"

	"godwittide/core/version/gtconfig"
)

// Request is what the gate has to know of a request to decide about it.
type Request struct {
	class    gtconfig.Class
	deadline time.Time
	target   time.Time
	route    string
	account  string
	caller   string
	nested   bool
}

// NewRequest returns a request of a class that must be complete by its deadline.
func NewRequest(class gtconfig.Class, deadline time.Time) Request {
	return Request{class: class, deadline: deadline}
}

// WithTarget returns a copy with the time up to which a response has its full value; the
// zero time means that the route has no target.
func (r Request) WithTarget(t time.Time) Request {
	r.target = t
	return r
}

// WithRoute returns a copy with the name of the route, by which service times are learned.
func (r Request) WithRoute(route string) Request {
	r.route = route
	return r
}

// WithAccount returns a copy with the client account, or "" if there is none.
func (r Request) WithAccount(name string) Request {
	r.account = name
	return r
}

// WithCaller returns a copy with the service that sends the request, or "" if it is
// unknown.
func (r Request) WithCaller(service string) Request {
	r.caller = service
	return r
}

// WithNested returns a copy that is marked, or not, as made by a backend server while that
// runs a request of its own.
func (r Request) WithNested(nested bool) Request {
	r.nested = nested
	return r
}

// Class returns the priority class.
func (r Request) Class() gtconfig.Class { return r.class }

// Deadline returns the time at which the caller stops waiting.
func (r Request) Deadline() time.Time { return r.deadline }

// Target returns the time up to which a response has its full value, or the zero time.
func (r Request) Target() time.Time { return r.target }

// Route returns the name of the route.
func (r Request) Route() string { return r.route }

// Account returns the client account, or "".
func (r Request) Account() string { return r.account }

// Caller returns the service that sends the request, or "".
func (r Request) Caller() string { return r.caller }

// IsNested reports whether a backend server makes the request while it runs another.
func (r Request) IsNested() bool { return r.nested }

// due returns the time by which requests of one sender are ordered.
func (r Request) due() time.Time {
	if r.target.IsZero() {
		return r.deadline
	}
	return r.target
}

// The levels of urgency at a gate: the class Fast, then nested requests of any class, then
// the other classes. A nested request that is refused wastes the work of the request that
// made it, and while it waits that request holds a slot.
const (
	levelFast = iota
	levelNested
	levelNormal
	levelCount = gtconfig.ClassCount + 1
)

// level returns the request's level of urgency.
func (r Request) level() int {
	switch {
	case r.class == gtconfig.Fast:
		return levelFast
	case r.nested:
		return levelNested
	default:
		return levelNormal + int(r.class-gtconfig.Normal)
	}
}

// flowName returns the name of the sender among which a level is shared: the client
// account, or else the calling service.
func (r Request) flowName() string {
	if r.account != "" {
		return "a " + r.account
	}
	return "s " + r.caller
}
