package gtdedup

import (
	"strconv"
	"time"

	"godwittide/core/process/gtshard"
)

const (
	// CrashWindow is how long a crash counts against a request.
	CrashWindow = 2 * time.Minute
	// MaxCrashesPerShard bounds the number of requests recorded in each shard.
	MaxCrashesPerShard = 128
	// crashLimit is the number of crashes after which an idempotent request is
	// refused. A non-idempotent one is refused after the first.
	crashLimit = 2
)

// Fingerprint returns a hash of the contents of a request. It is the same for all
// attempts and on all nodes; identical requests share it. The body may be given in segments.
func Fingerprint(service, method, target string, body ...[]byte) uint64 {
	return gtshard.HashWith(body, service, method, target)
}

// StreamFingerprint returns the fingerprint of a request whose body is forwarded without being
// kept: a hash of its ID, its head and the length of its body. Consequently a caller that sends
// such a request again under another ID is not recognized as the one whose request crashed a
// backend server, and its request is not blocked.
func StreamFingerprint(service, method, target, id string, length int64) uint64 {
	return gtshard.Hash(service, method, target, "stream", id, strconv.FormatInt(length, 10))
}

// Crash records the backend server crashes during which one request was in
// flight.
type Crash struct {
	fingerprint   uint64
	count         int
	nonIdempotent bool
	expires       time.Time
}

// NewCrash returns a record as received from a peer: the number of crashes,
// whether the request is non-idempotent, and when the record expires.
func NewCrash(fingerprint uint64, count int, nonIdempotent bool, expires time.Time) Crash {
	return Crash{fingerprint: fingerprint, count: count, nonIdempotent: nonIdempotent, expires: expires}
}

// Fingerprint returns the request's fingerprint.
func (c Crash) Fingerprint() uint64 { return c.fingerprint }

// Count returns how many backend servers crashed with the request in flight.
func (c Crash) Count() int { return c.count }

// NonIdempotent reports whether the request is non-idempotent.
func (c Crash) NonIdempotent() bool { return c.nonIdempotent }

// Expires returns when the record expires.
func (c Crash) Expires() time.Time { return c.expires }

func (c Crash) blocksRequest() bool { return c.nonIdempotent || c.count >= crashLimit }

// Crashes records requests that were in flight when a backend server crashed. It
// is sharded by fingerprint and bounded in size.
type Crashes struct {
	// Now returns the time of the timer service's clock. It is set before use.
	Now func() time.Time

	records gtshard.Map[Crash]
}

// Record counts a crash of a backend server that had the request in flight, and
// returns the record to be sent to the peers.
func (cs *Crashes) Record(fingerprint uint64, idempotent bool) Crash {
	now := cs.Now()
	key := strconv.FormatUint(fingerprint, 16)
	var c Crash
	cs.records.Do(key, func(m map[string]Crash) {
		c = m[key]
		if now.After(c.expires) {
			c.count = 0
		}
		c = Crash{fingerprint: fingerprint, count: c.count + 1, nonIdempotent: !idempotent, expires: now.Add(CrashWindow)}
		putBounded(m, key, c, now)
	})
	return c
}

// Merge adds a record received from a peer, and reports whether it raised the
// count or marked the request as non-idempotent. It ignores a record that has
// expired or expires too far in the future.
func (cs *Crashes) Merge(c Crash) bool {
	now := cs.Now()
	if !c.expires.After(now) || c.expires.After(now.Add(2*CrashWindow)) {
		return false
	}
	key := strconv.FormatUint(c.fingerprint, 16)
	updated := false
	cs.records.Do(key, func(m map[string]Crash) {
		old := m[key]
		if now.After(old.expires) {
			old = Crash{}
		}
		if old.count >= c.count && (old.nonIdempotent || !c.nonIdempotent) {
			return
		}
		putBounded(m, key, c, now)
		updated = true
	})
	return updated
}

// putBounded stores a record in a shard. If the shard is full, it first deletes
// the expired records or, if there are none, the one that expires first.
func putBounded(m map[string]Crash, key string, c Crash, now time.Time) {
	if _, ok := m[key]; !ok && len(m) >= MaxCrashesPerShard {
		earliest := ""
		for k, v := range m {
			if now.After(v.expires) {
				delete(m, k)
			} else if earliest == "" || v.expires.Before(m[earliest].expires) {
				earliest = k
			}
		}
		if len(m) >= MaxCrashesPerShard {
			delete(m, earliest)
		}
	}
	m[key] = c
}

// IsBlocked reports whether the request is to be refused because of crashes.
func (cs *Crashes) IsBlocked(fingerprint uint64) bool {
	key := strconv.FormatUint(fingerprint, 16)
	c, ok := cs.records.Get(key)
	return ok && c.blocksRequest() && cs.Now().Before(c.expires)
}

// Forget deletes the record of a request that a backend server has completed
// without a crash, so that requests that were only in flight at the same time as
// the one that caused the crash are not refused.
func (cs *Crashes) Forget(fingerprint uint64) {
	key := strconv.FormatUint(fingerprint, 16)
	cs.records.Do(key, func(m map[string]Crash) { delete(m, key) })
}

// Len returns the number of requests recorded.
func (cs *Crashes) Len() int { return cs.records.Len() }
