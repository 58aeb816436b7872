package gtsplit

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
)

// share returns the largest distance between the share of draws below limit
// and limit itself, over any run of n draws.
func offShare(draw func() float64, limit float64, n int) float64 {
	worst := 0.0
	for range 200 {
		below := 0
		for range n {
			if draw() < limit {
				below++
			}
		}
		worst = max(worst, math.Abs(float64(below)/float64(n)-limit))
	}
	return worst
}

// Few requests of a split already keep to the weights, where independent draws
// do not.
func TestSharesHoldOverFewRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	r := rand.New(rand.NewPCG(1, 2))
	for _, limit := range []float64{0.03, 0.1, 0.5, 0.9} {
		s := &Split{Rand: r.Float64}
		even := offShare(func() float64 { return s.Draw("r") }, limit, 50)
		g.Expect(even).To(gomega.BeNumerically("<=", 0.05), "limit %g", limit)
		g.Expect(offShare(r.Float64, limit, 50)).To(gomega.BeNumerically(">", even))
	}
}

// Each route has draws of its own, and forgotten ones start anew.
func TestRoutesAreApart(t *testing.T) {
	g := gomega.NewWithT(t)
	start := 0.25
	s := &Split{Rand: func() float64 { return start }}
	first := s.Draw("a")
	g.Expect(s.Draw("b")).To(gomega.Equal(first))
	g.Expect(s.Draw("a")).NotTo(gomega.Equal(first))
	s.Keep(func(route string) bool { return route == "b" })
	g.Expect(s.Draw("a")).To(gomega.Equal(first))
}
