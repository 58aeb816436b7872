package gtroute

import (
	"math"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
)

const (
	// loadTTL is how long a reported load is used.
	loadTTL = 2 * time.Second
	// serviceTimeTTL is how long a reported service time is used.
	serviceTimeTTL = 3 * time.Second
	// slowRatio is the ratio of two instances' service times above which the
	// slower one is avoided, if minServiceTimeGain is reached as well.
	slowRatio = 3.0
	// minServiceTimeGain is the minimum service time that a request must save by
	// going to the faster instance.
	minServiceTimeGain = 100 * time.Millisecond
	// minErrorRateGain is the difference between two instances' error rates from
	// which the worse one is avoided.
	minErrorRateGain = 0.2
	// maxRoutesPerPeer is the maximum number of routes for which the service time
	// of an instance is kept.
	maxRoutesPerPeer = 64
	// minEjection and maxEjection bound how long an instance is ejected after a
	// failure. The time doubles with each consecutive failure.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// maxDownEjection replaces maxEjection if the node responded that its backend
	// server is down: a probe then costs callers no time.
	maxDownEjection = time.Second
	// ejectedLoad is added to the load of an ejected instance, so that it exceeds
	// that of any instance that is merely full.
	ejectedLoad = 1000
	// fullLoad is the load at which an instance has reached its concurrency limit.
	fullLoad = 1
	// queueFullLoad is the load from which the admission queue of an instance
	// counts as full.
	queueFullLoad = 1.5
	// minSpillGain is how much lower the load in another zone must be for a
	// request to leave the local zone when both are full.
	minSpillGain = 0.5
	// meanBusyTime is the time constant of the moving average of the reported requests.
	meanBusyTime = 5 * time.Second
	// summaryWeight is the weight of a summary against the loads that this node has seen
	// itself within meanBusyTime. If all nodes of a zone believed the same, they would
	// send their requests to the same instances.
	summaryWeight = 0.3
	// peerTTL is how long the state of an instance without requests is kept.
	peerTTL = 10 * time.Minute
)

// Load is the load of a backend server, which its node reports with each response.
type Load struct {
	busy        int
	limit       int
	serviceTime time.Duration
	errorRate   float64
	capacity    Capacity
	elapsed     time.Duration
}

// NewLoad returns a load of busy requests, running or queued, under a concurrency
// limit.
func NewLoad(busy, limit int) Load { return Load{busy: busy, limit: limit} }

// WithServiceTime returns a copy with the current service time of the request's
// route, without the wait in the admission queue.
func (l Load) WithServiceTime(d time.Duration) Load {
	l.serviceTime = d
	return l
}

// ServiceTime returns the service time, or 0 if it is unknown.
func (l Load) ServiceTime() time.Duration { return l.serviceTime }

// WithErrorRate returns a copy with the recent error rate of the backend
// server, 0 to 1.
func (l Load) WithErrorRate(rate float64) Load {
	l.errorRate = rate
	return l
}

// ErrorRate returns the error rate, 0 to 1.
func (l Load) ErrorRate() float64 { return l.errorRate }

// WithCapacity returns a copy with what the node of the backend server has learned of it.
func (l Load) WithCapacity(c Capacity) Load {
	l.capacity = c
	return l
}

// Capacity returns what the node of the backend server has learned of it.
func (l Load) Capacity() Capacity { return l.capacity }

// WithElapsed returns a copy with the time from the arrival of the request at the node of
// the backend server to its response.
func (l Load) WithElapsed(d time.Duration) Load {
	l.elapsed = d
	return l
}

// Elapsed returns that time, or 0 if it is unknown.
func (l Load) Elapsed() time.Duration { return l.elapsed }

// Busy returns the number of requests that run or are queued.
func (l Load) Busy() int { return l.busy }

// Limit returns the concurrency limit.
func (l Load) Limit() int { return l.limit }

// peer is what the router knows of an instance.
type peer struct {
	inflight     int
	load         Load
	loadAt       time.Time
	failures     int
	ejectedUntil time.Time
	unreachable  bool // whether the instance could not be reached at the last failure
	usedAt       time.Time
	serviceTimes map[string]serviceTime
	// inflightThen is inflight at loadAt.
	inflightThen int
	// meanBusy is the moving average of the reported requests.
	meanBusy float64
	// reportedLimit is the concurrency limit of the last summary, received at reportedAt.
	reportedLimit int
	reportedAt    time.Time
	// capacity is what the instance last reported to have learned, whenever that was.
	capacity Capacity
}

// serviceTime is the reported service time of a route, and the one that the instance has
// learned over a longer time.
type serviceTime struct {
	value      time.Duration
	reportedAt time.Time
	learned    time.Duration
}

// setServiceTime records the service time of a route, unless it is 0 for unknown.
// If maxRoutesPerPeer is reached, it drops an arbitrary other route.
func (p *peer) setServiceTime(route string, d, learned time.Duration, now time.Time) {
	if d <= 0 && learned <= 0 {
		return
	}
	if p.serviceTimes == nil {
		p.serviceTimes = map[string]serviceTime{}
	}
	if _, ok := p.serviceTimes[route]; !ok && len(p.serviceTimes) >= maxRoutesPerPeer {
		for r := range p.serviceTimes {
			delete(p.serviceTimes, r)
			break
		}
	}
	p.serviceTimes[route] = serviceTime{d, now, learned}
}

// report stores the load that the instance had at a time.
func (p *peer) report(load Load, at time.Time) {
	weight := 1.0
	if !p.loadAt.IsZero() {
		weight = 1 - math.Exp(-at.Sub(p.loadAt).Seconds()/meanBusyTime.Seconds())
	}
	p.meanBusy += weight * (float64(load.busy) - p.meanBusy)
	p.load, p.loadAt, p.inflightThen = load, at, p.inflight
	if load.capacity.IsKnown() {
		p.capacity = load.capacity
	}
}

// Begin records that a request is being sent to the instance.
func (rt *Router) Begin(instance string) {
	rt.withPeer(instance, func(p *peer) { p.inflight++ })
}

// Silent records that nothing has been received on a request, counted by Begin, for the
// keep-alive timeout. It ejects the instance for a time, as a failure does; the response
// may still come.
func (rt *Router) Silent(instance string) {
	now := rt.Now()
	rt.withPeer(instance, func(p *peer) { p.eject(gtkind.Unresponsive, now) })
}

// End records that a request, counted by Begin, has ended. It stores the load
// reported with the response. A failure of the instance ejects it for a time; any
// other outcome ends the ejection, unless it says nothing about the instance.
func (rt *Router) End(instance, route string, k gtkind.Kind, load Load) {
	now := rt.Now()
	rt.withPeer(instance, func(p *peer) {
		p.inflight--
		if load.limit > 0 {
			p.report(load, now)
			p.setServiceTime(route, load.serviceTime, load.capacity.serviceTime, now)
		}
		switch {
		case isInstanceFailure(k):
			p.eject(k, now)
		case !saysNothing(k):
			p.failures = 0
			p.ejectedUntil = time.Time{}
		}
	})
}

// eject ejects the instance after a failure of the given kind.
func (p *peer) eject(k gtkind.Kind, now time.Time) {
	p.failures++
	p.unreachable = isUnreachable(k)
	p.ejectedUntil = now.Add(min(minEjection<<min(p.failures-1, 10), ejectionLimit(k)))
}

// saysNothing reports whether a kind says neither that an instance works nor that it
// doesn't: the request ended while its response was awaited.
func saysNothing(k gtkind.Kind) bool {
	return k == gtkind.Deadline || k == gtkind.Canceled
}

// ejectionLimit returns the maximum ejection time after a failure of the kind.
func ejectionLimit(k gtkind.Kind) time.Duration {
	if k == gtkind.Down {
		return maxDownEjection
	}
	return maxEjection
}

// isInstanceFailure reports whether a kind counts as a failure of the instance
// itself.
func isInstanceFailure(k gtkind.Kind) bool {
	switch k {
	case gtkind.Refused, gtkind.Unresponsive, gtkind.ConnectionLost, gtkind.MismatchedResponse, gtkind.Down, gtkind.StaleConnection:
		return true
	default:
		return false
	}
}

// isUnreachable reports whether a kind means that the instance could not be
// reached, which a caller may learn only after a timeout.
func isUnreachable(k gtkind.Kind) bool {
	return k == gtkind.Refused || k == gtkind.StaleConnection || k == gtkind.Unresponsive
}

// Expire drops the state of instances that have had no requests for peerTTL.
func (rt *Router) Expire() {
	now := rt.Now()
	rt.peers.Each(func(m map[string]*peer) {
		for name, p := range m {
			if p.inflight == 0 && now.Sub(p.usedAt) > peerTTL && now.Sub(p.reportedAt) > peerTTL {
				delete(m, name)
			}
		}
	})
	rt.expireViews(now)
}

// withPeer runs fn on the state of an instance under the lock of its shard.
func (rt *Router) withPeer(instance string, fn func(*peer)) {
	now := rt.Now()
	rt.peers.Do(instance, func(m map[string]*peer) {
		p := m[instance]
		if p == nil {
			p = &peer{}
			m[instance] = p
		}
		p.usedAt = now
		fn(p)
	})
}

// candidate is an instance with the properties by which instances are compared.
type candidate struct {
	record *gtmember.Record
	// load is the share of the concurrency limit in use, plus ejectedLoad if the
	// instance is ejected.
	load float64
	// serviceTime is the service time of the route, or 0 if it is unknown.
	serviceTime time.Duration
	// errorRate is the share of failed responses, 0 to 1.
	errorRate float64
	// probing reports whether the instance is ejected as unreachable and a request
	// in flight is probing it.
	probing bool
}

// preferredTo reports whether c is a better choice than o: the less loaded one, but
// if both are below the concurrency limit, not one that is much worse.
func (c candidate) preferredTo(o candidate) bool {
	if max(c.load, o.load) < fullLoad && c.muchWorseThan(o) != o.muchWorseThan(c) {
		return o.muchWorseThan(c)
	}
	return c.load < o.load
}

// muchWorseThan reports whether requests should avoid c and go to o, even in
// another zone: c has a much higher error rate, or is much slower and its error
// rate is not much lower.
func (c candidate) muchWorseThan(o candidate) bool {
	if c.errorRate-o.errorRate >= minErrorRateGain {
		return true
	}
	return o.errorRate-c.errorRate < minErrorRateGain && c.muchSlowerThan(o)
}

// mayBeMuchWorse reports whether c can be much worse than any other candidate.
func (c candidate) mayBeMuchWorse() bool {
	return c.errorRate >= minErrorRateGain || c.serviceTime >= minServiceTimeGain
}

// muchSlowerThan reports whether the service time of c is much longer than that of
// o.
func (c candidate) muchSlowerThan(o candidate) bool {
	return o.serviceTime > 0 && float64(c.serviceTime) > slowRatio*float64(o.serviceTime) && c.serviceTime-o.serviceTime >= minServiceTimeGain
}

// candidate returns an instance with what is known of it for requests on a route.
func (rt *Router) candidate(r *gtmember.Record, route string) candidate {
	now := rt.Now()
	c := candidate{record: r}
	rt.peers.Do(r.Instance(), func(m map[string]*peer) {
		if p := m[r.Instance()]; p != nil {
			c.describe(p, route, now)
		}
	})
	return c
}

// describe sets what is known of the instance, and returns the learned service time of the
// route, or 0.
func (c *candidate) describe(p *peer, route string, now time.Time) time.Duration {
	limit := c.record.Slots()
	busy := p.inflight
	if p.load.limit > 0 && now.Sub(p.loadAt) < loadTTL {
		limit = p.load.limit
		c.errorRate = p.load.errorRate
		busy = max(busy, p.load.busy)
	}
	c.load = float64(busy) / float64(limit)
	if now.Before(p.ejectedUntil) {
		c.load += ejectedLoad
		c.probing = p.unreachable && p.inflight > 0
	}
	st := p.serviceTimes[route]
	if now.Sub(st.reportedAt) < serviceTimeTTL {
		c.serviceTime = st.value
	}
	return st.learned
}

// Report stores what a summary tells of an instance: the capacity and, as the load, the
// mean number of requests that ran or were queued there, under the concurrency limit. The
// mean has no effect on the latest load: all nodes of a zone get a summary at the same
// time, and would send their requests to the same instances.
func (rt *Router) Report(instance string, mean float64, limit int, c Capacity) {
	now := rt.Now()
	rt.peers.Do(instance, func(m map[string]*peer) {
		p := m[instance]
		if p == nil {
			p = &peer{usedAt: now}
			m[instance] = p
		}
		if c.IsKnown() {
			p.capacity = c
		}
		if limit > 0 {
			weight := 1.0
			if now.Sub(p.loadAt) < meanBusyTime {
				weight = summaryWeight
			}
			p.meanBusy += weight * (mean - p.meanBusy)
			p.reportedLimit, p.reportedAt = limit, now
		}
	})
}
