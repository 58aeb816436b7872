package gtadmission

import "time"

// Servers of some services reset a connection when they are full. Others never respond to a
// request that they can't queue, nor to any further one on its connection. Neither tells
// that the server is full: it is concluded from what the other requests do meanwhile.

const (
	// fullDivisor is the divisor of the limit that gives the number of running requests from
	// which a reset may mean that the server is full; it is 2 at least. A reset with fewer
	// has another cause.
	fullDivisor = 2
	// minStuckTime is the shortest time without a response after which a request may be
	// stuck. It also has to be stuckRatio times the service time of its route, and
	// longestRatio times the longest latency on the route within longestMemory.
	minStuckTime  = 300 * time.Millisecond
	stuckRatio    = 5
	longestRatio  = 2
	longestMemory = time.Minute
	// overtakenPerSlot is the number of later requests that must have been responded to
	// meanwhile, for each unit of the limit: a server that is frozen, or works off a queue,
	// doesn't respond to them.
	overtakenPerSlot = 2
	// recoverInterval is the time between two increases of a fixed limit that was lowered
	// because the server was full.
	recoverInterval = time.Second
)

// longest is the longest recent latency on a route.
type longest struct {
	latency time.Duration
	at      time.Time
}

// begin records that a ticket's request is sent to the server.
func (g *Gate) begin(t *Ticket, now time.Time) {
	t.grantedAt, t.runningAtGrant = now, g.runningTotal()
	g.sequence++
	t.sequence = g.sequence
	if g.sent == nil {
		g.sent = map[*Ticket]struct{}{}
	}
	g.sent[t] = struct{}{}
}

// end records that a ticket's request has ended. If it got a response, those that were sent
// before it were overtaken.
func (g *Gate) end(t *Ticket, responded bool) {
	delete(g.sent, t)
	if !responded {
		return
	}
	for o := range g.sent {
		if o.sequence < t.sequence {
			o.overtaken++
		}
	}
}

// noteLongest records a latency on a route.
func (g *Gate) noteLongest(route string, latency time.Duration, now time.Time) {
	l, known := g.longestTimes[route]
	if known && latency < l.latency && now.Sub(l.at) < longestMemory || !known && len(g.longestTimes) >= maxRoutes {
		return
	}
	if g.longestTimes == nil {
		g.longestTimes = map[string]longest{}
	}
	g.longestTimes[route] = longest{latency, now}
}

// LooksFull reports whether the server had so many requests when this one was sent that a
// reset of the connection means that it is full.
func (t *Ticket) LooksFull() bool {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return t.looksFull()
}

func (t *Ticket) looksFull() bool {
	return t.runningAtGrant >= max(2, int(t.gate.limit())/fullDivisor)
}

// IsStuck reports whether the server will never respond to the request, as it was full when
// that came: it has responded to many that were sent later, while this one takes much longer
// than any on its route.
func (t *Ticket) IsStuck() bool {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.finished || !t.running || !t.looksFull() || t.overtaken < overtakenPerSlot*int(g.limit()) {
		return false
	}
	usual := g.serviceTimes[t.request.route]
	shortest := max(minStuckTime, stuckRatio*usual, longestRatio*g.longestTimes[t.request.route].latency)
	return usual > 0 && g.Now().Sub(t.grantedAt) >= shortest && !g.wasPausedSince(t.grantedAt)
}

// observeOverflow lowers the limit to the number of other running requests, whether it is
// fixed or not.
func (g *Gate) observeOverflow(now time.Time) {
	g.counts.overflows++
	g.limiter.observeShed(g.runningTotal(), now)
}

// recover raises a fixed limit that was lowered because the server was full.
func (l *limiter) recover(now time.Time) {
	if l.limit >= float64(l.slots) || now.Before(l.holdUntil) || now.Sub(l.changedAt) < recoverInterval {
		return
	}
	l.limit, l.changedAt = min(float64(l.slots), l.limit+1), now
	if now.Sub(l.holdUntil) > 2*maxHold {
		l.holdTime = 0
	}
}

// ConnLimit returns how many connections to the server may be open while its limit is
// lowered because it was full, and 0 if there is no such bound.
func (g *Gate) ConnLimit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.Fixed || g.limiter.current() >= g.Slots {
		return 0
	}
	return max(g.limiter.current(), g.runningTotal())
}
