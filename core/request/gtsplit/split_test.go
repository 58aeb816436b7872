package gtsplit

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
)

// maxShareError returns the largest difference between limit and the share of
// draws below limit, over 200 batches of n draws.
func maxShareError(draw func() float64, limit float64, n int) float64 {
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

// Over 50 requests the shares stay within 5 percentage points of the weights, and
// closer to them than with independent random draws.
func TestWeightsHoldOverFewRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	r := rand.New(rand.NewPCG(1, 2))
	for _, limit := range []float64{0.03, 0.1, 0.5, 0.9} {
		s := &Split{Rand: r.Float64}
		worst := maxShareError(func() float64 { return s.Draw("r") }, limit, 50)
		g.Expect(worst).To(gomega.BeNumerically("<=", 0.05), "limit %g", limit)
		g.Expect(maxShareError(r.Float64, limit, 50)).To(gomega.BeNumerically(">", worst))
	}
}

// Each route has its own sequence, and a dropped route starts a new one.
func TestRoutesHaveSeparateSequences(t *testing.T) {
	g := gomega.NewWithT(t)
	start := 0.25
	s := &Split{Rand: func() float64 { return start }}
	first := s.Draw("a")
	g.Expect(s.Draw("b")).To(gomega.Equal(first))
	g.Expect(s.Draw("a")).NotTo(gomega.Equal(first))
	s.Prune(func(route string) bool { return route == "b" })
	g.Expect(s.Draw("a")).To(gomega.Equal(first))
}
