// Package gtadmission is the admission gate of a backend server. It decides which
// requests run now, which wait in a queue, and which are refused before they
// cause any work.
//
// # Usage
//
//	gate := &gtadmission.Gate{Now: timer.Time, Slots: 10}
//	ticket, err := gate.Enter(gtadmission.NewRequest(gtconfig.Normal, deadline).WithTarget(target))
//	select {
//	case <-ticket.Granted():
//	case <-ticket.Dropped(): return ticket.Err()
//	case <-ctx.Done(): ticket.Abandon()
//	}
//	defer ticket.Done("book", latency, gtadmission.Succeeded)
//
// The concurrency limit starts low when the backend server starts, increases
// while latency stays close to its baseline, and decreases when latency rises or
// the backend server sheds load. A request waits as long as its response can be in
// time for its target, and then for its deadline if it delays no other. Urgent
// levels go first, but each keeps a part of the capacity, which its senders share.
// Enter never blocks.
package gtadmission

import (
	"math"
	"sync"
	"time"

	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtroute"
)

const (
	// noTargetWait is the longest expected time in the queue of a request whose route has
	// no target.
	noTargetWait = 250 * time.Millisecond
	// slotsPerQueuePlace is the number of slots for each place in the queue of a
	// level, except during a burst. Such a queue is long enough to keep the slots
	// in use.
	slotsPerQueuePlace = 2
	// maxBurstQueue bounds the length of a queue during a burst, to limit its
	// memory.
	maxBurstQueue = 1024
	// reserveTime is how long after its last request a part of the limit stays reserved for
	// the most urgent level.
	reserveTime = 10 * time.Second
	// reserveDivisor is the divisor of the limit that gives the largest reserved part.
	reserveDivisor = 5
	// reserveMargin multiplies the mean number of running requests of the most urgent level
	// to give the slots that are reserved for it. Below minReserved nothing is: a level that
	// is hardly used waits for the next slot that gets free.
	reserveMargin = 1.5
	minReserved   = 0.1
	// levelShare is the part of the capacity that each level with waiting requests gets
	// whatever the more urgent ones offer: its callers see that it works, if slowly, in place
	// of retrying all of it. All of them together get maxLevelShares.
	levelShare     = 0.05
	maxLevelShares = 0.2
	// maxCredit bounds the guaranteed share that a level saves up, in requests.
	maxCredit = 2
	// fullUse is the part of the limit in use from which a request that can't be in time for
	// its target no longer waits: nothing is left for it.
	fullUse = 0.95
	// deviations is how many mean deviations of the latency, upwards, are added to the expected
	// service time of a request that is to be in time for its target. With none, half of those
	// that are just in time would be late.
	deviations = 4
	// dropPeriod is the shortest time between two searches of the queues for requests that
	// can't be in time any more. A long queue would be searched at each request otherwise.
	dropPeriod = time.Millisecond
	// meanLatencyWeight is the weight of the newest response in the mean latency.
	meanLatencyWeight = 0.1
)

// Result is the outcome of a request that was granted.
type Result int

// The values of Result.
const (
	// Succeeded means that a complete response without a server error arrived.
	Succeeded Result = iota
	// ServerError means that the backend server responded with a server error.
	ServerError
	// Shed means that the backend server refused the request to shed load.
	Shed
	// NoResponse means that no complete response arrived. The latency of such a
	// request does not affect the limit.
	NoResponse
	// Overflowed means that the backend server was full: it reset the connection, or never
	// responds to the request.
	Overflowed
)

// Gate admits requests to one backend server. Its state is a shard of its own,
// guarded by one lock.
type Gate struct {
	// Now returns the time of the timer service's clock. It is set before use.
	Now func() time.Time
	// Slots is the upper bound of the limit: the number of requests that the
	// backend server can run at once after its warm-up. It is set before use.
	Slots int
	// PausedSince reports whether this process was paused at any time after since.
	// Latencies that span a process pause are not attributed to the backend
	// server. It is set before use; nil means that no pauses are detected.
	PausedSince func(since time.Time) bool
	// Fixed keeps the limit at Slots, for comparison with the adaptive limit. It
	// is set before use.
	Fixed bool
	// MaxConnections returns how many connections the backend server accepts, or 0 if that is
	// unknown. No more requests run at once. It is set before use; nil means unknown.
	MaxConnections func() int
	// CallsAdmitted returns the part of requests whose calls to other services are likely
	// to be admitted there; nil means all. It is set before use.
	CallsAdmitted func() float64

	mu           sync.Mutex
	limiter      limiter
	initialized  bool
	queues       [levelCount]queue
	returns      returns
	runningAt    time.Time // of the last update of the mean numbers of running requests
	droppedAt    time.Time // of the last search for requests to drop
	callsCredit  float64   // of requests whose calls are admitted
	counts       Counts
	closedWith   gtkind.Kind
	warmUp       warmUpLimiter
	serviceTimes map[string]time.Duration
	longestTimes map[string]longest
	sequence     uint64
	sent         map[*Ticket]struct{}
	errorRate    gtroute.ErrorRate
}

// Ticket represents one request that the gate has queued or granted.
type Ticket struct {
	gate         *Gate
	request      Request
	flow         *flow
	since        time.Time
	granted      chan struct{}
	dropped      chan struct{}
	err          error // set before dropped is closed
	returned     bool  // the request came back at the time that it was told
	running      bool
	finished     bool
	limitReached bool

	grantedAt      time.Time
	runningAtGrant int
	sequence       uint64
	overtaken      int // requests sent later that got a response
}

// Enter admits a request and returns its ticket, which is granted immediately, or
// granted or dropped later. If the request is refused, the kind of the error is Full,
// Expired, or the one that the gate was closed with. An error of the kind Full has the time
// after which the caller is to come back (gtkind.WaitOf).
func (g *Gate) Enter(r Request) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ensureInitialized()
	if g.closedWith != gtkind.None {
		return nil, gtkind.New(g.closedWith, "backend server does not accept new requests")
	}
	if !now.Before(r.deadline) {
		return nil, gtkind.New(gtkind.Expired, "deadline passed before the request was admitted")
	}
	r, returned := g.returns.claim(r, now)
	if !g.warmUp.takeToken(now) {
		return nil, g.refuse(r, WarmingUp, now, "backend server is warming up and has reached its rate limit")
	}
	if !g.mayMakeCalls(r) {
		return nil, g.refuse(r, CallsRefused, now, "the services that this one calls are full")
	}
	g.updateMeanRunning(now)
	g.dropLost(now)
	q := &g.queues[r.level()]
	t := &Ticket{gate: g, request: r, flow: q.flow(r.flowName(), now), since: now, granted: make(chan struct{}), dropped: make(chan struct{}), returned: returned}
	q.offer(t.flow, now)
	if q.waiting == 0 && g.hasRoom(r.level(), now) {
		g.grant(t, now)
		return t, nil
	}
	if err := g.enqueue(t, now); err != nil {
		return nil, err
	}
	return t, nil
}

// mayMakeCalls reports whether the calls that a request makes to other services are likely
// to be admitted. Of the requests, the part that CallsAdmitted returns is admitted.
func (g *Gate) mayMakeCalls(Request) bool {
	if g.CallsAdmitted == nil {
		return true
	}
	g.callsCredit = min(maxCredit, g.callsCredit+g.CallsAdmitted())
	if g.callsCredit < 1 {
		return false
	}
	g.callsCredit--
	return true
}

// ensureInitialized sets the initial limit on first use, when Slots and Fixed
// are known, and returns the time.
func (g *Gate) ensureInitialized() time.Time {
	now := g.Now()
	if !g.initialized {
		g.initialized = true
		g.limiter.reset(g.Slots, now)
		if g.Fixed {
			g.limiter.limit = float64(g.Slots)
		}
	}
	return now
}

// limit returns how many requests may run at once now.
func (g *Gate) limit() float64 {
	if g.MaxConnections != nil {
		if n := g.MaxConnections(); n > 0 {
			return min(g.limiter.limit, float64(n))
		}
	}
	return g.limiter.limit
}

// runningTotal returns the number of running requests of all levels.
func (g *Gate) runningTotal() int {
	n := 0
	for i := range g.queues {
		n += g.queues[i].running
	}
	return n
}

// updateMeanRunning brings the mean numbers of running requests up to now.
func (g *Gate) updateMeanRunning(now time.Time) {
	dt := now.Sub(g.runningAt)
	g.runningAt = now
	if dt <= 0 {
		return
	}
	weight := 1 - math.Exp(-dt.Seconds()/runningTimeConstant.Seconds())
	for i := range g.queues {
		q := &g.queues[i]
		q.meanRunning += weight * (float64(q.running) - q.meanRunning)
	}
}

// hasRoom reports whether another request of the level may run now.
func (g *Gate) hasRoom(level int, now time.Time) bool {
	limit := int(g.limit())
	return g.runningTotal() < limit-g.reserved(level, limit, now)
}

// reserved returns the part of the limit that requests of the level leave free for the
// most urgent one in use. Running requests of that one count against it. The class Fast has
// a fixed part, the others as much as they use in the mean.
func (g *Gate) reserved(level, limit int, now time.Time) int {
	if limit < 2 {
		return 0
	}
	for i := range level {
		q := &g.queues[i]
		if q.seenAt.IsZero() || now.Sub(q.seenAt) > reserveTime {
			continue
		}
		most := (limit + reserveDivisor - 1) / reserveDivisor
		if wanted := q.meanRunning * reserveMargin; i != levelFast {
			most = min(most, int(math.Ceil(wanted-minReserved)))
		}
		return max(0, most-q.running)
	}
	return 0
}

// grant lets a request run.
func (g *Gate) grant(t *Ticket, now time.Time) {
	level := t.request.level()
	q := &g.queues[level]
	t.running = true
	q.running++
	q.serve(t.flow, now)
	g.giveCredit(level, g.cost(t))
	g.begin(t, now)
	t.limitReached = g.runningTotal() >= int(g.limit())
	close(t.granted)
}

// giveCredit adds to the guaranteed shares of the levels that wait while a request of a
// more urgent level is granted, and takes the cost from that level's own.
func (g *Gate) giveCredit(level int, cost float64) {
	g.queues[level].credit = max(0, g.queues[level].credit-cost)
	waiting := 0
	for i := level + 1; i < levelCount; i++ {
		if g.queues[i].waiting > 0 {
			waiting++
		}
	}
	for i := level + 1; i < levelCount; i++ {
		if q := &g.queues[i]; q.waiting > 0 {
			q.credit = min(maxCredit, q.credit+cost*min(levelShare, maxLevelShares/float64(waiting)))
		}
	}
}

// serviceTime returns the expected service time of a request, or 0 if it is unknown.
func (g *Gate) serviceTime(r Request) time.Duration {
	if d := g.serviceTimes[r.route]; d > 0 {
		return d
	}
	return g.queues[r.level()].meanLatency
}

// isInTime reports whether a request that starts at the given time is likely to respond in
// time for its target.
func (g *Gate) isInTime(r Request, start time.Time) bool {
	if r.target.IsZero() {
		return true
	}
	return !start.Add(g.timeInTime(r)).After(r.target)
}

// timeInTime returns the service time to reckon with for a request that is to be in time for
// its target.
func (g *Gate) timeInTime(r Request) time.Duration {
	return g.serviceTime(r) + deviations*g.queues[r.level()].deviation
}

// cost returns the service time of a ticket's request relative to its level's mean.
func (g *Gate) cost(t *Ticket) float64 {
	mean := g.queues[t.request.level()].meanLatency
	if mean == 0 {
		return 1
	}
	return min(maxCost, max(minCost, float64(g.serviceTime(t.request))/float64(mean)))
}

// capacityFor returns how many slots serve a level: those that the more urgent levels leave,
// and at least its guaranteed share.
func (g *Gate) capacityFor(level int) float64 {
	free := g.limit()
	for i := range level {
		free -= g.queues[i].meanRunning
	}
	return max(free, levelShare*g.limit())
}

// expectedWait returns how long a ticket is expected to wait if it joins the queue: until
// the requests ahead of it, in its level and more urgent ones, and callers that are expected
// back have been served.
func (g *Gate) expectedWait(t *Ticket, now time.Time) time.Duration {
	level := t.request.level()
	q := &g.queues[level]
	mean := float64(q.meanLatency)
	ahead := mean * float64(q.ahead(t.flow)+1)
	if t.returned {
		ahead = mean * float64(len(q.returned)+1)
	}
	for i := range level {
		if o := &g.queues[i]; o.waiting > 0 {
			m := float64(o.meanLatency)
			if m == 0 {
				m = mean
			}
			ahead += m * float64(o.waiting)
		}
	}
	capacity := g.capacityFor(level)
	wait := time.Duration(ahead / capacity)
	if t.returned {
		return wait
	}
	return wait + time.Duration(mean*g.returns.expected(wait, now)/capacity)
}

// enqueue lets a ticket wait, or returns an error of the kind Full if the queue has no room
// or the response would come too late.
func (g *Gate) enqueue(t *Ticket, now time.Time) error {
	r := t.request
	q := &g.queues[r.level()]
	if q.waiting == 0 {
		q.emptyAt = now
	}
	wait := g.expectedWait(t, now)
	ready := now.Add(wait + g.serviceTime(r))
	switch {
	case ready.After(r.deadline):
		return g.refuse(r, PastDeadline, now, "expected wait of %s in the admission queue leaves no time to respond before the deadline", wait.Round(time.Millisecond))
	case r.target.IsZero() && wait > noTargetWait:
		return g.refuse(r, TooLong, now, "expected wait of %s in the admission queue is too long", wait.Round(time.Millisecond))
	case !g.isInTime(r, now.Add(wait)) && g.use() > fullUse && !t.returned:
		return g.refuse(r, PastTarget, now, "expected wait of %s in the admission queue is too long for the target latency", wait.Round(time.Millisecond))
	}
	if q.waiting >= g.queueCapacity(t, wait, now) && !t.returned {
		o := q.displaceable(t.flow, now)
		if o == nil {
			return g.refuse(r, QueueFull, now, "admission queue is full")
		}
		q.remove(o)
		g.drop(o, Displaced, now, "a request of a sender that is served less took the place in the admission queue")
	}
	q.insert(t)
	return nil
}

// use returns the part of the limit that is in use in the mean.
func (g *Gate) use() float64 {
	n := 0.0
	for i := range g.queues {
		n += g.queues[i].meanRunning
	}
	return n / g.limit()
}

// queueCapacity returns how many requests of the ticket's level may wait. A queue that was
// empty so recently that the ticket's response can be in time holds a burst: it has room
// for all requests that can be in time, provided that the mean latency is known. A queue
// that stays filled for longer only delays every request, and is kept short, as it is for
// requests that will be late.
func (g *Gate) queueCapacity(t *Ticket, wait time.Duration, now time.Time) int {
	q := &g.queues[t.request.level()]
	short := max(1, g.Slots/slotsPerQueuePlace)
	longest := noTargetWait
	if !t.request.target.IsZero() {
		longest = t.request.target.Sub(now) - g.serviceTime(t.request)
	}
	if q.meanLatency == 0 || now.Sub(q.emptyAt) > longest || !g.isInTime(t.request, now.Add(wait)) {
		return short
	}
	return maxBurstQueue
}

// dropLost drops the waiting requests that can't respond before their deadline any more.
func (g *Gate) dropLost(now time.Time) {
	if now.Sub(g.droppedAt) < dropPeriod {
		return
	}
	g.droppedAt = now
	for i := range g.queues {
		g.queues[i].lost(
			func(t *Ticket) bool { return now.Add(g.serviceTime(t.request)).After(t.request.deadline) },
			func(t *Ticket) {
				g.drop(t, PastDeadline, now, "no time was left in the admission queue to respond before the deadline")
			},
		)
	}
}

// drop refuses a request that waited.
func (g *Gate) drop(t *Ticket, reason Reason, now time.Time, detail string) {
	t.finished = true
	t.err = g.refusal(t.request, now, "%s", detail)
	g.counts.dropped[reason][t.request.class]++
	close(t.dropped)
}

// refuse counts a refusal and returns its error.
func (g *Gate) refuse(r Request, reason Reason, now time.Time, format string, args ...any) error {
	g.counts.refused[reason][r.class]++
	return g.refusal(r, now, format, args...)
}

// refusal returns the error for a request that is refused, with the time to wait.
func (g *Gate) refusal(r Request, now time.Time, format string, args ...any) error {
	return gtkind.WithWait(gtkind.New(gtkind.Full, format, args...), g.waitTold(r, now))
}

// waitTold returns how long the caller of a refused request is to wait: until the backlog
// is served, by the measured drain rate.
func (g *Gate) waitTold(r Request, now time.Time) time.Duration {
	gap := g.drainGap(r, now)
	waiting := 0
	for i := range g.queues {
		waiting += g.queues[i].waiting
	}
	latest := r.target.Sub(now) - g.timeInTime(r)
	if r.target.IsZero() {
		latest = r.deadline.Sub(now)
	}
	return g.returns.promise(r, time.Duration(waiting)*gap, gap, latest, now)
}

// drainGap returns the time between two completions: as measured while requests waited, or
// else by the service time; while the server is warming up, at least by its rate limit.
func (g *Gate) drainGap(r Request, now time.Time) time.Duration {
	gap := g.returns.gap
	if gap == 0 {
		gap = time.Duration(float64(g.serviceTime(r)) / g.limit())
	}
	if gap == 0 {
		gap = initialGap
	}
	return max(gap, g.warmUp.gap(now))
}

// Granted returns a channel that is closed when the request may run.
func (t *Ticket) Granted() <-chan struct{} { return t.granted }

// Dropped returns a channel that is closed when the request is refused after all.
func (t *Ticket) Dropped() <-chan struct{} { return t.dropped }

// Err returns the error of a request that was dropped.
func (t *Ticket) Err() error { return t.err }

// Abandon releases a ticket whose request was not sent, and reports whether the
// ticket had been granted in the meantime.
func (t *Ticket) Abandon() bool {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.finished {
		return t.running
	}
	t.finished = true
	now := g.Now()
	if t.running {
		g.end(t, false)
		g.release(t, now)
		g.grantQueued(now)
		return true
	}
	g.queues[t.request.level()].remove(t)
	return false
}

// Done releases the slot and updates the limit and statistics from the result.
// The latency is the time that the backend server took; it is compared only with
// that of other requests on the same route.
func (t *Ticket) Done(route string, latency time.Duration, result Result) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.finished {
		return
	}
	t.finished = true
	now := g.Now()
	g.end(t, result == Succeeded || result == ServerError)
	saturated := g.runningTotal() >= int(g.limit())
	g.release(t, now)
	g.returns.completed(saturated && !g.wasPausedSince(now.Add(-latency)), now)
	g.record(t, route, latency, result, now)
	g.grantQueued(now)
}

// release frees the slot of a ticket.
func (g *Gate) release(t *Ticket, now time.Time) {
	g.updateMeanRunning(now)
	g.queues[t.request.level()].running--
}

// record updates the statistics and the limit from the result of a request.
// Except for requests that the server had no room for, results that span a process pause are ignored.
func (g *Gate) record(t *Ticket, route string, latency time.Duration, result Result, now time.Time) {
	if result != Shed && result != Overflowed && g.wasPausedSince(now.Add(-latency)) {
		return
	}
	switch result {
	case Succeeded:
		g.updateMeanLatency(t.request.level(), latency)
		g.noteLongest(route, latency, now)
		g.errorRate.Add(false, now)
	case ServerError, Shed, Overflowed:
		g.errorRate.Add(true, now)
	case NoResponse:
	}
	g.updateServiceTime(route, latency, result)
	if result == Overflowed {
		g.observeOverflow(now)
		return
	}
	if g.Fixed {
		if result == Succeeded {
			g.limiter.recover(now)
		}
		return
	}
	switch result {
	case Succeeded:
		g.limiter.observe(route, latency, t.limitReached, now)
	case Shed:
		g.limiter.observeShed(g.runningTotal(), now)
	case NoResponse, ServerError, Overflowed:
	}
}

// wasPausedSince reports whether this process was paused after since. The
// response to a request sent at that time may then be late for this reason alone.
func (g *Gate) wasPausedSince(since time.Time) bool {
	return g.PausedSince != nil && g.PausedSince(since)
}

// updateMeanLatency updates the moving average of a level's latency; the first
// response initializes it.
func (g *Gate) updateMeanLatency(level int, latency time.Duration) {
	q := &g.queues[level]
	if q.meanLatency == 0 {
		q.meanLatency = latency
		return
	}
	q.deviation += time.Duration(meanLatencyWeight * float64(max(0, latency-q.meanLatency)-q.deviation))
	q.meanLatency += time.Duration(meanLatencyWeight * float64(latency-q.meanLatency))
}

// grantQueued grants queued tickets while the limit has room.
func (g *Gate) grantQueued(now time.Time) {
	g.dropLost(now)
	for {
		t := g.next(now)
		if t == nil {
			return
		}
		g.grant(t, now)
	}
}

// next removes and returns the ticket that is to run next, or nil if none may. Requests
// that can be in time for their target go first: of levels that have saved up their
// guaranteed share, then by urgency. The others follow by urgency.
func (g *Gate) next(now time.Time) *Ticket {
	inTime := func(t *Ticket) bool { return g.isInTime(t.request, now) }
	whichever := func(*Ticket) bool { return true }
	for _, pass := range []struct {
		minCredit float64
		fits      func(*Ticket) bool
	}{{1, inTime}, {0, inTime}, {0, whichever}} {
		for level := range g.queues {
			q := &g.queues[level]
			if q.waiting == 0 || q.credit < pass.minCredit || !g.hasRoom(level, now) {
				continue
			}
			if t := q.pick(pass.fits, g.cost); t != nil {
				return t
			}
		}
	}
	return nil
}

// Reset clears the statistics and returns the limit, unless it is fixed, to its
// initial value. It is called when the backend server has started or may have to
// warm up again.
func (g *Gate) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ensureInitialized()
	if !g.Fixed {
		g.limiter.reset(g.Slots, now)
	}
	for i := range g.queues {
		g.queues[i].meanLatency, g.queues[i].deviation = 0, 0
	}
	g.returns.reset()
	g.serviceTimes, g.longestTimes, g.errorRate = nil, nil, gtroute.ErrorRate{}
}

// Resize sets the number of slots. If it changes, the limit restarts from its
// initial value, or from the new number of slots if it is fixed.
func (g *Gate) Resize(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ensureInitialized()
	if slots == g.Slots {
		return
	}
	g.Slots = slots
	g.limiter.reset(slots, now)
	if g.Fixed {
		g.limiter.limit = float64(slots)
	}
}

// Close makes the gate refuse new requests with the given kind. Requests that
// are queued or running are not affected. The kind None reopens the gate.
func (g *Gate) Close(k gtkind.Kind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closedWith = k
}

// Load returns the number of running and queued requests, the limit, the service
// time of the route, and the error rate. While the rate limit of the warm-up is
// used up, the number of requests is at least warmUpLoad times the limit.
func (g *Gate) Load(route string) gtroute.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ensureInitialized()
	busy := 0
	for i := range g.queues {
		busy += g.queues[i].running + g.queues[i].waiting
	}
	if g.warmUp.exhausted(now) {
		busy = max(busy, warmUpLoad*int(g.limit()))
	}
	return gtroute.NewLoad(busy, int(g.limit())).WithServiceTime(g.serviceTimes[route]).WithErrorRate(g.errorRate.Value(now))
}
