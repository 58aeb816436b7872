// Package gtbeat follows the backend server beside a node by the heartbeats
// that it sends. Heartbeats may be late, come out of order, or be left over
// from a process that has ended.
//
// # Usage
//
//	follower := &gtbeat.Follower{Now: timer.Time, Silence: 5 * time.Second}
//	last, news := follower.Take(beat)     // what to believe now
//	last, known := follower.Leave(id)
//	if follower.Silent() { ... it has stopped ... }
package gtbeat

import (
	"slices"
	"sync"
	"time"
)

// Beat is one heartbeat: what a backend server says of itself.
type Beat struct {
	id      string
	version string
	slots   int
	leaving bool
	born    int64
	seq     int64
	cold    time.Duration
}

// NewBeat returns a heartbeat of the process with the given id, software
// version and number of requests that it runs at once.
func NewBeat(id, version string, slots int) Beat { return Beat{id: id, version: version, slots: slots} }

// WithOrder returns a copy with the time of the process's start, in Unix
// milliseconds, and the heartbeat's number.
func (b Beat) WithOrder(born, seq int64) Beat {
	b.born, b.seq = born, seq
	return b
}

// WithLeaving returns a copy of a process that takes no new requests.
func (b Beat) WithLeaving() Beat {
	b.leaving = true
	return b
}

// WithCold returns a copy of a process that stays slow for a time.
func (b Beat) WithCold(left time.Duration) Beat {
	b.cold = left
	return b
}

// ID returns the name of the process, which another start mostly changes.
func (b Beat) ID() string { return b.id }

// Version returns the software version.
func (b Beat) Version() string { return b.version }

// Slots returns how many requests the process runs at once.
func (b Beat) Slots() int { return b.slots }

// Leaving says whether the process takes no new requests.
func (b Beat) Leaving() bool { return b.leaving }

// Cold returns how much longer the process stays slow.
func (b Beat) Cold() time.Duration { return b.cold }

// after says whether b was sent after old. A process with another id and no
// known start counts as the later one.
func (b Beat) after(old Beat) bool {
	if b.born != old.born && b.born != 0 && old.born != 0 {
		return b.born > old.born
	}
	if b.id != old.id {
		return true
	}
	return b.seq > old.seq
}

// sameProcess says whether both are of one process.
func (b Beat) sameProcess(old Beat) bool { return b.id == old.id && b.born == old.born }

// Follower keeps the latest heartbeat.
type Follower struct {
	// Now reads the timer service's clock. It is set before use.
	Now func() time.Time
	// Silence is how long heartbeats may fail to come before the backend server
	// counts as stopped. It is set before use.
	Silence time.Duration
	// Stalled says whether this process stood still at some time after since:
	// heartbeats from then may wait to be read. It is set before use; nil means
	// never.
	Stalled func(since time.Time) bool

	mu   sync.Mutex
	last Beat
	at   time.Time
	left []departure // the latest last
}

// departure is the leave of a process.
type departure struct {
	id string
	at time.Time
}

// bars says whether a heartbeat is of the process that left, and not of a later
// one with the same id.
func (d departure) bars(b Beat) bool { return d.id == b.id && b.born <= d.at.UnixMilli() }

// maxLeft bounds how many processes that have left are remembered.
const maxLeft = 16

// Take takes in a heartbeat. It returns what to believe now, and false if the
// heartbeat is older than what is known. A process that leaves does not come
// back.
func (f *Follower) Take(b Beat) (Beat, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.at.IsZero() && !b.after(f.last) {
		return f.last, false
	}
	b.leaving = b.leaving || f.last.leaving && b.sameProcess(f.last) || slices.ContainsFunc(f.left, func(d departure) bool { return d.bars(b) })
	f.last, f.at = b, f.Now()
	return b, true
}

// Leave notes that the process with the given id takes no new requests, also
// where no heartbeat of it was heard yet: one may come late. It says whether that
// is the one that is known.
func (f *Follower) Leave(id string) (Beat, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left = append(f.left, departure{id, f.Now()})
	if len(f.left) > maxLeft {
		f.left = slices.Clone(f.left[1:])
	}
	if f.at.IsZero() || f.last.id != id {
		return f.last, false
	}
	f.last.leaving, f.at = true, f.Now()
	return f.last, true
}

// Last returns the latest heartbeat, and false if there was none yet.
func (f *Follower) Last() (Beat, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last, !f.at.IsZero()
}

// Silent says whether heartbeats have failed to come for too long.
func (f *Follower) Silent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if f.at.IsZero() || now.Sub(f.at) <= f.Silence {
		return false
	}
	return f.Stalled == nil || !f.Stalled(now.Add(-f.Silence))
}
