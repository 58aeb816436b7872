// Package gtheartbeat monitors the local backend server of a node by the heartbeats
// that it sends. Heartbeats may be delayed, arrive out of order, or come from a
// process that has already ended.
//
// # Usage
//
//	follower := &gtheartbeat.Follower{Now: timer.Time, Silence: 5 * time.Second}
//	last, newer := follower.Take(beat)     // the latest known heartbeat
//	last, known := follower.Leave(id)
//	if follower.Silent() { ... heartbeat timeout ... }
package gtheartbeat

import (
	"slices"
	"sync"
	"time"
)

// Heartbeat is a heartbeat: the state that a backend server reports of itself.
type Heartbeat struct {
	id          string
	version     string
	slots       int
	leaving     bool
	startMillis int64
	seq         int64
	warmUp      time.Duration
}

// NewHeartbeat returns a heartbeat of the process with the given id, software version
// and number of requests that it can process concurrently.
func NewHeartbeat(id, version string, slots int) Heartbeat {
	return Heartbeat{id: id, version: version, slots: slots}
}

// WithOrder returns a copy with the start time of the process, in Unix
// milliseconds, and the sequence number of the heartbeat. A start time of 0 means
// that it is unknown.
func (b Heartbeat) WithOrder(startMillis, seq int64) Heartbeat {
	b.startMillis, b.seq = startMillis, seq
	return b
}

// WithLeaving returns a copy whose process is shutting down and takes no new
// requests.
func (b Heartbeat) WithLeaving() Heartbeat {
	b.leaving = true
	return b
}

// WithWarmUp returns a copy whose process is warming up for the given remaining time.
func (b Heartbeat) WithWarmUp(remaining time.Duration) Heartbeat {
	b.warmUp = remaining
	return b
}

// ID returns the id of the process. It usually changes when the backend server
// restarts, but it may stay the same.
func (b Heartbeat) ID() string { return b.id }

// Version returns the software version of the backend server.
func (b Heartbeat) Version() string { return b.version }

// Slots returns how many requests the process can handle concurrently.
func (b Heartbeat) Slots() int { return b.slots }

// Leaving reports whether the process is shutting down and takes no new requests.
func (b Heartbeat) Leaving() bool { return b.leaving }

// WarmUp returns the remaining warm-up time of the process.
func (b Heartbeat) WarmUp() time.Duration { return b.warmUp }

// isNewerThan reports whether b was sent after old. Processes with known start
// times are ordered by these; otherwise a different id counts as newer.
func (b Heartbeat) isNewerThan(old Heartbeat) bool {
	if b.startMillis != old.startMillis && b.startMillis != 0 && old.startMillis != 0 {
		return b.startMillis > old.startMillis
	}
	if b.id != old.id {
		return true
	}
	return b.seq > old.seq
}

// isSameProcess reports whether both heartbeats come from the same process.
func (b Heartbeat) isSameProcess(old Heartbeat) bool {
	return b.id == old.id && b.startMillis == old.startMillis
}

// Monitor keeps the latest heartbeat of the local backend server and detects
// when heartbeats stop.
type Monitor struct {
	// Now returns the time of the timer service. It is set before use.
	Now func() time.Time
	// Timeout is the heartbeat timeout, after which the backend server counts as
	// stopped. It is set before use.
	Timeout time.Duration
	// PausedSince reports whether this process was paused at some time after since:
	// heartbeats that arrived during the pause may still be unread. It is set before
	// use; nil means never.
	PausedSince func(since time.Time) bool

	mu         sync.Mutex
	last       Heartbeat
	updatedAt  time.Time
	departures []departure // oldest first
}

// departure records that the process with this id announced its shutdown.
type departure struct {
	id string
	at time.Time
}

// matches reports whether b comes from the process that announced its shutdown,
// rather than from a later one with the same id.
func (d departure) matches(b Heartbeat) bool {
	return d.id == b.id && b.startMillis <= d.at.UnixMilli()
}

// maxDepartures is the maximum number of departures that are kept.
const maxDepartures = 16

// Observe processes a heartbeat. It returns the latest known heartbeat, and false if b
// is not newer than that. A process that has announced its shutdown stays leaving,
// also if a later heartbeat doesn't say so.
func (f *Monitor) Observe(b Heartbeat) (Heartbeat, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.updatedAt.IsZero() && !b.isNewerThan(f.last) {
		return f.last, false
	}
	b.leaving = b.leaving || f.last.leaving && b.isSameProcess(f.last) || slices.ContainsFunc(f.departures, func(d departure) bool { return d.matches(b) })
	f.last, f.updatedAt = b, f.Now()
	return b, true
}

// MarkLeaving records that the process with the given id is shutting down. The id may be
// unknown, since a heartbeat of the process can arrive later. Leave returns the
// latest known heartbeat, and true if it comes from that process.
func (f *Monitor) MarkLeaving(id string) (Heartbeat, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.departures = append(f.departures, departure{id, f.Now()})
	if len(f.departures) > maxDepartures {
		f.departures = slices.Clone(f.departures[1:])
	}
	if f.updatedAt.IsZero() || f.last.id != id {
		return f.last, false
	}
	f.last.leaving, f.updatedAt = true, f.Now()
	return f.last, true
}

// Last returns the latest heartbeat, and false if none has been received.
func (f *Monitor) Last() (Heartbeat, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last, !f.updatedAt.IsZero()
}

// TimedOut reports whether the heartbeat timeout has passed since the last heartbeat.
// It is false before the first heartbeat, and while the timeout overlaps a pause of
// this process.
func (f *Monitor) TimedOut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if f.updatedAt.IsZero() || now.Sub(f.updatedAt) <= f.Timeout {
		return false
	}
	return f.PausedSince == nil || !f.PausedSince(now.Add(-f.Timeout))
}
