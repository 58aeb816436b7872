// Package gtheartbeat monitors the local backend server of a node by the
// heartbeats that it sends. Heartbeats may be delayed, arrive out of order, or
// come from a process that has already ended.
//
// # Usage
//
//	monitor := &gtheartbeat.Monitor{Now: timer.Time, Timeout: 5 * time.Second}
//	last, newer := monitor.Observe(heartbeat) // the latest known heartbeat
//	last, known := monitor.MarkLeaving(id)
//	if monitor.TimedOut() { ... heartbeat timeout ... }
package gtheartbeat

import (
	"slices"
	"sync"
	"time"
)

// Heartbeat is the state that a backend server reports of itself.
type Heartbeat struct {
	id          string
	version     string
	slots       int
	leaving     bool
	startMillis int64
	seq         int64
	warmUp      time.Duration
}

// NewHeartbeat returns a heartbeat of the process with the given id, software
// version and number of requests that it can process concurrently.
func NewHeartbeat(id, version string, slots int) Heartbeat {
	return Heartbeat{id: id, version: version, slots: slots}
}

// WithOrder returns a copy with the start time of the process, in Unix
// milliseconds, and the sequence number of the heartbeat. A start time of 0 means
// that it is unknown.
func (h Heartbeat) WithOrder(startMillis, seq int64) Heartbeat {
	h.startMillis, h.seq = startMillis, seq
	return h
}

// WithLeaving returns a copy whose process is shutting down and takes no new
// requests.
func (h Heartbeat) WithLeaving() Heartbeat {
	h.leaving = true
	return h
}

// WithWarmUp returns a copy whose process is warming up for the given remaining
// time.
func (h Heartbeat) WithWarmUp(remaining time.Duration) Heartbeat {
	h.warmUp = remaining
	return h
}

// ID returns the id of the process. It usually changes when the backend server
// restarts, but it may stay the same.
func (h Heartbeat) ID() string { return h.id }

// Version returns the software version of the backend server.
func (h Heartbeat) Version() string { return h.version }

// Slots returns how many requests the process can handle concurrently.
func (h Heartbeat) Slots() int { return h.slots }

// Leaving reports whether the process is shutting down and takes no new requests.
func (h Heartbeat) Leaving() bool { return h.leaving }

// Process returns the process that sent the heartbeat.
func (h Heartbeat) Process() Process { return NewProcess(h.id, h.startMillis) }

// WarmUp returns the remaining warm-up time of the process.
func (h Heartbeat) WarmUp() time.Duration { return h.warmUp }

// isNewerThan reports whether h was sent after old. Processes with known start
// times are ordered by these; otherwise a different id counts as newer.
func (h Heartbeat) isNewerThan(old Heartbeat) bool {
	if h.startMillis != old.startMillis && h.startMillis != 0 && old.startMillis != 0 {
		return h.startMillis > old.startMillis
	}
	if h.id != old.id {
		return true
	}
	return h.seq > old.seq
}

// isSameProcess reports whether both heartbeats come from the same process.
func (h Heartbeat) isSameProcess(old Heartbeat) bool {
	return h.id == old.id && h.startMillis == old.startMillis
}

// Monitor keeps the latest heartbeat of the local backend server and detects
// when heartbeats stop.
type Monitor struct {
	// Now returns the time of the timer service. It is set before use.
	Now func() time.Time
	// Timeout is the heartbeat timeout, after which the backend server counts as
	// down. It is set before use.
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

// Process identifies a process of the backend server.
type Process struct {
	id          string
	startMillis int64
}

// NewProcess returns a process by its id and its start time, in Unix milliseconds.
func NewProcess(id string, startMillis int64) Process {
	return Process{id: id, startMillis: startMillis}
}

// ID returns the id of the process.
func (p Process) ID() string { return p.id }

// StartMillis returns the start time of the process, in Unix milliseconds.
func (p Process) StartMillis() int64 { return p.startMillis }

// departure records that a process announced its shutdown. If its start time is
// not known, it is 0, and at is the time of the announcement.
type departure struct {
	process Process
	at      time.Time
}

// matches reports whether h comes from the process that announced its shutdown,
// rather than from a later one with the same id.
func (d departure) matches(h Heartbeat) bool {
	if d.process.id != h.id {
		return false
	}
	if d.process.startMillis != 0 {
		return h.startMillis == d.process.startMillis
	}
	return h.startMillis <= d.at.UnixMilli()
}

// maxDepartures is the maximum number of departures that are kept.
const maxDepartures = 16

// Observe processes a heartbeat. It returns the latest known heartbeat, and
// false if h is not newer than that. A process that has announced its shutdown
// stays leaving, even if a later heartbeat doesn't say so.
func (m *Monitor) Observe(h Heartbeat) (Heartbeat, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.updatedAt.IsZero() && !h.isNewerThan(m.last) {
		return m.last, false
	}
	h.leaving = h.leaving || m.last.leaving && h.isSameProcess(m.last) || slices.ContainsFunc(m.departures, func(d departure) bool { return d.matches(h) })
	m.last, m.updatedAt = h, m.Now()
	return h, true
}

// MarkLeaving records that the process with the given id is shutting down. The
// id may be unknown, since a heartbeat of the process can arrive later.
// MarkLeaving returns the latest known heartbeat, and true if it comes from
// that process.
func (m *Monitor) MarkLeaving(id string) (Heartbeat, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := NewProcess(id, 0)
	if !m.updatedAt.IsZero() && m.last.id == id {
		p.startMillis = m.last.startMillis
	}
	return m.addDeparture(p)
}

// MarkDeparted is like MarkLeaving for a process whose start time is known: one that
// announced its shutdown to an earlier process of this node.
func (m *Monitor) MarkDeparted(p Process) (Heartbeat, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addDeparture(p)
}

// addDeparture records a departure. It returns the latest known heartbeat, and true if
// it comes from that process. The caller holds the lock.
func (m *Monitor) addDeparture(p Process) (Heartbeat, bool) {
	d := departure{process: p, at: m.Now()}
	m.departures = slices.DeleteFunc(m.departures, func(old departure) bool { return old.process == p })
	m.departures = append(m.departures, d)
	if len(m.departures) > maxDepartures {
		m.departures = slices.Clone(m.departures[1:])
	}
	if m.updatedAt.IsZero() || !d.matches(m.last) {
		return m.last, false
	}
	m.last.leaving, m.updatedAt = true, m.Now()
	return m.last, true
}

// Last returns the latest heartbeat, and false if none has been received.
func (m *Monitor) Last() (Heartbeat, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last, !m.updatedAt.IsZero()
}

// TimedOut reports whether the heartbeat timeout has passed since the last
// heartbeat. It is false before the first heartbeat, and while the timeout
// overlaps a pause of this process.
func (m *Monitor) TimedOut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	if m.updatedAt.IsZero() || now.Sub(m.updatedAt) <= m.Timeout {
		return false
	}
	return m.PausedSince == nil || !m.PausedSince(now.Add(-m.Timeout))
}
