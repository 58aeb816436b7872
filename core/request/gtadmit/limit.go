package gtadmit

import (
	"math"
	"time"
)

const (
	// coldShare is the share of its slots that a backend server gets when it
	// has just started or turned cold.
	coldShare = 0.1
	// growEvery is the least time between two steps up.
	growEvery = 250 * time.Millisecond
	// growAfter is the number of good answers for each unit of the limit
	// between two steps up.
	growAfter = 4
	// shrinkEvery is the least time between two steps down for slowness.
	shrinkEvery = 100 * time.Millisecond
	// shrinkBy is the factor of such a step.
	shrinkBy = 0.8
	// slowRatio is the latency, as a multiple of the baseline, above which the
	// limit goes down; below steadyRatio it may go up.
	slowRatio   = 2.0
	steadyRatio = 1.5
	// learnRatio is the ratio above which the baseline does not follow: what
	// the limit itself has slowed down is no baseline.
	learnRatio = 1.2
	// collapseRatio is the ratio at which the server counts as cold again.
	collapseRatio = 4.0
	// maxSample bounds what one answer adds to the ratio.
	maxSample = 10.0
	// holdFirst is the wait before the limit goes up again after it had to go
	// down; refusals by the server in a row double it up to holdMax.
	holdFirst = 500 * time.Millisecond
	holdMax   = 16 * time.Second
	// baselineTime is the time constant with which a baseline follows.
	baselineTime = 30 * time.Second
	// firstSamples is the number of answers whose plain mean starts a baseline.
	firstSamples = 20
	// maxRoutes bounds the table of baselines.
	maxRoutes = 1024
	// ratioWeight is the largest weight of the newest answer in the moving
	// ratio, and ratioTime its time constant where answers come fast: a short
	// stall of the machine delays many answers at once.
	ratioWeight = 0.08
	ratioTime   = 100 * time.Millisecond
)

// baseline is the usual latency of a route, in seconds.
type baseline struct {
	mean    float64
	samples int
	at      time.Time
}

func (b *baseline) follow(d float64, now time.Time) {
	b.samples++
	weight := 1 / float64(b.samples)
	if b.samples > firstSamples {
		weight = 1 - math.Exp(-now.Sub(b.at).Seconds()/baselineTime.Seconds())
	}
	b.at = now
	b.mean += weight * (d - b.mean)
}

// limiter adapts the number of requests that may run at once. It is guarded
// by the lock of its gate.
type limiter struct {
	slots     int
	limit     float64
	ratio     float64
	ratioAt   time.Time
	good      int
	routes    map[string]*baseline
	changedAt time.Time
	holdTo    time.Time
	hold      time.Duration
}

func (l *limiter) reset(slots int, now time.Time) {
	*l = limiter{slots: slots, ratio: 1, changedAt: now, routes: map[string]*baseline{}}
	l.limit = l.floor()
}

func (l *limiter) floor() float64 { return math.Max(1, math.Floor(float64(l.slots)*coldShare)) }

func (l *limiter) whole() int { return int(l.limit) }

// observe learns from an answer. Busy says whether the limit was in use when
// the request ran: a limit that nobody needs is not raised.
func (l *limiter) observe(route string, d time.Duration, busy bool, now time.Time) {
	b := l.routes[route]
	if b == nil {
		if len(l.routes) >= maxRoutes {
			return
		}
		b = &baseline{at: now}
		l.routes[route] = b
	}
	sample := 1.0
	if b.samples > 0 && b.mean > 0 {
		sample = math.Min(d.Seconds()/b.mean, maxSample)
	}
	weight := min(ratioWeight, 1-math.Exp(-now.Sub(l.ratioAt).Seconds()/ratioTime.Seconds()))
	l.ratioAt = now
	l.ratio += weight * (sample - l.ratio)
	if l.ratio < learnRatio || b.samples < firstSamples || l.limit <= l.floor() {
		b.follow(d.Seconds(), now)
	}
	switch {
	case l.ratio > collapseRatio:
		l.ratio = 1
		l.slow(l.floor(), now)
	case l.ratio > slowRatio && now.Sub(l.changedAt) >= shrinkEvery:
		l.slow(math.Max(l.floor(), math.Floor(l.limit*shrinkBy)), now)
	case l.ratio < steadyRatio && busy:
		l.good++
		l.grow(now)
	}
}

func (l *limiter) grow(now time.Time) {
	if float64(l.good) < growAfter*l.limit || now.Sub(l.changedAt) < growEvery || now.Before(l.holdTo) {
		return
	}
	l.good = 0
	l.changedAt = now
	l.limit = math.Min(float64(l.slots), l.limit+math.Max(1, math.Floor(l.limit/4)))
	if now.Sub(l.holdTo) > 2*holdMax {
		l.hold = 0
	}
}

// slow takes the limit down because answers have slowed down. It does not go
// below what a cold server gets: if answers are slow even then, it is not for
// the number of requests.
func (l *limiter) slow(to float64, now time.Time) {
	if l.lower(to, now) {
		l.holdTo = now.Add(holdFirst)
	}
}

// lower takes the limit down, and says whether it did.
func (l *limiter) lower(to float64, now time.Time) bool {
	l.good = 0
	if to = math.Max(1, to); to >= l.limit {
		return false
	}
	l.limit, l.changedAt = to, now
	return true
}

// shed learns from a refusal by the backend server while others requests were
// running: it can't bear more than those. Each time in a row, the limit is held
// for longer before the next try.
func (l *limiter) shed(others int, now time.Time) {
	if !l.lower(float64(others), now) {
		return
	}
	if now.After(l.holdTo) {
		l.hold = min(max(2*l.hold, holdFirst), holdMax)
	}
	l.holdTo = now.Add(l.hold)
}
