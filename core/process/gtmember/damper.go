package gtmember

import (
	"sync"
	"time"
)

const (
	// FlapBurst is how many times a backend server may be announced as down within
	// FlapWindow.
	FlapBurst = 3
	// FlapWindow is the time window over which announcements are counted.
	FlapWindow = time.Minute
)

// Damper limits the rate at which a node announces its backend server as down. Each
// restart of a flapping server would otherwise send two records to every node. A
// suppressed announcement costs callers little: the node refuses their requests
// immediately, and they are retried on another instance.
type Damper struct {
	// Now returns the time of the timer service. It is set before use.
	Now func() time.Time

	mu        sync.Mutex
	announced []time.Time
}

// Allow reports whether the backend server may be announced as down now, and counts
// the announcement if so.
func (d *Damper) Allow() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	if len(d.announced) == FlapBurst {
		if now.Sub(d.announced[0]) < FlapWindow {
			return false
		}
		d.announced = d.announced[1:]
	}
	d.announced = append(d.announced, now)
	return true
}
