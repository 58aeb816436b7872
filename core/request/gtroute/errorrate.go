package gtroute

import (
	"math"
	"time"
)

const (
	// errorRateWeight is the weight of the latest response in the error rate.
	errorRateWeight = 0.05
	// errorRateDecay is the time constant of the error rate's exponential decay.
	// The decay brings requests back to a server that gets few because of its
	// errors.
	errorRateDecay = 2 * time.Second
)

// ErrorRate is the recent error rate of a backend server, as a moving average
// that decays over time. The caller must hold the lock that guards it.
type ErrorRate struct {
	rate      float64
	updatedAt time.Time
}

// Add records a response at time now.
func (r *ErrorRate) Add(failed bool, now time.Time) {
	r.rate, r.updatedAt = r.Value(now), now
	r.rate -= errorRateWeight * r.rate
	if failed {
		r.rate += errorRateWeight
	}
}

// Value returns the error rate at time now, 0 to 1.
func (r *ErrorRate) Value(now time.Time) float64 {
	return r.rate * math.Exp(-now.Sub(r.updatedAt).Seconds()/errorRateDecay.Seconds())
}
