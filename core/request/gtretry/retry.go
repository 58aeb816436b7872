// Package gtretry decides whether a failed attempt is followed by another.
//
// # Usage
//
//	policy := &gtretry.Policy{Now: timer.Time}
//	policy.Sent(service)                       // each first attempt
//	if policy.Again(attempt) { ... }
//
// Only a request that provably did not run, or one that may be repeated, is
// tried again. Retries after a failure that may have cost a backend server
// work come out of a budget, a share of the first attempts, and a request
// that already is a retry of an earlier hop gets none of those.
package gtretry

import (
	"time"

	"godwittide/core/process/gtshard"
	"godwittide/core/request/gtkind"
)

const (
	// MaxAttempts is the largest number of attempts at one hop.
	MaxAttempts = 3
	// budgetShare is what each first attempt adds to the budget.
	budgetShare = 0.05
	// budgetPerSecond keeps a service with few requests from having no retry
	// when it needs one.
	budgetPerSecond = 0.2
	// budgetMax bounds what is saved up.
	budgetMax = 10
)

// Attempt is what the decision depends on.
type Attempt struct {
	service    string
	kind       gtkind.Kind
	count      int
	idempotent bool
	nested     bool
	left       time.Duration
	reached    int
	most       int
}

// NewAttempt returns a failed attempt: its service, how it failed, how many
// attempts there have been, and how much time is left.
func NewAttempt(service string, k gtkind.Kind, count int, left time.Duration) Attempt {
	return Attempt{service: service, kind: k, count: count, left: left}
}

// Idempotent returns a copy that says whether the request may be repeated.
func (a Attempt) Idempotent(yes bool) Attempt {
	a.idempotent = yes
	return a
}

// Nested returns a copy that says whether the request is part of a retry that
// an earlier hop made.
func (a Attempt) Nested(yes bool) Attempt {
	a.nested = yes
	return a
}

// Reached returns a copy that says how many backend servers the request has got
// to, and how many it may get to; 0 means that no bound is set.
func (a Attempt) Reached(n, most int) Attempt {
	a.reached, a.most = n, most
	return a
}

// Policy holds the budgets, sharded by service.
type Policy struct {
	// Now reads the timer service's clock. It is set before use.
	Now func() time.Time

	budgets gtshard.Map[*budget]
}

type budget struct {
	tokens float64
	at     time.Time
}

// Sent counts a first attempt.
func (p *Policy) Sent(service string) {
	p.with(service, func(b *budget) { b.tokens = min(b.tokens+budgetShare, budgetMax) })
}

// Again says whether to try another backend server, and takes the retry out of
// the budget where it counts.
func (p *Policy) Again(a Attempt) bool {
	row := a.kind.Row()
	if a.count >= MaxAttempts || a.left <= 0 || !row.Elsewhere() {
		return false
	}
	if a.most > 0 && a.reached >= a.most {
		return false
	}
	if row.Certainty() != gtkind.NotRun && !a.idempotent {
		return false
	}
	if !row.Work() {
		return true
	}
	return !a.nested && p.spend(a.service)
}

func (p *Policy) spend(service string) bool {
	ok := false
	p.with(service, func(b *budget) {
		if b.tokens >= 1 {
			b.tokens--
			ok = true
		}
	})
	return ok
}

func (p *Policy) with(service string, fn func(*budget)) {
	now := p.Now()
	p.budgets.Do(service, func(m map[string]*budget) {
		b := m[service]
		if b == nil {
			b = &budget{tokens: 1, at: now}
			m[service] = b
		}
		b.tokens = min(b.tokens+budgetPerSecond*now.Sub(b.at).Seconds(), budgetMax)
		b.at = now
		fn(b)
	})
}
