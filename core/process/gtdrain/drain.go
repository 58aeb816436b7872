// Package gtdrain decides which requests a node that shuts down may still begin.
// A request that is begun has to be answered, so one whose deadline lies beyond
// the end of the shutdown is refused, unless its caller can't know of the shutdown
// yet.
//
// # Usage
//
//	drain := &gtdrain.Drain{Now: timer.Time, Linger: linger, Limit: limit}
//	drain.Begin(ordered)
//	if !drain.MayBegin(deadline) { ... refuse: it has not run ... }
//	timer.After(drain.Left())
package gtdrain

import (
	"time"

	"godwittide/core/process/gttimer"
)

// Drain is the course of a node's shutdown. Its exported fields are set before use.
type Drain struct {
	// Now reads the timer service's clock.
	Now func() time.Time
	// Linger is how long after its begin callers may not know of the shutdown.
	Linger time.Duration
	// Limit is how long after its begin the shutdown ends, with whatever is in
	// flight then.
	Limit time.Duration

	// begun is the start of Limit. It is at most half of Limit before the call of Begin, for
	// the sake of the requests in flight.
	begun gttimer.Moment
	// ordered is the earliest time at which the shutdown may have been ordered, from which the
	// platform counts its grace time. New requests are decided on by it.
	ordered gttimer.Moment
}

// Begin begins a shutdown that was ordered at the given time, which may be earlier than now.
// That takes at most half of Limit away from the requests in flight; new requests may begin
// only if they end within Limit of the order. It is called once.
func (d *Drain) Begin(ordered time.Time) {
	now := d.Now()
	d.ordered.Set(ordered)
	if earliest := now.Add(-d.Limit / 2); ordered.Before(earliest) {
		ordered = earliest
	}
	d.begun.Set(ordered)
}

// Begun reports whether the shutdown has begun.
func (d *Drain) Begun() bool { return !d.begun.Time().IsZero() }

// LingerEnded reports whether the shutdown has begun and callers know of it.
func (d *Drain) LingerEnded() bool {
	ordered := d.ordered.Time()
	return !ordered.IsZero() && d.Now().Sub(ordered) >= d.Linger
}

// MayBegin reports whether a request with the given deadline may begin now: it ends
// before the shutdown does, or its caller may not know of the shutdown yet.
func (d *Drain) MayBegin(deadline time.Time) bool {
	return !d.LingerEnded() || !d.EndsBefore(deadline)
}

// EndsBefore reports whether the shutdown has begun and, counted from its order, ends before
// the deadline.
func (d *Drain) EndsBefore(deadline time.Time) bool {
	ordered := d.ordered.Time()
	return !ordered.IsZero() && deadline.After(ordered.Add(d.Limit))
}

// Left returns the time until the end of the shutdown, and 0 after it. It must not
// be called before Begin.
func (d *Drain) Left() time.Duration {
	return max(0, d.begun.Time().Add(d.Limit).Sub(d.Now()))
}
