package gtadmission

import (
	"math"
	"time"
)

const (
	// warmUpShare is the initial limit, as a fraction of the slots, of a backend
	// server that has started or needs to warm up again.
	warmUpShare = 0.1
	// growInterval is the minimum time between two increases of the limit.
	growInterval = 250 * time.Millisecond
	// responsesPerGrowth is the number of successful responses, for each unit of
	// the limit, required between two increases.
	responsesPerGrowth = 4
	// shrinkInterval is the minimum time between two decreases due to latency.
	shrinkInterval = 100 * time.Millisecond
	// shrinkFactor is the factor applied by such a decrease.
	shrinkFactor = 0.8
	// shrinkAboveRatio is the ratio of latency to baseline above which the limit
	// decreases; below growBelowRatio it may increase.
	shrinkAboveRatio = 2.0
	growBelowRatio   = 1.5
	// baselineBelowRatio is the ratio from which the baseline is no longer updated,
	// so that it excludes latency raised by too high a limit.
	baselineBelowRatio = 1.2
	// resetAboveRatio is the ratio above which the limit restarts from its
	// minimum, as for a backend server that has to warm up again.
	resetAboveRatio = 4.0
	// maxRatioSample bounds the influence of a single response on the ratio.
	maxRatioSample = 10.0
	// minHold is the time after a decrease during which the limit does not
	// increase; consecutive refusals by the server double it up to maxHold.
	minHold = 500 * time.Millisecond
	maxHold = 16 * time.Second
	// baselineTimeConstant is the time constant of the moving average that forms
	// a baseline.
	baselineTimeConstant = 30 * time.Second
	// initialSamples is the number of responses whose arithmetic mean initializes
	// a baseline.
	initialSamples = 20
	// maxRoutes bounds the number of routes for which a gate keeps a baseline and
	// a service time.
	maxRoutes = 1024
	// maxRatioWeight is the largest weight of the newest response in the moving
	// average of the ratio. ratioTimeConstant reduces the weight when responses
	// arrive in quick succession, because a short stall of the machine delays
	// many of them at once.
	maxRatioWeight    = 0.08
	ratioTimeConstant = 100 * time.Millisecond
)

// baseline is the moving average of a route's latency, in seconds.
type baseline struct {
	mean      float64
	samples   int
	updatedAt time.Time
}

// update adds a latency in seconds to the baseline.
func (b *baseline) update(latency float64, now time.Time) {
	b.samples++
	weight := 1 / float64(b.samples)
	if b.samples > initialSamples {
		weight = 1 - math.Exp(-now.Sub(b.updatedAt).Seconds()/baselineTimeConstant.Seconds())
	}
	b.updatedAt = now
	b.mean += weight * (latency - b.mean)
}

// limiter adapts the concurrency limit of a gate. It is guarded by the lock of
// that gate.
type limiter struct {
	slots          int
	limit          float64
	latencyRatio   float64
	ratioUpdatedAt time.Time
	successes      int
	baselines      map[string]*baseline
	changedAt      time.Time
	holdUntil      time.Time
	holdTime       time.Duration
}

func (l *limiter) reset(slots int, now time.Time) {
	*l = limiter{slots: slots, latencyRatio: 1, changedAt: now, baselines: map[string]*baseline{}}
	l.limit = l.minLimit()
}

// minLimit returns the limit of a backend server that starts to warm up.
func (l *limiter) minLimit() float64 { return math.Max(1, math.Floor(float64(l.slots)*warmUpShare)) }

// current returns the limit rounded down to a number of requests.
func (l *limiter) current() int { return int(l.limit) }

// observe updates the limit from the latency of a successful response.
// limitReached tells whether the request used the last free place when it was
// granted; a limit that is not reached does not increase.
func (l *limiter) observe(route string, latency time.Duration, limitReached bool, now time.Time) {
	b := l.baselines[route]
	if b == nil {
		if len(l.baselines) >= maxRoutes {
			return
		}
		b = &baseline{updatedAt: now}
		l.baselines[route] = b
	}
	sample := 1.0
	if b.samples > 0 && b.mean > 0 {
		sample = math.Min(latency.Seconds()/b.mean, maxRatioSample)
	}
	weight := min(maxRatioWeight, 1-math.Exp(-now.Sub(l.ratioUpdatedAt).Seconds()/ratioTimeConstant.Seconds()))
	l.ratioUpdatedAt = now
	l.latencyRatio += weight * (sample - l.latencyRatio)
	if l.latencyRatio < baselineBelowRatio || b.samples < initialSamples || l.limit <= l.minLimit() {
		b.update(latency.Seconds(), now)
	}
	switch {
	case l.latencyRatio > resetAboveRatio:
		l.latencyRatio = 1
		l.shrink(l.minLimit(), now)
	case l.latencyRatio > shrinkAboveRatio && now.Sub(l.changedAt) >= shrinkInterval:
		l.shrink(math.Max(l.minLimit(), math.Floor(l.limit*shrinkFactor)), now)
	case l.latencyRatio < growBelowRatio && limitReached:
		l.successes++
		l.grow(now)
	}
}

// grow increases the limit by a quarter, but at least 1, up to the number of
// slots. It has no effect while the limit is on hold, before growInterval has
// passed, or with too few successful responses since the last change.
func (l *limiter) grow(now time.Time) {
	if float64(l.successes) < responsesPerGrowth*l.limit || now.Sub(l.changedAt) < growInterval || now.Before(l.holdUntil) {
		return
	}
	l.successes = 0
	l.changedAt = now
	l.limit = math.Min(float64(l.slots), l.limit+math.Max(1, math.Floor(l.limit/4)))
	if now.Sub(l.holdUntil) > 2*maxHold {
		l.holdTime = 0
	}
}

// shrink decreases the limit because latency has risen. Callers pass no value
// below minLimit: latency that is high even at that limit is not caused by
// concurrency.
func (l *limiter) shrink(to float64, now time.Time) {
	if l.decrease(to, now) {
		l.holdUntil = now.Add(minHold)
	}
}

// decrease lowers the limit to the given value, but not below 1, and reports
// whether that changed the limit. It never raises the limit.
func (l *limiter) decrease(to float64, now time.Time) bool {
	l.successes = 0
	if to = math.Max(1, to); to >= l.limit {
		return false
	}
	l.limit, l.changedAt = to, now
	return true
}

// observeShed decreases the limit after the backend server refused a request
// while the given number of other requests were running, since it can't handle
// more than those. Each such decrease after the end of a hold doubles the time of
// the next hold, up to maxHold; grow resets it. A hold that began for another reason
// is not shortened.
func (l *limiter) observeShed(running int, now time.Time) {
	if !l.decrease(float64(running), now) {
		return
	}
	if now.After(l.holdUntil) {
		l.holdTime = min(2*l.holdTime, maxHold)
	}
	l.holdTime = max(l.holdTime, minHold)
	l.holdUntil = now.Add(l.holdTime)
}
