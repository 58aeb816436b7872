// Package gtstandin decides when a node watches the store in place of the watchers of
// its zone. The watchers tell the nodes that rank right behind them of their success;
// one that hears of none for a while watches too, until it hears of one again.
//
// # Usage
//
//	standIn := &gtstandin.StandIn{Now: timer.Time}
//	standIn.Heard()                             // on a notice of a node that ranks before
//	if ok, recheck := standIn.Decide(rank); ok { ... watch the store ... }
//
// The number of stand-ins is bounded for each zone, so that a store that fails for all
// nodes is called by no more than these. A needless stand-in costs a few calls of the
// store and is otherwise harmless.
package gtstandin

import (
	"sync"
	"time"

	"godwittide/core/process/gtrank"
)

const (
	// NoticePeriod is the period at which a node that watches the store with success
	// tells the stand-ins so.
	NoticePeriod = 400 * time.Millisecond
	// silence is the time without a notice after which the first stand-in watches the
	// store. A change has to be in force 2 s after it, also when the watchers lose power
	// right before it; the rest of that time is for the read and the peers' fetches.
	silence = 1200 * time.Millisecond
	// stagger is how much longer each next stand-in waits, so that it hears of the
	// success of the one before.
	stagger = 500 * time.Millisecond
	// startGrace is the time in which a node that has begun to rank as a stand-in waits
	// for its first notice: the watchers have to rank it too, and to link to it.
	startGrace = 4 * time.Second
	// minDuration is how long a stand-in watches at least, which bounds how often it
	// begins where notices come and go.
	minDuration = 10 * time.Second
)

// StandIn is the state of a node as a stand-in. Its exported fields are set before use.
type StandIn struct {
	// Now returns the time of the timer service.
	Now func() time.Time

	mu       sync.Mutex
	rankedAt time.Time // since when the node ranks as a stand-in, or zero
	heardAt  time.Time
	since    time.Time // since when the node stands in, or zero
}

// Heard records a notice of a node that ranks before this one and watches the store with
// success.
func (s *StandIn) Heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = s.Now()
}

// Decide reports whether the node, which has the given rank for watching the store in
// its zone, stands in for the watchers, and after which time to decide again.
func (s *StandIn) Decide(rank int) (standsIn bool, recheck time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	place := rank - gtrank.ZoneWatchers
	if place < 0 || place >= gtrank.ZoneStandIns {
		s.rankedAt, s.since = time.Time{}, time.Time{}
		return false, startGrace
	}
	if s.rankedAt.IsZero() {
		s.rankedAt = now
	}
	deadline := s.heardAt.Add(silence + time.Duration(place)*stagger)
	if grace := s.rankedAt.Add(startGrace); grace.After(deadline) {
		deadline = grace
	}
	if !now.Before(deadline) {
		if s.since.IsZero() {
			s.since = now
		}
		return true, minDuration
	}
	if end := s.since.Add(minDuration); !s.since.IsZero() && now.Before(end) {
		return true, end.Sub(now)
	}
	s.since = time.Time{}
	return false, deadline.Sub(now)
}
