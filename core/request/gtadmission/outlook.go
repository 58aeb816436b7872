package gtadmission

import (
	"time"

	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

// Outlook returns what Enter would do with a request now: whether it would run at once, or
// how long it is expected to wait in the queue. The error is that of Enter, and then the
// wait is the one that the request would have had. Outlook admits and counts nothing.
func (g *Gate) Outlook(class gtconfig.Class, dueAt, deadline time.Time) (runs bool, wait time.Duration, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ensureInitialized()
	if g.closedWith != gtkind.None {
		return false, 0, gtkind.New(g.closedWith, "backend server does not accept new requests")
	}
	if !now.Before(deadline) {
		return false, 0, gtkind.New(gtkind.Expired, "deadline passed before the request was admitted")
	}
	if warmUp := g.warmUp; !warmUp.takeToken(now) { // a copy: no token is taken
		wait := time.Duration((1 - warmUp.tokens) / warmUp.rate * float64(time.Second))
		return false, wait, gtkind.New(gtkind.Full, "backend server is warming up and has reached its rate limit")
	}
	if len(g.queue[class]) == 0 && g.hasRoom(class, now) {
		return true, 0, nil
	}
	wait, err = g.expectedWait(class, dueAt, deadline, now)
	return false, wait, err
}
