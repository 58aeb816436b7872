package gtadmission

import (
	"slices"
	"time"
)

// Servers of some services reset a connection when they are full. Others never respond to a
// request that they can't queue, nor to any further one on its connection. Neither tells
// that the server is full: it is concluded from what the other requests do meanwhile.

const (
	// fullDivisor is the divisor of the limit that gives the number of requests in flight
	// from which a reset may mean that the server is full; it is minFull at least. A reset
	// with fewer has another cause.
	fullDivisor = 2
	minFull     = 2
	// recentResponse is the longest time since the server's last response after which it
	// counts as working; on slow routes it is longestRatio times their longest latency. A
	// server that resets all of its requests is not full but fails.
	recentResponse = time.Second
	// minStuckTime is the shortest time without a response after which a request may be
	// stuck. It also has to be stuckRatio times the service time of its route, and
	// longestRatio times the longest latency on the route within longestMemory.
	minStuckTime  = 300 * time.Millisecond
	stuckRatio    = 5
	longestRatio  = 2
	longestMemory = time.Minute
	// learnTime is the time since the first response on a route after which its usual latency
	// is known: some of its requests may always take much longer than the others.
	learnTime = 5 * time.Second
	// overtakenPerSlot is the number of later requests that must have been responded to
	// meanwhile, for each unit of the limit: a server that is frozen, or works off a queue,
	// doesn't respond to them.
	overtakenPerSlot = 2
	// minSuspects is the number of requests that must be overtaken at the same time, unless
	// the server was full within fullMemory. A single one may just take long.
	minSuspects = 2
	// fullMemory is how long after an overflow the server may be full again.
	fullMemory = 2 * maxHold
	// recoverInterval is the time between two increases of a fixed limit that was lowered
	// because the server was full.
	recoverInterval = time.Second
	// maxSamples is the number of outcomes that are kept to tell how many requests the server
	// can run now, each for sampleMemory.
	maxSamples   = 64
	sampleMemory = time.Second
	// crossingDivisor is the divisor of the service time that gives the time after the sending
	// of a request in which the responses to earlier ones may have crossed it: the server
	// had these no longer.
	crossingDivisor = 8
	// maxLinger is the longest time that the slot of an abandoned request stays in use.
	maxLinger = time.Second
)

// longest is the longest recent latency on a route.
type longest struct {
	latency time.Duration
	at      time.Time
	since   time.Time // of the first response on the route
}

// sample is an outcome of a request: a response, or a reset of its connection. The level is
// the number of requests that the server had then. Of a response it is a lower bound: the
// requests that were in flight when this one was sent and that also got a response, and
// itself.
type sample struct {
	at    time.Time
	level int
	reset bool
}

// overflow is what a gate knows about how full its server is. It is guarded by the lock of
// that gate.
type overflow struct {
	sequence     uint64    // of the request that was sent last
	sent         []*Ticket // requests in flight, in the order in which they were sent
	longestTimes map[string]longest
	respondedAt  time.Time // of the last response
	samples      []sample  // the latest, as a ring
	nextSample   int
	count        uint64    // requests that the server had no room for
	at           time.Time // of the last of them
	lowering     *lowering // not confirmed yet
}

// lowering is a decrease of the limit after a reset. It stands once one of the requests that
// were in flight at that time gets a response. If none does, all were lost, the server was
// not full, and the limit returns.
type lowering struct {
	lastSent uint64  // sequence of the last request that was sent before
	before   limiter // the limiter before the decrease
	fullAt   time.Time
}

// Sent records that the ticket's request is sent to the server now. giveUp is called at most
// once, by another thread, if the server is found to never respond to the request. It is nil
// for a request that may wait for its caller, as while its body is read.
func (t *Ticket) Sent(route string, giveUp func()) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	o := &g.overflow
	o.sequence++
	t.route, t.sequence, t.sentAt, t.giveUp = route, o.sequence, g.Now(), giveUp
	t.inFlight = g.runningTotal()
	responses, resets := o.samplesAt(t.inFlight, t.sentAt.Add(-sampleMemory))
	t.hadRoom = responses > resets
	o.sent = append(o.sent, t)
}

// Responded records that the head of the response has arrived, and reports whether it came
// before the request was given up.
func (t *Ticket) Responded() bool {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	t.giveUp = nil
	return !t.stuck
}

// IsStuck reports whether the request was given up as the server never responds to it.
func (t *Ticket) IsStuck() bool {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return t.stuck
}

// WasReset records that the request's connection was reset, and reports whether this means
// that the server is full: it had many requests when this one was sent, it responds to others
// or has as many that were sent before, and it doesn't run as many at other times.
func (t *Ticket) WasReset() bool {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	g.overflow.addSample(sample{now, t.inFlight, true})
	if !t.hadManyRequests() || !t.othersRun(now) || g.wasPausedSince(t.sentAt) {
		return false
	}
	responses, resets := g.overflow.samplesAt(t.inFlight, now.Add(-sampleMemory))
	return responses <= resets
}

// othersRun reports whether the server runs other requests: it has responded to some lately,
// or those that were sent before this one and are still in flight are many, too.
func (t *Ticket) othersRun(now time.Time) bool {
	g := t.gate
	o := &g.overflow
	recent := max(recentResponse, longestRatio*o.longestTimes[t.route].latency)
	if !o.respondedAt.IsZero() && now.Sub(o.respondedAt) <= recent {
		return true
	}
	return slices.Index(o.sent, t)+1 >= g.manyRequests()
}

// addSample keeps an outcome in place of the oldest.
func (o *overflow) addSample(s sample) {
	if len(o.samples) < maxSamples {
		o.samples = append(o.samples, s)
		return
	}
	o.samples[o.nextSample] = s
	o.nextSample = (o.nextSample + 1) % maxSamples
}

// samplesAt returns how many responses and resets there were after since while the server had
// at least as many requests as level.
func (o *overflow) samplesAt(level int, since time.Time) (responses, resets int) {
	for _, s := range o.samples {
		switch {
		case s.level < level || !s.at.After(since):
		case s.reset:
			resets++
		default:
			responses++
		}
	}
	return responses, resets
}

// hadManyRequests reports whether the server had enough requests to be full when this one was
// sent, itself included.
func (t *Ticket) hadManyRequests() bool {
	return t.inFlight >= t.gate.manyRequests()
}

// manyRequests returns from how many requests in flight the server may be full.
func (g *Gate) manyRequests() int { return max(minFull, g.limit()/fullDivisor) }

// Linger returns for how long the slot of the request is to stay in use although its exchange
// was given up after the latency. A server that was full lately may still run the request,
// and would have no room for the next one. It is 0 for any other server.
func (t *Ticket) Linger(latency time.Duration) time.Duration {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.wasFull(g.Now()) {
		return 0
	}
	g.endExchange(t, false)
	return min(g.serviceTimes[t.route]-latency, maxLinger)
}

// wasFull reports whether the server was full lately.
func (g *Gate) wasFull(now time.Time) bool {
	return !g.overflow.at.IsZero() && now.Sub(g.overflow.at) <= fullMemory
}

// endExchange records that a ticket's request is no longer in flight. If it got a response,
// the requests that were sent before it are overtaken, and the server is not lost.
func (g *Gate) endExchange(t *Ticket, responded bool) {
	o := &g.overflow
	i := slices.Index(o.sent, t)
	if i < 0 {
		return
	}
	o.sent = slices.Delete(o.sent, i, i+1)
	t.giveUp = nil
	for _, earlier := range o.sent[:i] {
		if !earlier.stuck {
			t.earlierInFlight++
		}
	}
	if responded {
		o.respondedAt = g.Now()
		o.addSample(sample{o.respondedAt, t.earlierEnded + 1, false})
		for _, earlier := range o.sent[:i] {
			earlier.overtaken++
		}
		crossing := o.respondedAt.Add(-g.serviceTimes[t.route] / crossingDivisor)
		for _, later := range o.sent[i:] {
			if later.sentAt.After(crossing) {
				break // sentAt rises
			}
			later.earlierEnded++
		}
	}
	g.settleLowering(t, responded)
}

// settleLowering confirms or undoes the last decrease of the limit, if t or none of the
// requests that were in flight at that time got a response.
func (g *Gate) settleLowering(t *Ticket, responded bool) {
	o := &g.overflow
	l := o.lowering
	switch {
	case l == nil || t.sequence > l.lastSent:
	case responded:
		o.lowering = nil
	case len(o.sent) == 0 || o.sent[0].sequence > l.lastSent:
		o.lowering = nil
		o.at = l.fullAt
		g.limiter.limit, g.limiter.changedAt = max(g.limiter.limit, l.before.limit), l.before.changedAt
		g.limiter.holdUntil, g.limiter.holdTime = l.before.holdUntil, l.before.holdTime
	}
}

// noteLongest records a latency on a route.
func (g *Gate) noteLongest(route string, latency time.Duration, now time.Time) {
	o := &g.overflow
	l, known := o.longestTimes[route]
	if known && latency < l.latency && now.Sub(l.at) < longestMemory || !known && len(o.longestTimes) >= maxRoutes {
		return
	}
	if o.longestTimes == nil {
		o.longestTimes = map[string]longest{}
	}
	if !known {
		l.since = now
	}
	o.longestTimes[route] = longest{latency, now, l.since}
}

// stuckRequests marks the requests to which the server will never respond, as it was full
// when they came: it has responded to many that were sent later, while these take much longer
// than any on their routes, and it has not run as many since or shortly before. It returns the functions that give them up, which are to be
// called without the lock.
func (g *Gate) stuckRequests(now time.Time) []func() {
	var giveUp []func()
	suspects := 0
	for _, t := range g.overflow.sent {
		if t.isOvertaken() {
			suspects++
		}
	}
	if suspects < minSuspects && (suspects == 0 || !g.wasFull(now)) {
		return nil
	}
	for _, t := range g.overflow.sent {
		if t.stuck || !t.isOvertaken() || !t.takesTooLong(now) {
			continue
		}
		if responses, _ := g.overflow.samplesAt(t.inFlight, t.sentAt); responses <= suspects {
			giveUp = append(giveUp, t.giveUp)
			t.stuck, t.giveUp = true, nil
		}
	}
	return giveUp
}

// isOvertaken reports whether the server had many requests when this one was sent, more than
// it ran shortly before, and has since responded to many that were sent later. It is false for one that is not to be given
// up.
func (t *Ticket) isOvertaken() bool {
	return (t.giveUp != nil || t.stuck) && !t.hadRoom && t.hadManyRequests() && t.overtaken >= overtakenPerSlot*t.gate.limit()
}

// takesTooLong reports whether the request has had no response for much longer than any on
// its route.
func (t *Ticket) takesTooLong(now time.Time) bool {
	g := t.gate
	l, isKnown := g.overflow.longestTimes[t.route]
	if !isKnown || now.Sub(l.since) < learnTime {
		return false
	}
	shortest := max(minStuckTime, stuckRatio*g.serviceTimes[t.route], longestRatio*l.latency)
	return now.Sub(t.sentAt) >= shortest && !g.wasPausedSince(t.sentAt)
}

// observeOverflow lowers the limit to the number of other running requests, whether it is
// fixed or not, unless the slots are exact, but not below the number of those that the server had when this one came and
// that were not lost: it may have reset this one late. After a reset that has to be confirmed
// by the response of another request: if there is none in flight, nothing tells how many the
// server can run.
func (g *Gate) observeOverflow(t *Ticket, now time.Time) {
	o := &g.overflow
	o.count++
	if g.Exact || len(o.sent) == 0 {
		return
	}
	if o.lowering == nil && !t.stuck {
		o.lowering = &lowering{lastSent: o.sequence, before: g.limiter, fullAt: o.at}
	}
	o.at = now
	if now.Sub(g.limiter.holdUntil) > fullMemory {
		g.limiter.holdTime = 0
	}
	g.limiter.observeShed(max(g.runningTotal(), t.earlierInFlight+t.earlierEnded), now)
}

// recover raises a fixed limit that was lowered because the server was full.
func (l *limiter) recover(now time.Time) {
	if l.limit >= float64(l.slots) || now.Before(l.holdUntil) || now.Sub(l.changedAt) < recoverInterval {
		return
	}
	l.limit, l.changedAt = min(float64(l.slots), l.limit+1), now
}

// limit returns how many requests may run at once now: the concurrency limit, but no more
// than the server accepts connections.
func (g *Gate) limit() int {
	limit := g.limiter.current()
	if g.MaxConnections != nil {
		if n := g.MaxConnections(); n > 0 {
			return min(limit, n)
		}
	}
	return limit
}

// ConnLimit returns how many connections to the server may be open while its fixed limit is
// lowered because it was full, and 0 if there is no such bound.
func (g *Gate) ConnLimit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ensureInitialized()
	if !g.Fixed || g.limiter.current() >= g.Slots {
		return 0
	}
	return max(g.limiter.current(), g.runningTotal())
}

// Overflows returns how many requests the backend server had no room for: it reset their
// connection or never responded.
func (g *Gate) Overflows() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.overflow.count
}
