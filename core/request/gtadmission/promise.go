package gtadmission

import (
	"math"
	"slices"
	"time"
)

const (
	// MinWaitTold is the shortest time to wait that is sent with a refusal.
	MinWaitTold = 60 * time.Millisecond
	// waitToldDivisor is the divisor of the remaining time that gives the longest time to
	// wait: callers ignore longer ones.
	waitToldDivisor = 3
	// minSpare is the part of the capacity that is promised to callers that come back, however
	// much new requests ask for. A larger part serves them late, for which others are late
	// that could be in time.
	minSpare = 0.1
	// demandTimeConstant is the time over which the demand of new requests is averaged: a
	// burst of some hundred milliseconds changes it little.
	demandTimeConstant = 5 * time.Second
	// initialGap is the time between two returns while the service time is unknown. It suits
	// a server that has just started and takes some ten requests a second.
	initialGap = 100 * time.Millisecond
	// maxPromises bounds the number of promises that are kept.
	maxPromises = 256
	// A caller counts as back at the time that it was told if it comes no earlier than
	// returnEarly before it and no later than returnLate after it, on the same route, from
	// the same sender and with a deadline that differs by returnDeadlineSlack at most.
	returnEarly         = 20 * time.Millisecond
	returnLate          = 250 * time.Millisecond
	returnDeadlineSlack = 30 * time.Millisecond
	// spreadStep is the step between two such places: the golden ratio spreads any number of
	// them evenly.
	spreadStep = math.Phi - 1
	// claimWeight is the weight of the newest promise in the share of promises that are
	// claimed.
	claimWeight = 0.05
	// gapWeight is the weight of the newest completion in the mean time between two.
	gapWeight = 0.1
	// minDemandSpan is the shortest time over which the demand is measured.
	minDemandSpan = 500 * time.Millisecond
	// maxGap bounds a single time between two completions.
	maxGap = time.Second
)

// promise is a time to wait that was sent with a refusal.
type promise struct {
	request Request
	due     time.Time
}

// returns tells the callers of refused requests when to come back, by the measured drain
// rate, and keeps room for those that do.
type returns struct {
	gap          time.Duration // mean time between two completions while requests wait
	completedAt  time.Time     // the last completion, or zero if no slot was asked for since
	next         time.Time     // the earliest time for the next promise
	promises     []promise     // by the time that they are due
	claimedShare float64       // moving average of the promises that are claimed
	demand       float64       // decaying sum of the new requests
	demandAt     time.Time     // of the last new request
	since        time.Time     // of the first new request
	spread       float64       // place of the last time that was told without room for it, 0 to 1
}

// arrived records a new request, one that doesn't come back as it was told.
func (r *returns) arrived(now time.Time) {
	if r.since.IsZero() {
		r.since, r.demandAt = now, now
	}
	r.demand = r.demand*math.Exp(-now.Sub(r.demandAt).Seconds()/demandTimeConstant.Seconds()) + 1
	r.demandAt = now
}

// spare returns the part of the capacity that new requests leave, where the server completes
// a request every gap.
func (r *returns) spare(gap time.Duration) float64 {
	tau := demandTimeConstant.Seconds()
	// The span over which the decaying sum of arrivals has been formed.
	span := tau * (1 - math.Exp(-max(r.demandAt.Sub(r.since), minDemandSpan).Seconds()/tau))
	return max(minSpare, 1-r.demand/span*gap.Seconds())
}

// completed records the end of a request. The time since the one before counts if
// saturated, that is if the server had as many requests as it may run since then.
func (r *returns) completed(saturated bool, now time.Time) {
	if !saturated {
		r.completedAt = time.Time{}
		return
	}
	if !r.completedAt.IsZero() {
		d := min(now.Sub(r.completedAt), maxGap)
		if r.gap == 0 {
			r.gap = d
		}
		r.gap += time.Duration(gapWeight * float64(d-r.gap))
	}
	r.completedAt = now
}

// promise returns how long the caller of a refused request is to wait. backlog is the time
// until a request that joins the queue now is served, gap that between two completions, and
// latest the longest time after which a response could still be in time for the target.
// Room is kept for callers that are told a time up to then, and for later ones if new
// requests leave capacity for them; otherwise these would make others late. The callers for
// which there is no room are told times spread up to latest, as a slot may be free at any
// time.
func (r *returns) promise(req Request, backlog, gap, latest time.Duration, now time.Time) time.Duration {
	longest := max(MinWaitTold, req.deadline.Sub(now)/waitToldDivisor)
	if latest < MinWaitTold {
		latest = longest
	}
	latest = min(latest, longest)
	at := now.Add(max(MinWaitTold, backlog))
	if r.next.After(at) {
		at = r.next
	}
	spare := r.spare(gap)
	if at.After(now.Add(latest)) && (spare <= minSpare || at.After(now.Add(longest))) {
		_, r.spread = math.Modf(r.spread + spreadStep)
		return MinWaitTold + time.Duration(r.spread*float64(latest-MinWaitTold))
	}
	r.next = at.Add(time.Duration(float64(gap) / spare))
	if len(r.promises) < maxPromises {
		i, _ := slices.BinarySearchFunc(r.promises, at, func(p promise, t time.Time) int {
			if p.due.After(t) {
				return 1
			}
			return -1
		})
		r.promises = slices.Insert(r.promises, i, promise{req, at})
	}
	return at.Sub(now)
}

// claim reports whether a request is one that comes back as it was told, and forgets the
// promise if so. It returns the request with the target that it had at first.
func (r *returns) claim(req Request, now time.Time) (Request, bool) {
	r.expire(now)
	for i, p := range r.promises {
		if p.due.After(now.Add(returnEarly)) {
			break
		}
		if p.request.isSameAs(req) {
			r.promises = slices.Delete(r.promises, i, i+1)
			r.claimedShare += claimWeight * (1 - r.claimedShare)
			return req.WithTarget(p.request.target), true
		}
	}
	r.arrived(now)
	return req, false
}

// isSameAs reports whether other looks like the same request sent again.
func (r Request) isSameAs(other Request) bool {
	d := r.deadline.Sub(other.deadline)
	return d.Abs() <= returnDeadlineSlack && r.route == other.route && r.account == other.account && r.caller == other.caller && r.class == other.class
}

// expire forgets the promises that were not claimed in time.
func (r *returns) expire(now time.Time) {
	n := 0
	for n < len(r.promises) && r.promises[n].due.Before(now.Add(-returnLate)) {
		r.claimedShare -= claimWeight * r.claimedShare
		n++
	}
	r.promises = slices.Delete(r.promises, 0, n)
}

// expected returns how many callers are expected back within d.
func (r *returns) expected(d time.Duration, now time.Time) float64 {
	r.expire(now)
	n := 0
	for n < len(r.promises) && !r.promises[n].due.After(now.Add(d)) {
		n++
	}
	return float64(n) * r.claimedShare
}

// reset forgets what was measured, as at a start of the server.
func (r *returns) reset() { *r = returns{} }
