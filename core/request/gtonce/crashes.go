package gtonce

import (
	"strconv"
	"time"

	"godwittide/core/process/gtshard"
)

const (
	// CrashWindow is how long a crash is held against a request.
	CrashWindow = 2 * time.Minute
	// MaxCrashes bounds the number of requests remembered in each shard.
	MaxCrashes = 128
	// crashLimit is the number of crashes after which a request that may be
	// repeated is refused.
	crashLimit = 2
)

// Fingerprint identifies a request by its contents.
func Fingerprint(service, method, target string, body []byte) uint64 {
	return gtshard.Hash(service, method, target, string(body))
}

// Crash is what is known of one request that was in flight at a crash.
type Crash struct {
	fingerprint uint64
	count       int
	once        bool
	until       time.Time
}

// NewCrash returns a crash as heard from a peer. Once says that the request
// may not be repeated; left is how long it is still held against the request.
func NewCrash(fingerprint uint64, count int, once bool, until time.Time) Crash {
	return Crash{fingerprint: fingerprint, count: count, once: once, until: until}
}

// Fingerprint returns the request's fingerprint.
func (c Crash) Fingerprint() uint64 { return c.fingerprint }

// Count returns how many backend servers crashed with the request in flight.
func (c Crash) Count() int { return c.count }

// Once says whether the request may not be repeated.
func (c Crash) Once() bool { return c.once }

// Until returns when the crash is forgotten.
func (c Crash) Until() time.Time { return c.until }

func (c Crash) blocked() bool { return c.once || c.count >= crashLimit }

// Crashes remembers requests that were in flight when a backend server
// crashed, sharded by fingerprint and bounded.
type Crashes struct {
	// Now reads the timer service's clock. It is set before use.
	Now func() time.Time

	seen gtshard.Map[Crash]
}

// Note counts a crash of a backend server that ran the request, and returns
// the fact for the peers.
func (cs *Crashes) Note(fingerprint uint64, idempotent bool) Crash {
	now := cs.Now()
	key := strconv.FormatUint(fingerprint, 16)
	var c Crash
	cs.seen.Do(key, func(m map[string]Crash) {
		c = m[key]
		if now.After(c.until) {
			c.count = 0
		}
		c = Crash{fingerprint: fingerprint, count: c.count + 1, once: !idempotent, until: now.Add(CrashWindow)}
		put(m, key, c, now)
	})
	return c
}

// Merge takes in a crash heard from a peer, and says whether it was news.
func (cs *Crashes) Merge(c Crash) bool {
	now := cs.Now()
	if !c.until.After(now) || c.until.After(now.Add(2*CrashWindow)) {
		return false
	}
	key := strconv.FormatUint(c.fingerprint, 16)
	news := false
	cs.seen.Do(key, func(m map[string]Crash) {
		old := m[key]
		if old.count >= c.count && (old.once || !c.once) {
			return
		}
		put(m, key, c, now)
		news = true
	})
	return news
}

// put keeps the shard within its bound: it drops what is past, or else what
// would be forgotten first.
func put(m map[string]Crash, key string, c Crash, now time.Time) {
	if _, ok := m[key]; !ok && len(m) >= MaxCrashes {
		first := ""
		for k, v := range m {
			if now.After(v.until) {
				delete(m, k)
			} else if first == "" || v.until.Before(m[first].until) {
				first = k
			}
		}
		if len(m) >= MaxCrashes {
			delete(m, first)
		}
	}
	m[key] = c
}

// Blocked says whether the request is to be refused.
func (cs *Crashes) Blocked(fingerprint uint64) bool {
	key := strconv.FormatUint(fingerprint, 16)
	c, ok := cs.seen.Get(key)
	return ok && c.blocked() && cs.Now().Before(c.until)
}

// Clear forgets a request that a backend server has survived, so that those
// that were merely in flight beside the culprit are not held up.
func (cs *Crashes) Clear(fingerprint uint64) {
	key := strconv.FormatUint(fingerprint, 16)
	cs.seen.Do(key, func(m map[string]Crash) { delete(m, key) })
}

// Len returns the number of requests remembered.
func (cs *Crashes) Len() int { return cs.seen.Len() }
