// Package gtonce keeps requests that may not be repeated from running twice:
// Keys remembers the outcome of requests that carry a caller's key, at the
// node that ran them; Crashes remembers requests that were in flight when
// their backend server crashed.
//
// # Usage
//
//	entry, verdict := keys.Begin(id, fingerprint, gtonce.NewClaim(resend, sure, round))
//	switch verdict {
//	case gtonce.Run: ...; entry.Done(answer)
//	case gtonce.Wait: <-entry.Settled()
//	...
//	}
//
// Keys are kept for Window. A resend that is marked as one, and that this node
// can't know about, is refused rather than run.
package gtonce

import (
	"sync"
	"time"

	"godwittide/core/process/gtshard"
)

const (
	// Window is how long the outcome of a key is kept.
	Window = 10 * time.Minute
	// MaxKeys bounds the number of keys that a node keeps.
	MaxKeys = 64 << 10
	// MaxAnswer is the largest answer that is kept for a resend, in bytes.
	MaxAnswer = 64 << 10
	// MaxAnswers bounds the bytes of all answers that a node keeps.
	MaxAnswers = 32 << 20
)

// Verdict says what to do with a request that carries a key.
type Verdict int

// The verdicts.
const (
	// Run means that the request is the first, and is to be run.
	Run Verdict = iota
	// Wait means that the first is still running: wait until it is settled.
	Wait
	// Replay means that the first is done: its answer goes to this caller.
	Replay
	// Passed means that this node refused the first as not run, so that the
	// next in rank may have it.
	Passed
	// Lost means that the first ran with an unknown outcome.
	Lost
	// Mismatch means that the key came with another request before.
	Mismatch
	// Forgotten means that this node can't know whether the first ran.
	Forgotten
	// Overflow means that there is no room for another key.
	Overflow
)

// Claim is what a request says of itself.
type Claim struct {
	resend bool
	sure   bool
	again  bool
}

// NewClaim returns a claim. Resend says that the caller has sent the request
// before; sure says that this node would know if it had; again says that every
// node in rank has answered that it passed the request on.
func NewClaim(resend, sure, again bool) Claim {
	return Claim{resend: resend, sure: sure, again: again}
}

type status int

const (
	statusRunning status = iota
	statusDone
	statusPassed
	statusLost
)

// Entry is what is kept of one key. Its fields are guarded by the lock of the
// entry itself.
type Entry struct {
	keys        *Keys
	fingerprint uint64
	expires     time.Time

	mu      sync.Mutex
	status  status
	answer  any
	size    int
	settled chan struct{}
}

// Keys holds the entries, sharded by key.
type Keys struct {
	// Now reads the timer service's clock. It is set before use.
	Now func() time.Time

	entries gtshard.Map[*Entry]
	mu      sync.Mutex
	count   int
	bytes   int
}

// Begin claims a key. The fingerprint tells different requests with one key apart.
// With Run the caller must settle the entry by Done, Passed or Lost.
func (k *Keys) Begin(key string, fingerprint uint64, c Claim) (*Entry, Verdict) {
	now := k.Now()
	var entry *Entry
	verdict := Run
	k.entries.Do(key, func(m map[string]*Entry) {
		entry = m[key]
		if entry != nil && now.After(entry.expires) {
			delete(m, key)
			k.release(entry)
			entry = nil
		}
		if entry != nil {
			verdict = entry.meet(fingerprint, c)
			return
		}
		if c.resend && !c.sure && !c.again {
			verdict = Forgotten
			return
		}
		if !k.reserve() {
			verdict = Overflow
			return
		}
		entry = &Entry{keys: k, fingerprint: fingerprint, expires: now.Add(Window), settled: make(chan struct{})}
		m[key] = entry
	})
	return entry, verdict
}

// Knows says whether the key is known, and may have run here.
func (k *Keys) Knows(key string) bool {
	e, ok := k.entries.Get(key)
	if !ok {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status != statusPassed
}

// meet decides about a request whose key is known.
func (e *Entry) meet(fingerprint uint64, c Claim) Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fingerprint != fingerprint {
		return Mismatch
	}
	switch e.status {
	case statusDone:
		if e.answer == nil {
			return Lost
		}
		return Replay
	case statusLost:
		return Lost
	case statusPassed:
		if !c.again {
			return Passed
		}
		e.status = statusRunning
		e.settled = make(chan struct{})
		return Run
	default:
		return Wait
	}
}

// Settled is closed when the request is no longer running.
func (e *Entry) Settled() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settled
}

// Answer returns the answer of a request that is done.
func (e *Entry) Answer() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answer
}

// Done settles the entry with an answer of the given size in bytes. An answer
// that is too large to keep makes later resends meet Lost.
func (e *Entry) Done(answer any, size int) {
	if size > MaxAnswer || !e.keys.keep(size) {
		answer, size = nil, 0
	}
	e.settle(statusDone, answer, size)
}

// Passed settles the entry as refused here and provably not run.
func (e *Entry) Passed() { e.settle(statusPassed, nil, 0) }

// Lost settles the entry as run with an unknown outcome.
func (e *Entry) Lost() { e.settle(statusLost, nil, 0) }

func (e *Entry) settle(s status, answer any, size int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status != statusRunning {
		return
	}
	e.status, e.answer, e.size = s, answer, size
	close(e.settled)
}

func (k *Keys) reserve() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.count >= MaxKeys {
		return false
	}
	k.count++
	return true
}

func (k *Keys) keep(size int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.bytes+size > MaxAnswers {
		return false
	}
	k.bytes += size
	return true
}

func (k *Keys) release(e *Entry) {
	e.mu.Lock()
	size := e.size
	e.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.count--
	k.bytes -= size
}

// Sweep forgets the keys whose window has passed.
func (k *Keys) Sweep() {
	now := k.Now()
	k.entries.Each(func(m map[string]*Entry) {
		for key, e := range m {
			if now.After(e.expires) {
				delete(m, key)
				k.release(e)
			}
		}
	})
}

// Len returns the number of keys kept.
func (k *Keys) Len() int { return k.entries.Len() }
