package gttimer

import (
	"context"
	"time"
)

// Pause blocks until d has passed or ctx has ended, and returns the error of
// ctx. It is for programs and stand-ins that run no timer service.
func Pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Backoff returns the wait before attempt n (1 is the first retry): it doubles
// from first up to most, and draw, from [0,1), spreads it over half to the
// whole of that.
func Backoff(n int, first, most time.Duration, draw float64) time.Duration {
	d := first
	for i := 1; i < n && d < most; i++ {
		d *= 2
	}
	d = min(d, most)
	return d/2 + time.Duration(draw*float64(d/2))
}
