// Package gtkind defines the closed set of error kinds and the table of their
// properties: whether the request may have run, the HTTP status for the caller,
// whether to retry on another backend server, and the Retry-After time.
//
// # Usage
//
//	err := gtkind.New(gtkind.Full, "admission queue of %s is full", instance)
//	row := gtkind.Of(err).Row()
//	w.WriteHeader(row.Status())
//
// An error without a kind is treated as Internal.
package gtkind

import (
	"time"

	"github.com/joomcode/errorx"
)

// Kind is an error kind.
type Kind int

// The error kinds. Their properties are in table.
const (
	// None means that there was no error.
	None Kind = iota
	// BadRequest means that the request is malformed.
	BadRequest
	// TooLarge means that the request exceeds a size limit.
	TooLarge
	// NoRoute means that no configured route or service matches.
	NoRoute
	// Unauthenticated means that the request carries no key of a client account,
	// although its route requires one.
	Unauthenticated
	// NoConfig means that the node has not loaded a configuration yet, or can't tell
	// whether the one that it has is current.
	NoConfig
	// NoBackend means that no instance can take the request.
	NoBackend
	// Refused means that the connection failed, or that the instance reached is
	// not the one addressed or does not serve the service.
	Refused
	// Full means that a limit is reached: the admission queue, the request rate
	// during warm-up, the connections or the stored idempotency keys.
	Full
	// Leaving means that the instance is draining, or that its version is halted or
	// rolled back.
	Leaving
	// Down means that the local backend server of the node reached is down.
	Down
	// Expired means that the deadline passed before the request ran.
	Expired
	// KeyReleased means that the node refused the first request with the
	// idempotency key without running it, so that another node may have run it.
	KeyReleased
	// KeyUnknown means that the node knows of no request with the idempotency key
	// that may have run.
	KeyUnknown
	// Poison means that the request is blocked because backend servers crashed
	// with an identical one in flight.
	Poison
	// TooManyHops means that the call chain is longer than the limit.
	TooManyHops
	// StaleConnection means that the connection broke before anything was written.
	StaleConnection
	// Deadline means that the deadline passed during the wait for the response.
	Deadline
	// Unresponsive means that neither a response nor a keep-alive arrived in time.
	Unresponsive
	// ConnectionLost means that the connection was lost before the response was
	// complete, or that the response is not provably the backend server's.
	ConnectionLost
	// MismatchedResponse means that the response has the ID of another request.
	MismatchedResponse
	// Crashed means that the backend server crashed with the request in flight.
	Crashed
	// Shed means that the backend server responded 503 to an idempotent request.
	Shed
	// NotExecuted means that the backend server responded that it did not run the
	// request.
	NotExecuted
	// Overflowed means that the backend server was full: it reset the connection, or never
	// responds to the request. The request may have run.
	Overflowed
	// Conflict means that the idempotency key was used for another request.
	Conflict
	// OutcomeUnknown means that the outcome of an earlier request with the
	// idempotency key cannot be determined.
	OutcomeUnknown
	// Canceled means that the caller gave up.
	Canceled
	// Internal means any other error.
	Internal
	kindCount
)

// Certainty is what is known about whether a request ran.
type Certainty int

// The certainties.
const (
	// NotRun means that the backend server provably did not run the request.
	NotRun Certainty = iota
	// Unknown means that the request may or may not have run.
	Unknown
	// Done means that the backend server responded.
	Done
)

// String returns the certainty as written in error responses.
func (c Certainty) String() string {
	switch c {
	case NotRun:
		return "not run"
	case Done:
		return "done"
	default:
		return "unknown"
	}
}

// Row holds the properties of a kind.
type Row struct {
	name            string
	certainty       Certainty
	status          int
	retryElsewhere  bool
	retryAfter      time.Duration
	usesRetryBudget bool
}

// Name returns the kind's name as written in error responses, logs and metrics.
func (r Row) Name() string { return r.name }

// Certainty returns what is known about whether the request ran.
func (r Row) Certainty() Certainty { return r.certainty }

// Status returns the HTTP status for the caller.
func (r Row) Status() int { return r.status }

// RetryElsewhere reports whether the request may be retried on another backend
// server. A non-idempotent request is retried only if the certainty is NotRun
// as well.
func (r Row) RetryElsewhere() bool { return r.retryElsewhere }

// RetryAfter returns the time after which the caller may retry, for the
// Retry-After header field; 0 means that a retry will not help.
func (r Row) RetryAfter() time.Duration { return r.retryAfter }

// UsesRetryBudget reports whether a retry draws on the retry budget. It does if
// the failed attempt may have cost a backend server work or shows that one is
// short of capacity.
func (r Row) UsesRetryBudget() bool { return r.usesRetryBudget }

var table = [kindCount]Row{
	None:               {"none", Done, 200, false, 0, false},
	BadRequest:         {"badrequest", NotRun, 400, false, 0, false},
	TooLarge:           {"toolarge", NotRun, 413, false, 0, false},
	NoRoute:            {"noroute", NotRun, 404, false, 0, false},
	Unauthenticated:    {"unauthenticated", NotRun, 401, false, 0, false},
	NoConfig:           {"noconfig", NotRun, 503, false, time.Second, false},
	NoBackend:          {"nobackend", NotRun, 503, false, time.Second, false},
	Refused:            {"refused", NotRun, 503, true, time.Second, false},
	Full:               {"full", NotRun, 503, true, time.Second, true},
	Leaving:            {"leaving", NotRun, 503, true, time.Second, false},
	Down:               {"down", NotRun, 503, true, time.Second, false},
	Expired:            {"expired", NotRun, 504, false, 0, false},
	KeyReleased:        {"passed", NotRun, 503, true, time.Second, false},
	KeyUnknown:         {"absent", NotRun, 503, true, 0, false},
	Poison:             {"poison", NotRun, 422, false, 0, false},
	TooManyHops:        {"toomanyhops", NotRun, 508, false, 0, false},
	StaleConnection:    {"notalive", NotRun, 503, true, time.Second, false},
	Deadline:           {"deadline", Unknown, 504, false, 0, true},
	Unresponsive:       {"silent", Unknown, 502, true, time.Second, true},
	ConnectionLost:     {"cut", Unknown, 502, true, time.Second, true},
	MismatchedResponse: {"crossed", Unknown, 502, true, time.Second, true},
	Crashed:            {"crashed", Unknown, 502, true, time.Second, true},
	Shed:               {"shed", Unknown, 503, true, time.Second, true},
	NotExecuted:        {"turned", NotRun, 503, true, time.Second, true},
	Overflowed:         {"overflowed", Unknown, 502, true, time.Second, true},
	Conflict:           {"conflict", Unknown, 409, false, 0, false},
	OutcomeUnknown:     {"forgotten", Unknown, 409, false, 0, false},
	Canceled:           {"canceled", Unknown, 499, false, 0, false},
	Internal:           {"internal", Unknown, 500, false, 0, false},
}

// Row returns the kind's row of the table, or that of Internal for a value
// outside it.
func (k Kind) Row() Row {
	if k < 0 || k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// MayHaveReachedBackend reports whether the request may have reached a backend
// server, whether or not it ran there.
func (k Kind) MayHaveReachedBackend() bool { return k == NotExecuted || k.Row().certainty != NotRun }

// String returns the kind's name.
func (k Kind) String() string { return k.Row().name }

// All returns every kind but None, in the order of the table.
func All() []Kind {
	var all []Kind
	for k := None + 1; k < kindCount; k++ {
		all = append(all, k)
	}
	return all
}

// Parse returns the kind with the given name, or Internal for an unknown name,
// such as one of a later version.
func Parse(name string) Kind {
	for k := None; k < kindCount; k++ {
		if table[k].name == name {
			return k
		}
	}
	return Internal
}

var (
	namespace    = errorx.NewNamespace("godwittide")
	kindProperty = errorx.RegisterPrintableProperty("kind")
	errorType    = namespace.NewType("request")
)

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) error {
	return errorType.New(format, args...).WithProperty(kindProperty, k)
}

// Wrap returns an error of kind k that wraps cause. The message names the
// operation that failed.
func Wrap(cause error, k Kind, format string, args ...any) error {
	return errorType.Wrap(cause, format, args...).WithProperty(kindProperty, k)
}

// Of returns the kind of err: None for a nil error, Internal for an error
// without a kind.
func Of(err error) Kind {
	if err == nil {
		return None
	}
	v, ok := errorx.ExtractProperty(err, kindProperty)
	if !ok {
		return Internal
	}
	k, ok := v.(Kind)
	if !ok {
		return Internal
	}
	return k
}

// Detail returns the message of err without its error type and kind.
func Detail(err error) string {
	if e := errorx.Cast(err); e != nil {
		return e.Message()
	}
	return err.Error()
}
