package gtroute

import "time"

// Capacity is what the node beside a backend server has learned of it.
type Capacity struct {
	speed       float64
	concurrency float64
	slowdown    float64
	serviceTime time.Duration
}

// NewCapacity returns the capacity of a backend server: its speed, where 1 is the mean of
// its service; the concurrency that it handles without slowing down, or 0 if it was not
// seen to slow down; and by which part of the service time each request beyond that slows
// it down.
func NewCapacity(speed, concurrency, slowdown float64) Capacity {
	return Capacity{speed: speed, concurrency: concurrency, slowdown: slowdown}
}

// WithServiceTime returns a copy with the service time of the request's route, averaged
// over a longer time than that of the load.
func (c Capacity) WithServiceTime(d time.Duration) Capacity {
	c.serviceTime = d
	return c
}

// IsKnown reports whether there is a capacity; the zero value is none.
func (c Capacity) IsKnown() bool { return c.speed > 0 }

// Speed returns the speed, or 0 if it is unknown.
func (c Capacity) Speed() float64 { return c.speed }

// Concurrency returns the concurrency that is handled without slowing down, or 0.
func (c Capacity) Concurrency() float64 { return c.concurrency }

// Slowdown returns the slow-down by each further request, as a part of the service time.
func (c Capacity) Slowdown() float64 { return c.slowdown }

// ServiceTime returns the service time of the request's route, or 0 if it is unknown.
func (c Capacity) ServiceTime() time.Duration { return c.serviceTime }

// speedOrOne returns the speed, or 1 if it is unknown.
func (c Capacity) speedOrOne() float64 {
	if c.speed > 0 {
		return c.speed
	}
	return 1
}
