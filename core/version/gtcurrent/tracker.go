// Package gtcurrent knows how long ago the active configuration was certainly the
// newest one.
//
// # Usage
//
//	tracker := &gtcurrent.Tracker{Clock: sinceBoot}
//	asOf := tracker.Clock() // before the store is asked
//	tracker.Confirm(asOf)   // once everything that it returned is active
//	if !tracker.IsWithin(gtcurrent.MaxAge(revoke)) { refuse() }
//
// Times are readings of a clock that counts the suspension of the machine and that
// steps of the time of day don't change. They mean nothing to another machine;
// package gtoffset converts them.
package gtcurrent

import (
	"sync/atomic"
	"time"
)

// driftMargin is subtracted from the time within which a revocation takes effect. Clocks
// whose rates differ by 1,000 ppm, of which one is compared with the other each 30 s,
// differ by 30 ms.
const driftMargin = 100 * time.Millisecond

// MaxAge returns the age of the evidence from which on it doesn't suffice, where a
// revocation has to take effect within the given time.
func MaxAge(revoke time.Duration) time.Duration { return max(revoke-driftMargin, 0) }

// Tracker holds the latest time at which the active configuration is known to have had all
// changes that were acknowledged until then. It is safe for concurrent use. Clock is set
// before use.
type Tracker struct {
	// Clock returns the time since the machine has started, including the time for
	// which it was suspended.
	Clock func() time.Duration

	// asOf is the latest such time plus 1 ns, or 0 before the first.
	asOf atomic.Int64
}

// Confirm records that the active configuration has all changes that were acknowledged
// before asOf. An earlier time than the latest, or one in the future, has no effect.
func (t *Tracker) Confirm(asOf time.Duration) {
	if asOf < 0 || asOf > t.Clock() {
		return
	}
	for {
		old := t.asOf.Load()
		if int64(asOf)+1 <= old || t.asOf.CompareAndSwap(old, int64(asOf)+1) {
			return
		}
	}
}

// AsOf returns the latest confirmed time, and false if there is none.
func (t *Tracker) AsOf() (time.Duration, bool) {
	v := t.asOf.Load()
	return time.Duration(v - 1), v > 0
}

// Age returns the time since the latest confirmed time, and false if there is none.
func (t *Tracker) Age() (time.Duration, bool) {
	asOf, ok := t.AsOf()
	return t.Clock() - asOf, ok
}

// IsWithin reports whether the evidence is at most as old as maxAge. It must be asked before
// the active configuration is read: a later confirmation may be that of a later version.
func (t *Tracker) IsWithin(maxAge time.Duration) bool {
	age, ok := t.Age()
	return ok && age <= maxAge
}
