package gtinflight

import (
	"time"

	"godwittide/core/request/gtkind"
)

// Origin is who has sent a request to this process.
type Origin int

// The origins.
const (
	// Caller is a client outside the mesh, or a backend server that doesn't mark its calls.
	Caller Origin = iota
	// Backend is a backend server that makes a call while it runs a request.
	Backend
	// Peer is another node.
	Peer
	originCount
)

// String returns the origin as written in logs and metrics.
func (o Origin) String() string { return [originCount]string{"caller", "backend", "peer"}[o] }

// Stage is what a process does with a request.
type Stage int

// The stages.
const (
	// Reading means that the body is being received.
	Reading Stage = iota
	// Routing means that the process decides where the request goes.
	Routing
	// Queued means that it waits for the local backend server's admission gate, or for
	// an earlier request with its idempotency key.
	Queued
	// Working means that it has been sent to an instance.
	Working
	// Writing means that the response is being written.
	Writing
	stageCount
)

// String returns the stage as written in logs and metrics.
func (s Stage) String() string {
	return [stageCount]string{"reading", "routing", "queued", "working", "writing"}[s]
}

// Outcome is what a request ended with.
type Outcome int

// The outcomes.
const (
	// Answered means that the backend server's response was written.
	Answered Outcome = iota
	// Refused means an error response that says that the request didn't run.
	Refused
	// Failed means an error response that doesn't say so.
	Failed
	// Abandoned means that the caller or peer left before the response was there.
	Abandoned
	// Cut means that no complete response was written for another reason.
	Cut
	outcomeCount
)

// OutcomeOf returns the outcome of a request whose response, or error response for err,
// has been written.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Answered
	case gtkind.Of(err).Row().Certainty() == gtkind.NotRun:
		return Refused
	case gtkind.Of(err) == gtkind.Canceled:
		return Abandoned
	default:
		return Failed
	}
}

// Outcomes is the number of ended requests by outcome.
type Outcomes [outcomeCount]int64

// Since returns how many requests have ended since before.
func (o Outcomes) Since(before Outcomes) Outcomes {
	for i := range o {
		o[i] -= before[i]
	}
	return o
}

// Of returns the number with the given outcome.
func (o Outcomes) Of(outcome Outcome) int64 { return o[outcome] }

// Counts is the number of requests in flight by origin and stage.
type Counts [originCount][stageCount]int

// Each calls fn for each origin and stage, also where no request is in flight.
func (c Counts) Each(fn func(o Origin, s Stage, n int)) {
	for o := range c {
		for s, n := range c[o] {
			fn(Origin(o), Stage(s), n)
		}
	}
}

// Request is a request in flight at one moment.
type Request struct {
	id       string
	route    string
	origin   Origin
	from     string
	instance string
	stage    Stage
	outcome  Outcome
	began    time.Time
	deadline time.Time
}

// ID returns the request's ID, or "" if it isn't known yet.
func (r Request) ID() string { return r.id }

// Route returns the name of the request's route, or "" if it isn't known yet.
func (r Request) Route() string { return r.route }

// Origin returns who sent the request.
func (r Request) Origin() Origin { return r.origin }

// From returns the address that the request was sent from.
func (r Request) From() string { return r.from }

// Instance returns the instance that works on the request, or "".
func (r Request) Instance() string { return r.instance }

// Stage returns what the process does with the request.
func (r Request) Stage() Stage { return r.stage }

// Began returns when the request's head had been read.
func (r Request) Began() time.Time { return r.began }

// Deadline returns the request's deadline, or the zero time if it isn't known yet.
func (r Request) Deadline() time.Time { return r.deadline }
