package gtjoin

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// claimTime is how long a claim takes to reach the store and to be read by others.
const claimTime = 50 * time.Millisecond

// claims returns how many of n nodes, each of which waits by delay, claim before they
// can see the first claim.
func claims(n int, rnd *rand.Rand, delay func(random float64) time.Duration) int {
	ends := make([]time.Duration, n)
	for i := range ends {
		ends[i] = delay(rnd.Float64())
	}
	first := slices.Min(ends)
	count := 0
	for _, end := range ends {
		if end < first+claimTime {
			count++
		}
	}
	return count
}

// A fleet that starts at once: few of its nodes claim, however many there are. With
// delays that are uniformly distributed the claims grow with the fleet.
func TestSimultaneousStartMakesFewClaims(t *testing.T) {
	g := gomega.NewWithT(t)
	uniform := func(random float64) time.Duration { return time.Duration(random * float64(MaxDelay)) }
	for _, n := range []int{1, 3, 10, 100, 300, 1000, 16000} {
		rnd := rand.New(rand.NewPCG(1, uint64(n)))
		sum, naive := 0, 0
		for range 50 {
			sum += claims(n, rnd, Delay)
			naive += claims(n, rnd, uniform)
		}
		mean := float64(sum) / 50
		t.Logf("%d nodes: %.1f claims, with uniform delays %.1f", n, mean, float64(naive)/50)
		g.Expect(mean).To(gomega.BeNumerically("<=", 4), "%d nodes", n)
		if n >= 300 {
			g.Expect(sum).To(gomega.BeNumerically("<", naive))
		}
	}
	g.Expect(LoadDelay(0)).To(gomega.Equal(minLoadDelay))
	g.Expect(LoadDelay(1)).To(gomega.Equal(minLoadDelay + loadDelaySpread))
	g.Expect(Delay(0)).To(gomega.BeZero())
	g.Expect(Delay(1)).To(gomega.BeNumerically("~", MaxDelay, time.Millisecond))
}

func TestActionFollowsWhatIsKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Decide(NewView(false, false))).To(gomega.Equal(Claim))
	g.Expect(Decide(NewView(false, true))).To(gomega.Equal(Claim))
	g.Expect(Decide(NewView(true, false))).To(gomega.Equal(Load))
	g.Expect(Decide(NewView(true, true))).To(gomega.Equal(Nothing))
}
