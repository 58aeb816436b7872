package gtadmission

import "time"

// warmUpBurst is the largest burst of requests that a backend server may get
// while it warms up, as a fraction of its rate limit in requests per second.
const warmUpBurst = 0.25

// warmUpLoad is the load, as a multiple of the concurrency limit, reported for
// a backend server that is warming up and has used up its rate limit. It equals
// the load of one whose queue is full: its idle slots would otherwise attract
// requests that it has to refuse.
const warmUpLoad = 2

// warmUpLimiter is a token bucket that limits the rate of requests to a backend
// server while it warms up.
type warmUpLimiter struct {
	rate       float64
	until      time.Time
	tokens     float64
	refilledAt time.Time
}

// takeToken takes a token for one request and reports whether there was one.
// After the warm-up it always succeeds.
func (w *warmUpLimiter) takeToken(now time.Time) bool {
	if !now.Before(w.until) {
		return true
	}
	w.refill(now)
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// refill adds the tokens for the time since the last refill.
func (w *warmUpLimiter) refill(now time.Time) {
	capacity := max(1, warmUpBurst*w.rate)
	w.tokens = min(capacity, w.tokens+w.rate*now.Sub(w.refilledAt).Seconds())
	w.refilledAt = now
}

// gap returns the time between two requests by the rate limit, or 0 after the warm-up.
func (w *warmUpLimiter) gap(now time.Time) time.Duration {
	if !now.Before(w.until) || w.rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / w.rate)
}

// exhausted reports whether the backend server is warming up and no token is
// available.
func (w *warmUpLimiter) exhausted(now time.Time) bool {
	if !now.Before(w.until) {
		return false
	}
	w.refill(now)
	return w.tokens < 1
}

// LimitWarmUpRate limits requests to rate, in requests per second, for the
// remaining duration of the backend server's warm-up. A rate or duration of 0 or
// less removes the limit.
func (g *Gate) LimitWarmUpRate(rate float64, remaining time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ensureInitialized()
	if rate <= 0 || remaining <= 0 {
		g.warmUp.until = now
		return
	}
	if !now.Before(g.warmUp.until) {
		g.warmUp.tokens, g.warmUp.refilledAt = 1, now
	}
	g.warmUp.rate, g.warmUp.until = rate, now.Add(remaining)
}
