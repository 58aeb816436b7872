package gtcanary

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A simulated service: oldServers servers of the old
// version and newServers of the new one, which gets a tenth of the requests.
const (
	oldServers = 8
	newServers = 4
	newShare   = 0.1
	slowTimes  = 8
)

// serverSpeeds are the speeds of servers in turn.
var serverSpeeds = []float64{0.5, 1, 1, 1.5}

// exposure is a way in which a new version is bad, and how the judge learns of it.
type exposure struct {
	// badShare is the share of bad responses.
	badShare float64
	// slow makes bad responses slow rather than failures.
	slow bool
	// onlyRoute makes only the first route bad.
	onlyRoute bool
	// goodFirst is the number of good responses before the first bad one.
	goodFirst int
	// reportEvery is the number of requests between two reports of each server.
	reportEvery int
	// sigma is the standard deviation of the logarithm of latencies.
	sigma float64
	// baselineErrors is the error rate of either version.
	baselineErrors float64
	// routes is the number of routes, which get as many requests each.
	routes int
	// history is the number of responses of the old version before the move.
	history int
}

// badUntilAlarm returns the number of bad responses that are given until the pooled judge
// raises its alarm, and whether it does before the new version has had limit requests.
func (x exposure) badUntilAlarm(seed uint64, limit int) (int, bool) {
	rnd := rand.New(rand.NewPCG(seed, 9))
	now := time.Unix(1000, 0)
	j := &Judge{Now: func() time.Time { return now }, From: "1", To: "2", Threshold: PooledThreshold}
	var counters [oldServers + newServers]OutcomeCounter
	version := func(server int) string {
		if server < oldServers {
			return "1"
		}
		return "2"
	}
	report := func() {
		for i := range counters {
			j.AddReport(counters[i].Report(fmt.Sprint(i), version(i)))
		}
	}
	for range x.history {
		server, route := rnd.IntN(oldServers), rnd.IntN(x.routes)
		counters[server].Add(fmt.Sprint(route), x.outcome(rnd, server, route, false))
	}
	bad, good := 0, 0
	for i := 1; bad+good < limit; i++ {
		now = now.Add(10 * time.Millisecond)
		route := rnd.IntN(x.routes)
		if rnd.Float64() >= newShare {
			server := rnd.IntN(oldServers)
			counters[server].Add(fmt.Sprint(route), x.outcome(rnd, server, route, false))
		} else {
			server := rnd.IntN(newServers)
			isBad := good >= x.goodFirst && (!x.onlyRoute || route == 0) && rnd.Float64() < x.badShare
			if isBad {
				bad++
			} else {
				good++
			}
			counters[oldServers+server].Add(fmt.Sprint(route), x.outcome(rnd, server, route, isBad))
		}
		if i%x.reportEvery == 0 {
			report()
			if _, ok := j.Alarm(); ok {
				return bad, true
			}
		}
	}
	return bad, false
}

func (x exposure) outcome(rnd *rand.Rand, server, route int, bad bool) Outcome {
	latency := float64(20+10*route) * float64(time.Millisecond) * math.Exp(x.sigma*rnd.NormFloat64()) / serverSpeeds[server%len(serverSpeeds)]
	if bad && x.slow {
		latency *= slowTimes
	}
	return NewOutcome(bad && !x.slow || rnd.Float64() < x.baselineErrors, time.Duration(latency))
}

// The requirements count from the 50th bad answer of a version. The alarm must come by
// then, whatever is wrong with it and however the evidence arrives.
func TestAlarmComesByTheFiftiethBadAnswer(t *testing.T) {
	plain := exposure{badShare: 0.5, reportEvery: 25, sigma: 0.5, baselineErrors: 0.002, routes: 6, history: 4000}
	for _, v := range []struct {
		name   string
		change func(x *exposure)
	}{
		{"at once", func(*exposure) {}},
		{"late", func(x *exposure) { x.goodFirst = 300 }},
		{"one class", func(x *exposure) { x.onlyRoute = true }},
		{"in bunches", func(x *exposure) { x.reportEvery = 200 }},
		{"slow baseline", func(x *exposure) { x.sigma = 1.2 }},
		{"failing baseline", func(x *exposure) { x.baselineErrors = 0.05 }},
	} {
		for _, slow := range []bool{false, true} {
			x := plain
			x.slow = slow
			v.change(&x)
			t.Run(fmt.Sprintf("%s, slow %v", v.name, slow), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				worst, sum := 0, 0
				const seeds = 100
				for seed := range uint64(seeds) {
					n, alarm := x.badUntilAlarm(seed, 2000)
					g.Expect(alarm).To(gomega.BeTrue(), "seed %d", seed)
					worst, sum = max(worst, n), sum+n
				}
				t.Logf("mean %.1f, worst %d", float64(sum)/seeds, worst)
				g.Expect(worst).To(gomega.BeNumerically("<=", maxExposure))
			})
		}
	}
}

// A healthy version may raise a false alarm with at most 1 of 100 seeds, also if it has
// many routes, of which the judge compares the sums too.
func TestManyRoutesSeldomRaiseAFalseAlarm(t *testing.T) {
	healthy := exposure{reportEvery: 100, sigma: 0.5, baselineErrors: 0.02}
	for _, v := range []struct{ routes, history int }{{6, 4000}, {20, 600}} {
		for _, sigma := range []float64{0.5, 1.2} {
			x := healthy
			x.routes, x.history, x.sigma = v.routes, v.history, sigma
			t.Run(fmt.Sprintf("%d routes, %d before, sigma %.1f", v.routes, v.history, sigma), func(t *testing.T) {
				t.Parallel()
				const seeds = 100
				alarms := 0
				for seed := range uint64(seeds) {
					if _, alarm := x.badUntilAlarm(seed, 500); alarm {
						alarms++
					}
				}
				t.Logf("%d of %d", alarms, seeds)
				gomega.NewWithT(t).Expect(alarms).To(gomega.BeNumerically("<=", seeds/100))
			})
		}
	}
}
