// Package gtusage counts the requests of client accounts by window of time, sums the
// counts of all nodes, and decides which windows are reported next.
//
// # Usage
//
//	windows := gtusage.NewWindows(5 * time.Second)
//	window := windows.At(clock.Time())
//	counter.Begin("pulo780", window)                 // beside the backend server
//	batch, ok := outbox.Next("i-2", counter.Cells(), window) // for a candidate
//	epoch, ok := sums.Add("i-1", start, batch)       // at the candidate
//	action := ledger.Next(clock.Time())              // at the holder of the duty
package gtusage

import (
	"sync"
	"time"
)

// Windows divides the time since the start of 1970 into windows of one length.
type Windows struct{ length time.Duration }

// NewWindows returns windows of the given length.
func NewWindows(length time.Duration) Windows { return Windows{length} }

// Length returns the length of a window.
func (w Windows) Length() time.Duration { return w.length }

// At returns the number of the window that holds a time.
func (w Windows) At(t time.Time) int64 {
	n := t.UnixNano()
	k := n / int64(w.length)
	if n < 0 && n%int64(w.length) != 0 {
		k--
	}
	return k
}

// Start returns the start of a window.
func (w Windows) Start(k int64) time.Time { return time.Unix(0, k*int64(w.length)) }

// End returns the end of a window.
func (w Windows) End(k int64) time.Time { return w.Start(k + 1) }

const (
	// jumpThreshold is the difference from the expected time of day above which it has
	// jumped. Below it the clock follows at once: time servers correct some milliseconds.
	jumpThreshold = 250 * time.Millisecond
	// jumpPatience is how long the time of day must keep a jump until it is followed.
	jumpPatience = 8 * time.Second
)

// Clock follows the time of day, but ignores a jump until it has lasted jumpPatience.
// Its exported fields are set before use.
type Clock struct {
	// Wall returns the time of day.
	Wall func() time.Time
	// Uptime returns the reading of a clock that isn't set and counts the suspension
	// of the machine.
	Uptime func() time.Duration

	mu    sync.Mutex
	known bool
	// offset is the time of day at uptime 0, in nanoseconds since 1970.
	offset int64
	// jumpOffset and jumpSince describe a jump that isn't followed yet.
	jumpOffset int64
	jumpSince  time.Duration
	jumped     bool
}

// Time returns the time, without a reading of the steady clock.
func (c *Clock) Time() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall, uptime := c.Wall().UnixNano(), c.Uptime()
	offset := wall - int64(uptime)
	switch {
	case !c.known, isNear(offset, c.offset):
		c.known, c.offset, c.jumped = true, offset, false
	case !c.jumped || !isNear(offset, c.jumpOffset):
		c.jumped, c.jumpOffset, c.jumpSince = true, offset, uptime
	case uptime-c.jumpSince >= jumpPatience:
		c.offset, c.jumped = offset, false
	}
	return time.Unix(0, c.offset+int64(uptime))
}

func isNear(a, b int64) bool {
	d := a - b
	return max(d, -d) <= int64(jumpThreshold)
}
