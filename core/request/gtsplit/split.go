// Package gtsplit draws the part of a split that a request belongs to, so that
// each part gets its share also over few requests.
//
// # Usage
//
//	split := &gtsplit.Split{Rand: rand.Float64}
//	service := route.Service(split.Draw(route.Name()))
//
// The draws of a route are multiples of the golden ratio modulo 1 from a random
// start. They fill [0,1) evenly, where independent ones would leave gaps.
package gtsplit

import (
	"math"

	"godwittide/core/process/gtshard"
)

// step is the golden ratio's part after the point.
var step = math.Phi - 1

// Split holds the last draw of each route, sharded by route.
type Split struct {
	// Rand draws from [0,1). It is set before use.
	Rand func() float64

	last gtshard.Map[float64]
}

// Draw returns the next draw of a route, from [0,1).
func (s *Split) Draw(route string) float64 {
	var next float64
	s.last.Do(route, func(m map[string]float64) {
		last, ok := m[route]
		if !ok {
			last = s.Rand()
		}
		_, next = math.Modf(last + step)
		m[route] = next
	})
	return next
}

// Keep forgets the routes that match does not name.
func (s *Split) Keep(match func(route string) bool) {
	s.last.Each(func(m map[string]float64) {
		for route := range m {
			if !match(route) {
				delete(m, route)
			}
		}
	})
}
