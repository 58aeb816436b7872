// Package gtsplit draws the numbers by which requests are assigned to the
// services of a traffic split, such that the weights hold even over few requests.
//
// # Usage
//
//	split := &gtsplit.Split{Rand: rand.Float64}
//	service := route.Service(split.Draw(route.Name()))
//
// The draws of a route form a low-discrepancy sequence: multiples of the golden
// ratio modulo 1, from a random start. They cover [0,1) evenly, whereas
// independent random numbers would cluster.
package gtsplit

import (
	"math"

	"godwittide/core/process/gtshard"
)

// goldenStep is the fractional part of the golden ratio.
var goldenStep = math.Phi - 1

// Split holds the latest draw of each route, sharded by route.
type Split struct {
	// Rand returns a random number in [0,1). It is set before use.
	Rand func() float64

	last gtshard.Map[float64]
}

// Draw returns the route's next draw, a number in [0,1).
func (s *Split) Draw(route string) float64 {
	var next float64
	s.last.Do(route, func(m map[string]float64) {
		last, ok := m[route]
		if !ok {
			last = s.Rand()
		}
		_, next = math.Modf(last + goldenStep)
		m[route] = next
	})
	return next
}

// Prune drops the state of the routes for which keep returns false.
func (s *Split) Prune(keep func(route string) bool) {
	s.last.Each(func(m map[string]float64) {
		for route := range m {
			if !keep(route) {
				delete(m, route)
			}
		}
	})
}
