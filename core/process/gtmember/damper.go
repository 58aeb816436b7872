package gtmember

import (
	"sync"
	"time"
)

const (
	// FlapBurst is how often a backend server may be announced as down within
	// FlapWindow.
	FlapBurst = 3
	// FlapWindow is the time over which announcements are counted.
	FlapWindow = time.Minute
)

// Damper bounds how often a node announces that its backend server is down. A
// server that comes and goes all the time would otherwise cost every node two
// records for each turn. What is held back costs callers little: the node
// refuses at once, and such a request is sent elsewhere.
type Damper struct {
	// Now reads the timer service's clock. It is set before use.
	Now func() time.Time

	mu   sync.Mutex
	used []time.Time
}

// Allow says whether the server may be announced as down now, and counts it if
// so.
func (d *Damper) Allow() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	if len(d.used) == FlapBurst {
		if now.Sub(d.used[0]) < FlapWindow {
			return false
		}
		d.used = d.used[1:]
	}
	d.used = append(d.used, now)
	return true
}
