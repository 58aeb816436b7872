package gtcanary

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// behaviour is how a version responds: its error rate, and the median of its
// log-normally distributed latencies.
type behaviour struct {
	errorRate     float64
	medianLatency time.Duration
}

func (b behaviour) outcome(rnd *rand.Rand) Outcome {
	d := time.Duration(float64(b.medianLatency) * math.Exp(0.5*rnd.NormFloat64()))
	return NewOutcome(rnd.Float64() < b.errorRate, d)
}

// requestsToAlarm simulates requests, a tenth of them on the new version, and
// returns how many of those it takes to an alarm, or -1 if there is none.
func requestsToAlarm(seed uint64, oldVersion, newVersion behaviour, requests int) int {
	rnd := rand.New(rand.NewPCG(seed, 3))
	now := time.Unix(1000, 0)
	j := &Judge{Now: func() time.Time { return now }, From: "1", To: "2", Threshold: PooledThreshold}
	n := 0
	for range requests {
		now = now.Add(5 * time.Millisecond)
		if rnd.IntN(10) > 0 {
			j.AddOutcome("r", "1", oldVersion.outcome(rnd))
			continue
		}
		n++
		j.AddOutcome("r", "2", newVersion.outcome(rnd))
		if _, ok := j.Alarm(); ok {
			return n
		}
	}
	return -1
}

// A new version that behaves like the old one may raise a false alarm with at
// most 1 of 100 seeds.
func TestHealthyVersionSeldomRaisesAlarm(t *testing.T) {
	g := gomega.NewWithT(t)
	const seeds = 300
	for _, v := range []behaviour{{0, 20 * time.Millisecond}, {0.02, 20 * time.Millisecond}, {0.1, 200 * time.Millisecond}} {
		alarms := 0
		for seed := range uint64(seeds) {
			if requestsToAlarm(seed, v, v, 10000) >= 0 {
				alarms++
			}
		}
		t.Logf("%+v: %d of %d", v, alarms, seeds)
		g.Expect(alarms).To(gomega.BeNumerically("<=", seeds/100))
	}
}

// maxExposure is the requirements' bound on the number of requests that a bad
// version may get beyond its share.
const maxExposure = 50

// A version that fails or is slow must raise an alarm after a few requests, the
// fewer the higher its error rate.
func TestBadVersionRaisesAlarmSoon(t *testing.T) {
	g := gomega.NewWithT(t)
	oldVersion := behaviour{0.01, 20 * time.Millisecond}
	for _, bad := range []behaviour{
		{1, 20 * time.Millisecond}, {0.5, 20 * time.Millisecond}, {0.2, 20 * time.Millisecond}, {0.01, 80 * time.Millisecond},
	} {
		sum := 0
		for seed := range uint64(100) {
			n := requestsToAlarm(seed, oldVersion, bad, 20000)
			g.Expect(n).To(gomega.BeNumerically(">", 0), "%+v, seed %d", bad, seed)
			sum += n
		}
		t.Logf("%+v: %.1f requests on the new version", bad, float64(sum)/100)
		g.Expect(sum/100).To(gomega.BeNumerically("<=", maxExposure), "%+v", bad)
	}
}

// The counts in a report start at the instance's start, so reports that are lost
// or repeated, or arrive late from before a restart, must not change the total.
func TestLostAndRepeatedReportsDoNoHarm(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 4))
		var counter OutcomeCounter
		counter.Restart(7)
		var reports []Report
		for range 20 {
			for range 10 {
				counter.Add("r", behaviour{0.3, time.Millisecond}.outcome(rnd))
			}
			reports = append(reports, counter.Report("i", "2"))
		}
		j := &Judge{Now: func() time.Time { return time.Unix(1000, 0) }, From: "1", To: "2", Threshold: math.Inf(1)}
		for _, r := range reports {
			for range rnd.IntN(3) {
				j.AddReport(r)
			}
		}
		last := reports[len(reports)-1]
		j.AddReport(last)
		j.AddReport(NewReport("i", 6, "2", last.Routes()))
		g.Expect(j.StepRequests()).To(gomega.Equal(uint64(200)), "seed %d", seed)
		j.AddReport(NewReport("i", 8, "2", reports[0].Routes()))
		g.Expect(j.StepRequests()).To(gomega.Equal(uint64(210)), "a restarted instance counts from zero")
	}
}

// A counter must count at most MaxRoutes routes by name and the others under the
// empty name, and bucket limits must enclose the latencies of their bucket.
func TestOutcomeCounterIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var counter OutcomeCounter
	for i := range 2 * MaxRoutes {
		counter.Add(string(rune('a'+i)), NewOutcome(false, time.Hour))
	}
	routes := counter.Report("i", "1").Routes()
	g.Expect(len(routes)).To(gomega.BeNumerically("<=", MaxRoutes+1))
	g.Expect(routes[""].Total()).To(gomega.Equal(uint64(MaxRoutes)))
	for _, d := range []time.Duration{0, time.Microsecond, time.Millisecond, time.Second, time.Hour} {
		i := Bucket(d)
		if i > 0 && i < LatencyBuckets-1 {
			g.Expect(BucketLimit(i)).To(gomega.BeNumerically(">=", d))
			g.Expect(BucketLimit(i - 1)).To(gomega.BeNumerically("<=", d))
		}
	}
}

// Reports travel on several links, so an older one may arrive after a newer one.
// It holds nothing new.
func TestLateReportIsNotCountedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	j := &Judge{Now: func() time.Time { return time.Unix(1000, 0) }, From: "1", To: "2", Threshold: PooledThreshold}
	report := func(total uint64) Report {
		return NewReport("a", 1, "2", map[string]Counts{"r": NewCounts(total, 0, nil)})
	}
	for _, total := range []uint64{10, 20, 10, 20, 15} {
		j.AddReport(report(total))
	}
	g.Expect(j.StepRequests()).To(gomega.Equal(uint64(20)))
	j.AddReport(report(25))
	g.Expect(j.StepRequests()).To(gomega.Equal(uint64(25)))
	j.AddReport(NewReport("a", 2, "2", map[string]Counts{"r": NewCounts(5, 0, nil)}))
	g.Expect(j.StepRequests()).To(gomega.Equal(uint64(30)), "after a restart the counts begin at zero")
	j.AddReport(report(25))
	g.Expect(j.StepRequests()).To(gomega.Equal(uint64(30)), "a report from before the restart")
}

// Responses without a latency, and those with none to compare with, say nothing about
// slowness: they must not count as evidence for a step.
func TestUntimedResponsesAreNoEvidenceForAStep(t *testing.T) {
	g := gomega.NewWithT(t)
	j := &Judge{Now: func() time.Time { return time.Unix(1000, 0) }, From: "1", To: "2", Threshold: PooledThreshold}
	fast := NewOutcome(false, time.Millisecond)
	j.AddOutcome("r", "2", fast)
	for range 100 {
		j.AddOutcome("r", "1", fast)
		j.AddOutcome("r", "2", fast.WithoutLatency())
	}
	g.Expect(j.StepCompared()).To(gomega.BeZero())
	j.AddOutcome("r", "2", fast)
	j.AddOutcome("r", "2", NewOutcome(true, time.Millisecond))
	g.Expect(j.StepCompared()).To(gomega.Equal(uint64(2)))
	j.StartStep()
	g.Expect(j.StepCompared()).To(gomega.BeZero())
}
