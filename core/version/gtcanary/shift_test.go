package gtcanary

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// slowUntilShift returns how many responses of a new version, which is slower by factor
// in a share of them, are slow until the test of the whole histogram raises an alarm, and
// whether it does within the number of requests.
func slowUntilShift(seed uint64, sigma, share, factor float64, baseline, requests int) (int, bool) {
	rnd := rand.New(rand.NewPCG(seed, 11))
	latency := func() float64 { return 20 * float64(time.Millisecond) * math.Exp(sigma*rnd.NormFloat64()) }
	j := &Judge{Now: func() time.Time { return time.Unix(1000, 0) }, From: "1", To: "2", Threshold: math.Inf(1)}
	for range baseline {
		j.AddOutcome("r", "1", NewOutcome(false, time.Duration(latency())))
	}
	slow := 0
	for range requests {
		d := latency()
		if rnd.Float64() < share {
			d *= factor
			slow++
		}
		j.AddOutcome("r", "2", NewOutcome(false, time.Duration(d)))
		if j.all.shift.peak() > allRoutesFactor*PooledThreshold {
			return slow, true
		}
	}
	return slow, false
}

// Where latencies vary much, few of the slow responses are above any one limit, and the
// alarm came after up to 59 bad responses.
func TestShiftIsFoundWhereLatenciesVaryMuch(t *testing.T) {
	g := gomega.NewWithT(t)
	worst, sum := 0, 0
	const seeds = 200
	for seed := range uint64(seeds) {
		n, alarm := slowUntilShift(seed, 1.2, 0.5, 8, 1000, 2000)
		g.Expect(alarm).To(gomega.BeTrue(), "seed %d", seed)
		worst, sum = max(worst, n), sum+n
	}
	t.Logf("mean %.1f, worst %d", float64(sum)/seeds, worst)
	g.Expect(worst).To(gomega.BeNumerically("<=", maxExposure))
}

// A version may differ a little in all of its responses or much in a few, and the old
// version's histogram may be known from few responses: neither is a shift. At most 1 of
// 100 seeds may raise an alarm.
func TestToleratedDifferencesAreNoShift(t *testing.T) {
	g := gomega.NewWithT(t)
	const seeds = 300
	for _, v := range []struct {
		name                 string
		sigma, share, factor float64
		baseline             int
	}{
		{"few responses of the old version", 1.2, 0, 1, minShiftSamples},
		{"few, alike", 0.2, 0, 1, minShiftSamples},
		{"all slower by one bucket", 0.5, 1, bucketGrowth, 2000},
		{"all slower by one bucket, alike", 0.1, 1, bucketGrowth, 2000},
		{"a few much slower", 0.5, toleratedShare, 50, 2000},
	} {
		alarms := 0
		for seed := range uint64(seeds) {
			if _, alarm := slowUntilShift(seed, v.sigma, v.share, v.factor, v.baseline, 500); alarm {
				alarms++
			}
		}
		t.Logf("%s: %d of %d", v.name, alarms, seeds)
		g.Expect(alarms).To(gomega.BeNumerically("<=", seeds/100), v.name)
	}
}
