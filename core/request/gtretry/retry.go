// Package gtretry decides whether a failed attempt of a request is retried on
// another backend server.
//
// # Usage
//
//	policy := &gtretry.Policy{Now: timer.Time}
//	policy.RecordFirstAttempt(service) // for each first attempt
//	if policy.ShouldRetry(attempt) { ... }
//	if policy.MayGiveUp(attempt) { ... } // nothing is received; the request may be at work
//
// Only idempotent requests and requests that provably did not run are retried.
// Retries after a failure that may have cost a backend server work are limited
// by a budget, a share of the first attempts. A request that is, or is caused by,
// such a retry, at this hop or an earlier one, is not retried in this way again.
package gtretry

import (
	"time"

	"godwittide/core/process/gtshard"
	"godwittide/core/request/gtkind"
)

const (
	// MaxAttempts is the largest number of attempts at one hop.
	MaxAttempts = 3
	// tokensPerFirstAttempt is the number of retries that each first attempt adds
	// to the budget.
	tokensPerFirstAttempt = 0.05
	// tokensPerSecond is the number of retries that the budget gains per second,
	// so that a service with few requests can retry as well.
	tokensPerSecond = 0.2
	// maxTokens bounds the retries accumulated in a budget.
	maxTokens = 10
	// minTimeAfterSilence is the time that has to remain for a retry in place of an
	// attempt that may still be at work.
	minTimeAfterSilence = 300 * time.Millisecond
	// durationWeight is the weight of a new duration in the mean of its route.
	durationWeight = 1.0 / 16
)

// Attempt describes a failed attempt for the decision whether to retry.
type Attempt struct {
	service, route string
	kind           gtkind.Kind
	count          int
	idempotent     bool
	isRetry        bool
	remaining      time.Duration
	serversReached int
	maxServers     int
}

// NewAttempt returns a failed attempt with its service, its error kind, the number
// of attempts made so far, and the remaining time until the deadline.
func NewAttempt(service string, k gtkind.Kind, count int, remaining time.Duration) Attempt {
	return Attempt{service: service, kind: k, count: count, remaining: remaining}
}

// WithRoute returns a copy with the name of the request's route.
func (a Attempt) WithRoute(route string) Attempt {
	a.route = route
	return a
}

// WithIdempotent returns a copy that records whether the request is idempotent.
func (a Attempt) WithIdempotent(idempotent bool) Attempt {
	a.idempotent = idempotent
	return a
}

// WithRetry returns a copy that records whether the request is, or is caused by,
// a retry that draws on the retry budget, at this hop or an earlier one.
func (a Attempt) WithRetry(isRetry bool) Attempt {
	a.isRetry = isRetry
	return a
}

// WithServersReached returns a copy that records how many backend servers the
// request has reached and the maximum that it may reach; a maximum of 0 means
// no bound.
func (a Attempt) WithServersReached(n, maximum int) Attempt {
	a.serversReached, a.maxServers = n, maximum
	return a
}

// Policy decides about retries. It holds the retry budgets, sharded by service, and the mean
// durations of successful attempts, sharded by route.
type Policy struct {
	// Now returns the time of the timer service's clock. It is set before use.
	Now func() time.Time

	budgets   gtshard.Map[*budget]
	durations gtshard.Map[time.Duration]
}

// budget is a token bucket; each token allows one retry.
type budget struct {
	tokens     float64
	refilledAt time.Time
}

// RecordFirstAttempt counts a first attempt, which adds to the budget of its
// service.
func (p *Policy) RecordFirstAttempt(service string) {
	p.updateBudget(service, func(b *budget) { b.tokens = min(b.tokens+tokensPerFirstAttempt, maxTokens) })
}

// RecordDuration records how long a successful attempt took.
func (p *Policy) RecordDuration(route string, d time.Duration) {
	p.durations.Do(route, func(m map[string]time.Duration) {
		mean, ok := m[route]
		if !ok {
			mean = d
		}
		m[route] = mean + time.Duration(durationWeight*float64(d-mean))
	})
}

// Prune drops the state of the routes for which keep returns false.
func (p *Policy) Prune(keep func(route string) bool) {
	p.durations.Each(func(m map[string]time.Duration) {
		for route := range m {
			if !keep(route) {
				delete(m, route)
			}
		}
	})
}

// ShouldRetry reports whether to retry on another backend server. It takes a
// token from the budget if the failed attempt may have cost a backend server
// work, or shows that the server is short of capacity.
func (p *Policy) ShouldRetry(a Attempt) bool {
	if !a.mayBeRetried() {
		return false
	}
	return !a.kind.Row().UsesRetryBudget() || p.spendToken(a.service)
}

// MayGiveUp reports whether an attempt on which nothing is received, and which may be at
// work, may be given up for a retry on another backend server: the retry is allowed, and
// has the time that an attempt usually takes. Otherwise the response is worth waiting for.
func (p *Policy) MayGiveUp(a Attempt) bool {
	usual, _ := p.durations.Get(a.route)
	if a.remaining < max(usual, minTimeAfterSilence) || !a.mayBeRetried() {
		return false
	}
	return !a.kind.Row().UsesRetryBudget() || p.hasToken(a.service)
}

// mayBeRetried reports whether a retry is allowed if the budget has a token for it, where
// it needs one.
func (a Attempt) mayBeRetried() bool {
	row := a.kind.Row()
	switch {
	case a.count >= MaxAttempts || a.remaining <= 0 || !row.RetryElsewhere():
		return false
	case a.maxServers > 0 && a.serversReached >= a.maxServers:
		return false
	case row.Certainty() != gtkind.NotRun && !a.idempotent:
		return false
	default:
		return !row.UsesRetryBudget() || !a.isRetry
	}
}

// hasToken reports whether the budget of the service has a token.
func (p *Policy) hasToken(service string) bool {
	ok := false
	p.updateBudget(service, func(b *budget) { ok = b.tokens >= 1 })
	return ok
}

// spendToken takes a token from the budget of the service and reports whether
// there was one.
func (p *Policy) spendToken(service string) bool {
	ok := false
	p.updateBudget(service, func(b *budget) {
		if b.tokens >= 1 {
			b.tokens--
			ok = true
		}
	})
	return ok
}

// updateBudget refills the budget of the service for the elapsed time and calls fn
// with it, under the lock of its shard.
func (p *Policy) updateBudget(service string, fn func(*budget)) {
	now := p.Now()
	p.budgets.Do(service, func(m map[string]*budget) {
		b := m[service]
		if b == nil {
			b = &budget{tokens: 1, refilledAt: now}
			m[service] = b
		}
		b.tokens = min(b.tokens+tokensPerSecond*now.Sub(b.refilledAt).Seconds(), maxTokens)
		b.refilledAt = now
		fn(b)
	})
}
