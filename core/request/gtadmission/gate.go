// Package gtadmission is the admission gate of a backend server. It decides which
// requests run now, which wait in a queue, and which are refused before they
// cause any work.
//
// # Usage
//
//	gate := &gtadmission.Gate{Now: timer.Time, Slots: 10}
//	ticket, err := gate.Enter(gtconfig.Normal, dueAt, deadline)
//	select {
//	case <-ticket.Decided(): // runs unless ticket.Err() says that it was displaced
//	case <-ctx.Done(): ticket.Abandon()
//	}
//	defer ticket.Done("book", latency, gtadmission.Succeeded)
//
// The concurrency limit starts low when the backend server starts, increases
// while latency stays close to its baseline, and decreases when latency rises or
// the backend server sheds load. Requests of the fast class run before those of
// the other classes and have a part of the limit reserved. In all classes, requests
// that can't be in time for their target any more run only while no request waits that
// can. Enter never blocks.
package gtadmission

import (
	"slices"
	"sync"
	"time"

	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtconfig"
)

const (
	// MaxWait is the longest time that a request may be expected to spend in the
	// queue.
	MaxWait = 250 * time.Millisecond
	// slotsPerQueuePlace is the number of slots for each place in the queue of a
	// class, except during a burst. Such a queue is long enough to keep the slots
	// in use.
	slotsPerQueuePlace = 2
	// maxBurstQueue bounds the length of a queue during a burst, to limit its
	// memory.
	maxBurstQueue = 1024
	// fastReserveTime is how long after the last fast request a part of the limit
	// stays reserved for that class.
	fastReserveTime = 10 * time.Second
	// fastReserveDivisor is the divisor of the limit that gives the reserved part.
	fastReserveDivisor = 5
	// meanLatencyWeight is the weight of the newest response in the mean latency.
	meanLatencyWeight = 0.1

	classCount = gtconfig.ClassCount
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

	mu           sync.Mutex
	limiter      limiter
	initialized  bool
	running      [classCount]int
	queue        [classCount][]*Ticket
	meanLatency  [classCount]time.Duration
	queueEmptyAt [classCount]time.Time
	lastFastAt   time.Time
	refused      uint64
	closedWith   gtkind.Kind
	warmUp       warmUpLimiter
	serviceTimes map[string]time.Duration
	errorRate    gtroute.ErrorRate
}

// Ticket represents one request that the gate has queued or granted.
type Ticket struct {
	gate         *Gate
	class        gtconfig.Class
	dueAt        time.Time
	deadline     time.Time
	decided      chan struct{}
	err          error
	running      bool
	finished     bool
	limitReached bool
}

// Enter admits a request and returns its ticket, which is granted immediately or
// later. The response has its full value up to dueAt; the zero time means that it has it
// up to the deadline. If the request is refused, the kind of the error is Full, Expired,
// or the one that the gate was closed with.
func (g *Gate) Enter(class gtconfig.Class, dueAt, deadline time.Time) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ensureInitialized()
	if g.closedWith != gtkind.None {
		return nil, gtkind.New(g.closedWith, "backend server does not accept new requests")
	}
	if !now.Before(deadline) {
		return nil, gtkind.New(gtkind.Expired, "deadline passed before the request was admitted")
	}
	if !g.warmUp.takeToken(now) {
		g.refused++
		return nil, gtkind.New(gtkind.Full, "backend server is warming up and has reached its rate limit")
	}
	if class == gtconfig.Fast {
		g.lastFastAt = now
	}
	t := &Ticket{gate: g, class: class, dueAt: dueAt, deadline: deadline, decided: make(chan struct{})}
	if len(g.queue[class]) == 0 && g.hasRoom(class, now) {
		g.grant(t)
		return t, nil
	}
	if err := g.enqueue(t, now); err != nil {
		g.refused++
		return nil, err
	}
	return t, nil
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

// runningTotal returns the number of running requests of all classes.
func (g *Gate) runningTotal() int {
	n := 0
	for _, r := range g.running {
		n += r
	}
	return n
}

// hasRoom reports whether another request of the class may run now.
func (g *Gate) hasRoom(class gtconfig.Class, now time.Time) bool {
	limit := g.limiter.current()
	total := g.runningTotal()
	if class == gtconfig.Fast {
		return total < limit
	}
	return total < limit-g.reservedForFast(limit, now)
}

// reservedForFast returns the part of the limit that requests of the other
// classes leave free. Running fast requests count against it.
func (g *Gate) reservedForFast(limit int, now time.Time) int {
	if limit < 2 || now.Sub(g.lastFastAt) > fastReserveTime {
		return 0
	}
	return max(0, (limit+fastReserveDivisor-1)/fastReserveDivisor-g.running[gtconfig.Fast])
}

func (g *Gate) grant(t *Ticket) {
	t.running = true
	g.running[t.class]++
	t.limitReached = g.runningTotal() >= g.limiter.current()
	close(t.decided)
}

// enqueue inserts a ticket into the queue of its class in the order of
// deadlines. It returns an error of the kind Full if the queue has no room or the
// expected wait is too long.
func (g *Gate) enqueue(t *Ticket, now time.Time) error {
	q := g.queue[t.class]
	if len(q) == 0 {
		g.queueEmptyAt[t.class] = now
	}
	if _, err := g.expectedWait(t.class, t.deadline, now); err != nil && !g.displace(t, now) {
		return err
	}
	q = g.queue[t.class]
	i, _ := slices.BinarySearchFunc(q, t.deadline, func(o *Ticket, d time.Time) int {
		if o.deadline.After(d) {
			return 1
		}
		return -1
	})
	g.queue[t.class] = slices.Insert(q, i, t)
	return nil
}

// expectedWait returns how long a request would wait in the queue. The error has the kind
// Full if the queue has no room or that is too long. It changes nothing.
func (g *Gate) expectedWait(class gtconfig.Class, deadline, now time.Time) (time.Duration, error) {
	ahead := len(g.queue[class]) + 1
	for c := range class {
		ahead += len(g.queue[c])
	}
	mean := g.meanLatency[class]
	wait := time.Duration(float64(mean) * float64(ahead) / g.limiter.limit)
	if len(g.queue[class]) >= g.queueCapacity(class, now) {
		return wait, gtkind.New(gtkind.Full, "admission queue is full")
	}
	if wait > min(MaxWait, deadline.Sub(now)-mean) {
		return wait, gtkind.New(gtkind.Full, "expected wait of %s in the admission queue is too long", wait.Round(time.Millisecond))
	}
	return wait, nil
}

// queueCapacity returns how many requests of the class may wait. A queue that
// was empty within the last MaxWait holds a burst: it has room for all requests
// that can run within MaxWait, provided that the mean latency is known. A queue
// that stays filled for longer only delays every request, and is kept short.
func (g *Gate) queueCapacity(class gtconfig.Class, now time.Time) int {
	if g.meanLatency[class] == 0 || len(g.queue[class]) > 0 && now.Sub(g.queueEmptyAt[class]) > MaxWait {
		return max(1, g.Slots/slotsPerQueuePlace)
	}
	return maxBurstQueue
}

// Decided returns a channel that is closed when the request may run, or when it has lost
// its place in the queue, as Err tells.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Err returns why a request that was queued may not run, or nil. It is called once Decided
// is closed.
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
	if t.running {
		g.running[t.class]--
		g.grantQueued(g.Now())
		return true
	}
	g.dequeue(t)
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
	g.running[t.class]--
	g.record(t, route, latency, result, now)
	g.grantQueued(now)
}

// record updates the statistics and the limit from the result of a request.
// Except for shed requests, results that span a process pause are ignored.
func (g *Gate) record(t *Ticket, route string, latency time.Duration, result Result, now time.Time) {
	if result != Shed && g.wasPausedSince(now.Add(-latency)) {
		return
	}
	switch result {
	case Succeeded:
		g.updateMeanLatency(t.class, latency)
		g.errorRate.Add(false, now)
	case ServerError, Shed:
		g.errorRate.Add(true, now)
	case NoResponse:
	}
	g.updateServiceTime(route, latency, result)
	if g.Fixed {
		return
	}
	switch result {
	case Succeeded:
		g.limiter.observe(route, latency, t.limitReached, now)
	case Shed:
		g.limiter.observeShed(g.runningTotal(), now)
	case NoResponse, ServerError:
	}
}

// wasPausedSince reports whether this process was paused after since. The
// response to a request sent at that time may then be late for this reason alone.
func (g *Gate) wasPausedSince(since time.Time) bool {
	return g.PausedSince != nil && g.PausedSince(since)
}

// updateMeanLatency updates the moving average of a class's latency; the first
// response initializes it.
func (g *Gate) updateMeanLatency(class gtconfig.Class, latency time.Duration) {
	if g.meanLatency[class] == 0 {
		g.meanLatency[class] = latency
		return
	}
	g.meanLatency[class] += time.Duration(meanLatencyWeight * float64(latency-g.meanLatency[class]))
}

// grantQueued grants queued tickets while the limit has room: those that can be in time
// first, and of these the most urgent class first.
func (g *Gate) grantQueued(now time.Time) {
	for _, late := range []bool{false, true} {
		for class := range g.queue {
			for g.hasRoom(gtconfig.Class(class), now) {
				t := g.next(gtconfig.Class(class), late, now)
				if t == nil {
					break
				}
				g.dequeue(t)
				g.grant(t)
			}
		}
	}
}

// next returns the first queued ticket of a class that can, or can't, be in time, or nil.
func (g *Gate) next(class gtconfig.Class, late bool, now time.Time) *Ticket {
	for _, t := range g.queue[class] {
		if g.isLate(t, now) == late {
			return t
		}
	}
	return nil
}

// isLate reports whether a request that starts now is expected to miss its target.
func (g *Gate) isLate(t *Ticket, now time.Time) bool {
	return !t.dueAt.IsZero() && now.Add(g.meanLatency[t.class]).After(t.dueAt)
}

// displace refuses the last queued request that can't be in time, for one that can and
// finds no place. It prefers the least urgent class. It reports whether there was one.
func (g *Gate) displace(t *Ticket, now time.Time) bool {
	if g.isLate(t, now) {
		return false
	}
	for class := classCount - 1; class >= int(t.class); class-- {
		for _, o := range slices.Backward(g.queue[class]) {
			if g.isLate(o, now) {
				g.dequeue(o)
				g.refused++
				o.finished, o.err = true, gtkind.New(gtkind.Full, "place in the admission queue went to a request that can be in time")
				close(o.decided)
				return true
			}
		}
	}
	return false
}

func (g *Gate) dequeue(t *Ticket) {
	g.queue[t.class] = slices.DeleteFunc(g.queue[t.class], func(o *Ticket) bool { return o == t })
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
	g.meanLatency = [classCount]time.Duration{}
	g.serviceTimes, g.errorRate = nil, gtroute.ErrorRate{}
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
	for c := range classCount {
		busy += g.running[c] + len(g.queue[c])
	}
	if g.warmUp.exhausted(now) {
		busy = max(busy, warmUpLoad*g.limiter.current())
	}
	return gtroute.NewLoad(busy, g.limiter.current()).WithServiceTime(g.serviceTimes[route]).WithErrorRate(g.errorRate.Value(now))
}

// Refused returns how many requests the gate has refused with the kind Full.
func (g *Gate) Refused() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused
}
