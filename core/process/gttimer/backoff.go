package gttimer

import (
	"context"
	"time"
)

// Sleep blocks until d has passed, and returns nil, or until ctx is done, and
// returns the error of ctx. It returns nil at once if d is not positive. It uses
// the system clock, for programs that run no timer service.
func Sleep(ctx context.Context, d time.Duration) error {
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

// Backoff returns the delay before attempt n, where 1 is the first retry. The
// delay doubles with each attempt from base up to limit. Jitter then shortens it to
// between half and all of that; random, a number in [0,1), sets by how much.
func Backoff(n int, base, limit time.Duration, random float64) time.Duration {
	d := base
	for i := 1; i < n && d < limit; i++ {
		d *= 2
	}
	d = min(d, limit)
	return d/2 + time.Duration(random*float64(d/2))
}
