// Package gtheartbeat monitors the local backend server of a node by the
// heartbeats that it sends. Heartbeats may be delayed, arrive out of order, or
// come from a process that has already ended.
//
// # Usage
//
//	monitor := &gtheartbeat.Monitor{Now: timer.Time, Timeout: 5 * time.Second}
//	last, newer := monitor.Observe(heartbeat) // the latest known heartbeat
//	departed, last, known := monitor.MarkLeaving(id)
//	if monitor.TimedOut() { ... heartbeat timeout ... }
package gtheartbeat

import (
	"math"
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

	// NodeStart is when this process of the node started. Earlier ones may have
	// acknowledged departures, which are to be learned: see Admits. The zero time means
	// that there were none. It is set before use.
	NodeStart time.Time

	mu         sync.Mutex
	recalled   bool
	confirmed  bool // the process of last has sent a further heartbeat
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

// departure records that processes with one id announced their shutdown: the known one,
// and every other that started before the announcement arrived, as the announcement
// doesn't say which of them sent it. A process may leave before its first heartbeat
// arrives.
type departure struct {
	process Process   // the known process; its start time is 0 if none is known
	latest  int64     // the latest start time of the others; math.MaxInt64 means any
	at      time.Time // of the announcement
}

// matches reports whether h comes from a process that announced its shutdown, rather
// than from a later one with the same id.
func (d departure) matches(h Heartbeat, now time.Time) bool {
	if d.process.id != h.id {
		return false
	}
	return h.startMillis == d.process.startMillis || h.startMillis <= d.startedBy(now)
}

// startedBy returns the time by which the processes other than the known one started,
// in Unix milliseconds. The time of day may have been stepped since the announcement: of
// the time noted then and the one that today's clock gives, the earlier counts, so that
// a later process isn't taken for one that has left.
func (d departure) startedBy(now time.Time) int64 {
	elapsed := max(0, now.Sub(d.at))
	return min(d.latest, d.at.UnixMilli(), now.Add(-elapsed).UnixMilli())
}

// maxDepartures is the maximum number of departures that are kept.
const maxDepartures = 16

// Observe processes a heartbeat. It returns the latest known heartbeat, and
// false if h is not newer than that. A process that has announced its shutdown
// stays leaving, even if a later heartbeat doesn't say so.
func (m *Monitor) Observe(h Heartbeat) (Heartbeat, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	if !m.updatedAt.IsZero() && !h.isNewerThan(m.last) {
		return m.last, false
	}
	h.leaving = h.leaving || m.last.leaving && h.isSameProcess(m.last) || slices.ContainsFunc(m.departures, func(d departure) bool { return d.matches(h, now) })
	m.confirmed = !m.updatedAt.IsZero() && h.isSameProcess(m.last)
	m.last, m.updatedAt = h, now
	return h, true
}

// FinishRecall records that the departures which earlier processes of the node
// acknowledged have been marked.
func (m *Monitor) FinishRecall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recalled = true
}

// Admits reports whether the backend server may be taken into use by its latest
// heartbeat. A single heartbeat may have been held up since before the process left. If
// the process may have left before the node started, and earlier departures are not known
// yet, it has to send another one: one that has left sends none.
func (m *Monitor) Admits() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recalled || m.confirmed || m.NodeStart.IsZero() || m.last.startMillis >= m.NodeStart.UnixMilli()
}

// MarkLeaving records that the processes with the given id that have started until now
// are shutting down. None of them may be known, since their heartbeats can arrive later.
// MarkLeaving returns the last process that this may concern, the latest known
// heartbeat, and true if that comes from one of these processes.
func (m *Monitor) MarkLeaving(id string) (Process, Heartbeat, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := departure{process: NewProcess(id, 0), latest: math.MaxInt64, at: m.Now()}
	if !m.updatedAt.IsZero() && m.last.id == id {
		d.process.startMillis = m.last.startMillis
	}
	last, known := m.addDeparture(d)
	return NewProcess(id, max(d.process.startMillis, d.at.UnixMilli())), last, known
}

// MarkDeparted records that a process, and those with its id that started before it,
// announced their shutdown to an earlier process of this node. It returns the latest
// known heartbeat, and true if it comes from one of them.
func (m *Monitor) MarkDeparted(p Process) (Heartbeat, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addDeparture(departure{process: p, latest: p.startMillis, at: m.Now()})
}

// addDeparture records a departure. It returns the latest known heartbeat, and true if
// it comes from a process that has left. The caller holds the lock.
func (m *Monitor) addDeparture(d departure) (Heartbeat, bool) {
	m.departures = slices.DeleteFunc(m.departures, func(old departure) bool { return old.process == d.process })
	m.departures = append(m.departures, d)
	if len(m.departures) > maxDepartures {
		m.departures = slices.Clone(m.departures[1:])
	}
	if m.updatedAt.IsZero() || !d.matches(m.last, d.at) {
		return m.last, false
	}
	m.last.leaving, m.updatedAt = true, d.at
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
