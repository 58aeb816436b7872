// Package gtdedup deduplicates non-idempotent requests. Keys records the outcome
// of requests that carry a caller's idempotency key, at the node that ran them.
// Crashes records requests that were in flight when their backend server
// crashed, so that such requests do not crash further backend servers.
//
// # Usage
//
//	entry, verdict := keys.Begin(key, fingerprint, gtdedup.NewClaim(resend, historyKnown, releasedByAll))
//	switch verdict {
//	case gtdedup.Run: ...; entry.SettleDone(response, size)
//	case gtdedup.Wait: <-entry.Settled()
//	...
//	}
//
// Keys are kept for Window, and while their request is running. A request that is
// marked as a resend is refused rather than run if this node can't know whether the
// first one ran.
package gtdedup

import (
	"sync"
	"time"

	"godwittide/core/process/gtshard"
)

const (
	// Window is how long the entry of a key is kept.
	Window = 10 * time.Minute
	// MaxKeys bounds the number of keys that a node keeps.
	MaxKeys = 64 << 10
	// MaxResponseBytes is the size of the largest response that is kept to be
	// replayed to resends.
	MaxResponseBytes = 64 << 10
	// MaxTotalResponseBytes bounds the total size of the responses that a node
	// keeps.
	MaxTotalResponseBytes = 32 << 20
)

// Verdict tells what to do with a request that carries an idempotency key.
type Verdict int

// The values of Verdict. The first request is the one that claimed the key.
const (
	// Run means that the request has claimed the key and is to be run.
	Run Verdict = iota
	// Wait means that the first request is still running. The caller waits until
	// its entry is settled, then calls Begin again.
	Wait
	// Replay means that the first request is done and that its response is to be
	// returned.
	Replay
	// Released means that this node refused the first request without running it,
	// so that the next node ranked for the key may run it.
	Released
	// OutcomeUnknown means that the first request ran or may have run, and its
	// response is not available.
	OutcomeUnknown
	// Mismatch means that the key was used for a different request before.
	Mismatch
	// HistoryUnknown means that this node can't know whether the first request
	// ran.
	HistoryUnknown
	// Overflow means that MaxKeys entries are kept already.
	Overflow
)

// Claim holds what is known about earlier attempts of a request when it claims its
// key.
type Claim struct {
	resend        bool
	historyKnown  bool
	releasedByAll bool
}

// NewClaim returns a claim. resend tells that the caller has sent the request
// before, historyKnown that this node would know if the request had been sent
// before, and releasedByAll that every node ranked for the key has responded with
// Released.
func NewClaim(resend, historyKnown, releasedByAll bool) Claim {
	return Claim{resend: resend, historyKnown: historyKnown, releasedByAll: releasedByAll}
}

type status int

const (
	statusRunning status = iota
	statusDone
	statusReleased
	statusOutcomeUnknown
)

// Entry holds the state and outcome of the request that claimed a key. Its
// mutable fields are guarded by its own lock.
type Entry struct {
	keys        *Keys
	fingerprint uint64
	expires     time.Time

	mu       sync.Mutex
	status   status
	response any
	size     int
	settled  chan struct{}
}

// Keys holds the entries of a node, sharded by key.
type Keys struct {
	// Now returns the time of the timer service's clock. It is set before use.
	Now func() time.Time

	entries gtshard.Map[*Entry]

	// mu guards the totals over all shards.
	mu            sync.Mutex
	count         int
	responseBytes int
}

// Begin claims a key and returns its entry, if there is one, and the verdict. The
// fingerprint distinguishes different requests that use the same key. After Run,
// the entry must be settled by SettleDone, SettleReleased or SettleUnknown.
func (k *Keys) Begin(key string, fingerprint uint64, c Claim) (*Entry, Verdict) {
	now := k.Now()
	var entry *Entry
	verdict := Run
	k.entries.Do(key, func(m map[string]*Entry) {
		entry = m[key]
		if entry != nil && entry.expired(now) {
			delete(m, key)
			k.unreserve(entry)
			entry = nil
		}
		if entry != nil {
			verdict = entry.verdictFor(fingerprint, c)
			return
		}
		if c.resend && !c.historyKnown && !c.releasedByAll {
			verdict = HistoryUnknown
			return
		}
		if !k.reserveKey() {
			verdict = Overflow
			return
		}
		entry = &Entry{keys: k, fingerprint: fingerprint, expires: now.Add(Window), settled: make(chan struct{})}
		m[key] = entry
	})
	return entry, verdict
}

// MayHaveRun reports whether the key is known and its request may have run at
// this node.
func (k *Keys) MayHaveRun(key string) bool {
	e, ok := k.entries.Get(key)
	if !ok {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status != statusReleased
}

// verdictFor returns the verdict on a request whose key has this entry. A request
// that all nodes ranked for its key have released claims the entry again.
func (e *Entry) verdictFor(fingerprint uint64, c Claim) Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fingerprint != fingerprint {
		return Mismatch
	}
	switch e.status {
	case statusDone:
		if e.response == nil {
			return OutcomeUnknown
		}
		return Replay
	case statusOutcomeUnknown:
		return OutcomeUnknown
	case statusReleased:
		if !c.releasedByAll {
			return Released
		}
		e.status = statusRunning
		e.settled = make(chan struct{})
		return Run
	default:
		return Wait
	}
}

// expired reports whether the entry may be deleted. One whose request is running
// is kept for as long as that takes, or the request could run a second time.
func (e *Entry) expired(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status != statusRunning && now.After(e.expires)
}

// Settled returns a channel that is closed when the request is no longer running.
func (e *Entry) Settled() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settled
}

// Response returns the response of a request that is done, or nil if it was not
// kept.
func (e *Entry) Response() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.response
}

// SettleDone settles the entry with a response of the given size in bytes. If
// the response exceeds one of the bounds, it is not kept and resends get
// OutcomeUnknown.
func (e *Entry) SettleDone(response any, size int) {
	if size > MaxResponseBytes || !e.keys.reserveBytes(size) {
		response, size = nil, 0
	}
	e.settle(statusDone, response, size)
}

// SettleReleased settles the entry as refused by this node and provably not run.
func (e *Entry) SettleReleased() { e.settle(statusReleased, nil, 0) }

// SettleUnknown settles the entry with an unknown outcome: the request may have
// run.
func (e *Entry) SettleUnknown() { e.settle(statusOutcomeUnknown, nil, 0) }

func (e *Entry) settle(s status, response any, size int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status != statusRunning {
		return
	}
	e.status, e.response, e.size = s, response, size
	close(e.settled)
}

// reserveKey counts another entry and reports whether MaxKeys allows it.
func (k *Keys) reserveKey() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.count >= MaxKeys {
		return false
	}
	k.count++
	return true
}

// reserveBytes counts the size of a response and reports whether
// MaxTotalResponseBytes allows it.
func (k *Keys) reserveBytes(size int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.responseBytes+size > MaxTotalResponseBytes {
		return false
	}
	k.responseBytes += size
	return true
}

// unreserve subtracts a deleted entry and the size of its response from the totals.
func (k *Keys) unreserve(e *Entry) {
	e.mu.Lock()
	size := e.size
	e.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.count--
	k.responseBytes -= size
}

// Expire deletes the entries that have expired.
func (k *Keys) Expire() {
	now := k.Now()
	k.entries.Each(func(m map[string]*Entry) {
		for key, e := range m {
			if e.expired(now) {
				delete(m, key)
				k.unreserve(e)
			}
		}
	})
}

// Len returns the number of keys kept.
func (k *Keys) Len() int { return k.entries.Len() }
