package gtroute

import (
	"math"
	"time"
)

const (
	// faultWeight is the weight of the newest answer in the share of failures.
	faultWeight = 0.05
	// faultTime is the time constant with which that share fades: a server that
	// is hardly asked any more must get another chance.
	faultTime = 2 * time.Second
)

// Faults is the share of its answers that a backend server has lately failed.
// It is guarded by the lock of its owner.
type Faults struct {
	share float64
	at    time.Time
}

// Add takes in an answer.
func (f *Faults) Add(failed bool, now time.Time) {
	f.share, f.at = f.Share(now), now
	f.share -= faultWeight * f.share
	if failed {
		f.share += faultWeight
	}
}

// Share returns the share, from 0 to 1.
func (f *Faults) Share(now time.Time) float64 {
	return f.share * math.Exp(-now.Sub(f.at).Seconds()/faultTime.Seconds())
}
