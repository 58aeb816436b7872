// Package gtduty decides when a node takes a duty, acts for it and gives it up. A duty
// is a task that one node at a time performs for the whole fleet.
//
// The holder of a duty has a key of the store under a lease. Its fencing token is the
// revision of the write that created the key, so that it rises with each holder.
//
// # Usage
//
//	terms := gtduty.NewTerms(3*time.Second, true)
//	tenure := gtduty.Begin(terms, token, leaseSent, uptime())
//	if tenure.MayCall(uptime()) { call(tenure.Token()) }
//
// All times are readings of a clock that isn't set and that counts the suspension of
// the machine.
package gtduty

import (
	"sync"
	"time"
)

const (
	// Candidates is the number of first-ranked nodes that may take a duty. All of them are
	// sent counts, so that those of ended processes survive if two fail within seconds.
	Candidates = 3
	// eagerCandidates is the number of candidates that take the duty when they first find it
	// without a holder.
	eagerCandidates = 2
	// FormerReceivers is the number of candidates that nodes of earlier versions send counts to.
	// They send them to another holder as well if a response names it.
	FormerReceivers = 2
	// PollPeriod is the period at which a candidate reads who holds the duty.
	PollPeriod = time.Second
	// maxCallTimeout bounds the timeout of a call for a duty.
	maxCallTimeout = time.Second
	// callMargin is the part of a lease that remains after the timeout of a call that is
	// begun as late as possible.
	callMargin = 100 * time.Millisecond
	// takeTime is an estimate of the time that taking a duty and reading the state of
	// its work take.
	takeTime = 500 * time.Millisecond
)

// Terms are the conditions under which a duty is held.
type Terms struct {
	lease  time.Duration
	fenced bool
}

// NewTerms returns terms with the given lease time. Fenced tells that the receiver of
// the calls refuses those with a lower token than an earlier one.
func NewTerms(lease time.Duration, fenced bool) Terms { return Terms{lease: lease, fenced: fenced} }

// Lease returns the lease time.
func (t Terms) Lease() time.Duration { return t.lease }

// CallTimeout returns the timeout of a call: a third of the lease time at most, so that
// a lease that is renewed each third leaves time for a call.
func (t Terms) CallTimeout() time.Duration { return min(maxCallTimeout, t.lease/3) }

// RenewPeriod returns the time between two renewals of the lease.
func (t Terms) RenewPeriod() time.Duration { return t.lease / 3 }

// RetryPeriod returns the time between two attempts to renew while renewals fail.
func (t Terms) RetryPeriod() time.Duration { return t.lease / 10 }

// FirstCallDelay returns how long a new holder waits before its first call. Without a
// fence, calls of the holder before it must have ended by then, even if it was paused
// right before its lease ended.
func (t Terms) FirstCallDelay() time.Duration {
	if t.fenced {
		return 0
	}
	return t.lease + t.CallTimeout()
}

// Takeover returns the longest time from the end of a holder to the first call of the
// next one, with a store that responds.
func (t Terms) Takeover() time.Duration {
	return t.lease + PollPeriod + takeTime + t.FirstCallDelay()
}

// ShouldTake reports whether a candidate with a rank, starting at 0, tries to take the
// duty after it has found it without a holder in a number of reads in a row. The last
// candidate leaves the others a period's start, which saves calls of the store.
func ShouldTake(rank, absences int) bool {
	switch {
	case rank < 0 || rank >= Candidates:
		return false
	case rank >= eagerCandidates:
		return absences >= 2
	default:
		return absences >= 1
	}
}

// Tenure is the time for which one node holds a duty with one token.
type Tenure struct {
	terms Terms
	token int64
	// firstCall is the time before which no call may be begun.
	firstCall time.Duration

	mu         sync.Mutex
	validUntil time.Duration
	ended      string
}

// Begin begins a tenure. LeaseSent is the time before the lease was asked for, taken
// the time at which the store had confirmed the write.
func Begin(terms Terms, token int64, leaseSent, taken time.Duration) *Tenure {
	return &Tenure{terms: terms, token: token, firstCall: taken + terms.FirstCallDelay(), validUntil: leaseSent + terms.lease}
}

// Token returns the fencing token.
func (t *Tenure) Token() int64 { return t.token }

// Terms returns the terms of the tenure.
func (t *Tenure) Terms() Terms { return t.terms }

// Renewed records that the lease was renewed by a call that was sent at a time, and
// reports whether the duty is still held. A tenure whose lease had ended by its own
// clock isn't resumed, even if the store still knew the lease.
func (t *Tenure) Renewed(sent, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.holds(now) {
		return false
	}
	t.validUntil = max(t.validUntil, sent+t.terms.lease)
	return true
}

// Holds reports whether the duty is held. Once it isn't it never is again.
func (t *Tenure) Holds(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holds(now)
}

// holds does the work of Holds. The caller holds the lock.
func (t *Tenure) holds(now time.Duration) bool {
	if t.ended == "" && now >= t.validUntil {
		t.ended = "lease ended"
	}
	return t.ended == ""
}

// MayCall reports whether a call may be begun: the lease is valid until after the
// call's timeout, and calls of the holder before have ended.
func (t *Tenure) MayCall(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holds(now) && now >= t.firstCall && now+t.terms.CallTimeout()+callMargin <= t.validUntil
}

// End ends the tenure with a reason, unless it has ended.
func (t *Tenure) End(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended == "" {
		t.ended = reason
	}
}

// EndReason returns why the tenure has ended, or "" if it has not.
func (t *Tenure) EndReason() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}
