// Package gtkind is the closed list of error kinds, and the one table that
// says for each kind what is certain about the request, which status the
// caller gets, whether another backend server may be tried, and how long to
// wait before a new attempt.
//
// # Usage
//
//	err := gtkind.New(gtkind.Full, "admission queue of %s is full", instance)
//	row := gtkind.Of(err).Row()
//	w.WriteHeader(row.Status())
//
// An error without a kind counts as Internal.
package gtkind

import (
	"time"

	"github.com/joomcode/errorx"
)

// Kind is one of the closed list of error kinds.
type Kind int

// The error kinds. The table in this file gives the meaning of each.
const (
	None Kind = iota
	BadRequest
	TooLarge
	NoRoute
	NoConfig
	NoBackend
	Refused
	Full
	Leaving
	Down
	Expired
	Passed
	Absent
	Poison
	TooManyHops
	NotAlive
	Deadline
	Silent
	Cut
	Crossed
	Crashed
	Shed
	Turned
	Conflict
	Forgotten
	Canceled
	Internal
	count
)

// Certainty says what is known about the run of a request.
type Certainty int

// The values of Certainty.
const (
	// NotRun means that the request provably did not reach the backend server.
	NotRun Certainty = iota
	// Unknown means that the request may or may not have run.
	Unknown
	// Done means that the backend server answered.
	Done
)

// String returns the certainty as it stands in answers.
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

// Row is what the table says of a kind.
type Row struct {
	name      string
	certainty Certainty
	status    int
	elsewhere bool
	wait      time.Duration
	work      bool
}

// Name returns the kind's name as it stands in answers, logs and metrics.
func (r Row) Name() string { return r.name }

// Certainty returns what is known about the run of the request.
func (r Row) Certainty() Certainty { return r.certainty }

// Status returns the HTTP status for the caller.
func (r Row) Status() int { return r.status }

// Elsewhere says whether another backend server may be tried. A request that
// may not be repeated is tried again only if its certainty is NotRun as well.
func (r Row) Elsewhere() bool { return r.elsewhere }

// Wait returns how long a caller should wait before a new attempt; zero means
// that waiting will not help.
func (r Row) Wait() time.Duration { return r.wait }

// Work says whether the failed attempt may have cost a backend server work,
// or shows that it is short of capacity. Such retries draw on the budget.
func (r Row) Work() bool { return r.work }

var table = [count]Row{
	None:        {"none", Done, 200, false, 0, false},
	BadRequest:  {"badrequest", NotRun, 400, false, 0, false},
	TooLarge:    {"toolarge", NotRun, 413, false, 0, false},
	NoRoute:     {"noroute", NotRun, 404, false, 0, false},
	NoConfig:    {"noconfig", NotRun, 503, false, time.Second, false},
	NoBackend:   {"nobackend", NotRun, 503, false, time.Second, false},
	Refused:     {"refused", NotRun, 503, true, time.Second, false},
	Full:        {"full", NotRun, 503, true, time.Second, true},
	Leaving:     {"leaving", NotRun, 503, true, time.Second, false},
	Down:        {"down", NotRun, 503, true, time.Second, false},
	Expired:     {"expired", NotRun, 504, false, 0, false},
	Passed:      {"passed", NotRun, 503, true, time.Second, false},
	Absent:      {"absent", NotRun, 503, true, 0, false},
	Poison:      {"poison", NotRun, 422, false, 0, false},
	TooManyHops: {"toomanyhops", NotRun, 508, false, 0, false},
	NotAlive:    {"notalive", NotRun, 503, true, time.Second, false},
	Deadline:    {"deadline", Unknown, 504, false, 0, true},
	Silent:      {"silent", Unknown, 502, true, time.Second, true},
	Cut:         {"cut", Unknown, 502, true, time.Second, true},
	Crossed:     {"crossed", Unknown, 502, true, time.Second, true},
	Crashed:     {"crashed", Unknown, 502, true, time.Second, true},
	Shed:        {"shed", Unknown, 503, true, time.Second, true},
	Turned:      {"turned", NotRun, 503, true, time.Second, true},
	Conflict:    {"conflict", Unknown, 409, false, 0, false},
	Forgotten:   {"forgotten", Unknown, 409, false, 0, false},
	Canceled:    {"canceled", Unknown, 499, false, 0, false},
	Internal:    {"internal", Unknown, 500, false, 0, false},
}

// Row returns the kind's row of the table.
func (k Kind) Row() Row {
	if k < 0 || k >= count {
		return table[Internal]
	}
	return table[k]
}

// Reached says whether the request may have got to a backend server, whatever
// became of it there.
func (k Kind) Reached() bool { return k == Turned || k.Row().certainty != NotRun }

// String returns the kind's name.
func (k Kind) String() string { return k.Row().name }

// All returns every kind but None, in the order of the table.
func All() []Kind {
	var all []Kind
	for k := None + 1; k < count; k++ {
		all = append(all, k)
	}
	return all
}

// Parse returns the kind with the given name, and Internal for a name that is
// not in the table.
func Parse(name string) Kind {
	for k := None; k < count; k++ {
		if table[k].name == name {
			return k
		}
	}
	return Internal
}

var (
	namespace = errorx.NewNamespace("godwittide")
	property  = errorx.RegisterPrintableProperty("kind")
	errorType = namespace.NewType("request")
)

// New returns an error of the kind.
func New(k Kind, format string, args ...any) error {
	return errorType.New(format, args...).WithProperty(property, k)
}

// Wrap returns an error of the kind that says what was attempted when cause
// came up.
func Wrap(cause error, k Kind, format string, args ...any) error {
	return errorType.Wrap(cause, format, args...).WithProperty(property, k)
}

// Of returns the kind of err: None for nil, Internal for an error without a
// kind.
func Of(err error) Kind {
	if err == nil {
		return None
	}
	v, ok := errorx.ExtractProperty(err, property)
	if !ok {
		return Internal
	}
	k, ok := v.(Kind)
	if !ok {
		return Internal
	}
	return k
}

// Detail returns what err says, without its type and its kind.
func Detail(err error) string {
	if e := errorx.Cast(err); e != nil {
		return e.Message()
	}
	return err.Error()
}
