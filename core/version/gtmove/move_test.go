package gtmove

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtconfig"
)

// The bounds come from the requirements: a bad version gets only a small share
// of requests, and none soon after its faults show.
const (
	// maxBadShare is the maximum share of a service's requests that may meet
	// the faults of a bad version, from the start of a move to the rollback. If
	// the rollback comes earlier than minShareWindow, the share is taken over
	// that time, since the share of a few requests depends on chance.
	maxBadShare    = 0.10
	minShareWindow = 10 * time.Second
	// maxRollbackDelay is the maximum time from the first faulty request to the
	// rollback of a version that fails half of its requests or is three times
	// slower. It doesn't apply if at most maxFaultyRequests requests met a fault.
	maxRollbackDelay  = 5 * time.Second
	maxFaultyRequests = 20
	// maxFalseRollbacks is the maximum share of moves to a healthy version that
	// may be rolled back.
	maxFalseRollbacks = 0.01
)

// fault describes the behaviour of a new version by the time since the start of
// the move, its share and the route.
type fault struct {
	name          string
	errorRate     func(since time.Duration, share float64, route int) float64
	latencyFactor func(since time.Duration, share float64, route int) float64
}

func always(v float64) func(time.Duration, float64, int) float64 {
	return func(time.Duration, float64, int) float64 { return v }
}

func after(at time.Duration, v, before float64) func(time.Duration, float64, int) float64 {
	return func(since time.Duration, _ float64, _ int) float64 {
		if since < at {
			return before
		}
		return v
	}
}

func fromShare(limit, v, before float64) func(time.Duration, float64, int) float64 {
	return func(_ time.Duration, share float64, _ int) float64 {
		if share < limit {
			return before
		}
		return v
	}
}

func onRoute(n int, v, elsewhere float64) func(time.Duration, float64, int) float64 {
	return func(_ time.Duration, _ float64, route int) float64 {
		if route != n {
			return elsewhere
		}
		return v
	}
}

// normalErrorRate is the error rate of a healthy version.
const normalErrorRate = 0.004

var badVersions = []fault{
	{"fails at once", always(0.5), always(1)},
	{"fails a tenth of requests", always(0.1), always(1)},
	{"slow at once", always(normalErrorRate), always(3)},
	{"fails later", after(9*time.Second, 0.5, normalErrorRate), always(1)},
	{"slow later", always(normalErrorRate), after(9*time.Second, 3, 1)},
	{"fails under load", fromShare(0.25, 0.5, normalErrorRate), always(1)},
	{"fails on one route", onRoute(2, 0.5, normalErrorRate), always(1)},
	{"slow on one route", always(normalErrorRate), onRoute(1, 3, 1)},
}

var healthyVersion = fault{"healthy", always(normalErrorRate), always(1)}

// moveResult is the result of one simulated move. The rollback delay counts from
// the first faulty request, and is -1 if there was none or no rollback.
type moveResult struct {
	phase          Phase
	ended          time.Duration
	badShare       float64
	faultyRequests int
	rollbackDelay  time.Duration
}

// simulate runs one move under a simulated clock: four backend servers of the
// old version and four of the new, three routes, log-normal latencies, evidence
// reported four times a second. The function decide is Advance or a substitute,
// the baseline is the old version's error rate, and the rate is in requests per
// second.
func simulate(seed uint64, f fault, baseline, rate float64, decide func(State, gtconfig.Move, Findings, time.Time) (State, bool), m gtconfig.Move) moveResult {
	r := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(10000, 0)
	now := start
	judge := &gtcanary.Judge{Now: func() time.Time { return now }, From: "1", To: "2", Threshold: gtcanary.PooledThreshold}
	counters := map[string]*gtcanary.OutcomeCounter{}
	for v := range 2 {
		for i := range 4 {
			counters[fmt.Sprintf("%d-%d", v+1, i)] = &gtcanary.OutcomeCounter{}
		}
	}
	state := InitialState(m, nil, now)
	// The old version has served for 20 seconds before the move.
	for range int(rate * 20) {
		route := r.IntN(3)
		counters[fmt.Sprintf("1-%d", r.IntN(4))].Add(fmt.Sprint(route), outcome(r, route, baseline, 1))
	}
	result := moveResult{rollbackDelay: -1}
	var firstFault time.Time
	total, faulty := 0, 0
	const tick = 250 * time.Millisecond
	limit := m.Deadline(start).Add(30 * time.Second)
	for now = start; now.Before(limit) && (state.Phase() < Done || now.Sub(start) < minShareWindow); now = now.Add(tick) {
		for range poisson(r, rate*tick.Seconds()) {
			total++
			route := r.IntN(3)
			version, errorRate, latencyFactor := 0, baseline, 1.0
			if r.Float64() < state.Share() {
				version = 1
				since := now.Sub(start)
				errorRate, latencyFactor = max(baseline, f.errorRate(since, state.Share(), route)), f.latencyFactor(since, state.Share(), route)
				if errorRate > baseline || latencyFactor > 1 {
					faulty++
					if firstFault.IsZero() {
						firstFault = now
					}
				}
			}
			counters[fmt.Sprintf("%d-%d", version+1, r.IntN(4))].Add(fmt.Sprint(route), outcome(r, route, errorRate, latencyFactor))
		}
		for v := range 2 {
			for i := range 4 {
				name := fmt.Sprintf("%d-%d", v+1, i)
				judge.AddReport(counters[name].Report(name, fmt.Sprint(v+1)))
			}
		}
		alarm := ""
		if a, ok := judge.Alarm(); ok {
			alarm = a.String()
		}
		next, changed := decide(state, m, NewFindings(alarm, judge.AlarmLevel(), judge.StepRequests(), judge.HasTraffic(), 4, 4), now)
		if changed {
			state = next
			judge.StartStep()
		}
	}
	result.faultyRequests = faulty
	result.phase, result.ended = state.Phase(), state.Ended().Sub(start)
	if total > 0 {
		result.badShare = float64(faulty) / float64(total)
	}
	if !firstFault.IsZero() && state.Phase() == RolledBack {
		result.rollbackDelay = state.Ended().Sub(firstFault)
	}
	return result
}

func outcome(r *rand.Rand, route int, errorRate, latencyFactor float64) gtcanary.Outcome {
	latency := float64(route+1) * 4e6 * math.Exp(0.4*r.NormFloat64()) * latencyFactor
	return gtcanary.NewOutcome(r.Float64() < errorRate, time.Duration(latency))
}

func poisson(r *rand.Rand, mean float64) int {
	n, p := 0, math.Exp(-mean)
	for x := r.Float64(); x > p; x *= r.Float64() {
		n++
	}
	return n
}

func testMove(t *testing.T) gtconfig.Move {
	t.Helper()
	by := time.Unix(10000, 0).Add(40 * time.Second).UTC()
	entry := func(section, name, key string, v gtconfig.Value) gtconfig.Entry {
		return gtconfig.NewEntry("x.toml", 1, section, name, key, v)
	}
	cfg, problems := gtconfig.Merge([]gtconfig.File{gtconfig.NewFile("x.toml", []gtconfig.Entry{
		entry("service", "s", "version", gtconfig.StringValue("1")),
		entry("move", "m", "service", gtconfig.StringValue("s")),
		entry("move", "m", "from", gtconfig.StringValue("1")),
		entry("move", "m", "to", gtconfig.StringValue("2")),
		entry("move", "m", "by", gtconfig.TimeValue(by)),
		entry("move", "m", "watch", gtconfig.StringValue("20s")),
	})})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	m, _ := cfg.Move("s")
	return m
}

// fixedSchedule advances a move by time alone, whatever the evidence.
func fixedSchedule(s State, m gtconfig.Move, _ Findings, now time.Time) (State, bool) {
	return Advance(s, m, NewFindings("", 0, MinStepRequests, true, 4, 4), now)
}

// A bad version must be rolled back before it has harmed more requests than the
// bounds allow. A schedule that ignores the evidence must break the bounds, or
// the check would prove nothing.
func TestBadVersionIsRolledBack(t *testing.T) {
	m := testMove(t)
	for _, f := range badVersions {
		t.Run(f.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			const seeds = 40
			var worst moveResult
			sum, fixedSum := 0.0, 0.0
			for seed := range uint64(seeds) {
				got := simulate(seed, f, normalErrorRate, 120, Advance, m)
				g.Expect(got.phase).To(gomega.Equal(RolledBack), "seed %d", seed)
				worst.badShare = max(worst.badShare, got.badShare)
				worst.faultyRequests = max(worst.faultyRequests, got.faultyRequests)
				if got.faultyRequests > maxFaultyRequests {
					worst.rollbackDelay = max(worst.rollbackDelay, got.rollbackDelay)
				}
				sum += got.badShare
				if seed < 5 {
					fixedSum += simulate(seed, f, normalErrorRate, 120, fixedSchedule, m).badShare
				}
			}
			t.Logf("bad share mean %.3f, worst %.3f, most faulty requests %d, longest rollback delay beyond %d of them %s; fixed schedule: bad share mean %.3f", sum/seeds, worst.badShare, worst.faultyRequests, maxFaultyRequests, worst.rollbackDelay, fixedSum/5)
			g.Expect(worst.badShare).To(gomega.BeNumerically("<=", maxBadShare))
			if f.errorRate(time.Minute, 1, 2) != 0.1 {
				g.Expect(worst.rollbackDelay).To(gomega.BeNumerically("<=", maxRollbackDelay))
			}
			g.Expect(fixedSum/5).To(gomega.BeNumerically(">", maxBadShare), "the fixed schedule must exceed the bound")
		})
	}
}

// A healthy version must take over in time, and may be rolled back only within
// the bound on false alarms.
func TestHealthyVersionIsNotRolledBack(t *testing.T) {
	m := testMove(t)
	for _, baseline := range []float64{0, normalErrorRate, 0.03} {
		for _, rate := range []float64{10, 60, 200} {
			t.Run(fmt.Sprintf("%.0f requests per second, %.1f%% failures", rate, 100*baseline), func(t *testing.T) {
				t.Parallel()
				const seeds = 300
				rolledBack, late := 0, 0
				for seed := range uint64(seeds) {
					got := simulate(seed, healthyVersion, baseline, rate, Advance, m)
					if got.phase == RolledBack {
						rolledBack++
					} else if got.ended > 40*time.Second || got.phase < Watching {
						late++
					}
				}
				t.Logf("%d of %d healthy moves rolled back, %d late", rolledBack, seeds, late)
				g := gomega.NewWithT(t)
				g.Expect(float64(rolledBack) / seeds).To(gomega.BeNumerically("<=", maxFalseRollbacks))
				g.Expect(late).To(gomega.BeZero(), "a healthy version must take over by the deadline")
			})
		}
	}
}

// A move of a service without traffic gets no evidence, and must still end by
// its deadline: a bad version could harm no request.
func TestMoveWithoutTrafficEndsInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	got := simulate(1, healthyVersion, normalErrorRate, 0.0001, Advance, testMove(t))
	g.Expect(got.phase).To(gomega.Equal(Done))
	g.Expect(got.ended).To(gomega.BeNumerically("<=", 40*time.Second))
}

// A move that reverses another must keep the current split of traffic instead
// of starting at the initial share.
func TestReversedMoveKeepsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	m := testMove(t)
	reversed := NewState("other.s.2.1", 4, Running, 0.25, "", time.Time{}, time.Time{}, time.Time{})
	g.Expect(IsReverse(reversed.ID(), m)).To(gomega.BeTrue())
	g.Expect(InitialState(m, &reversed, time.Unix(0, 0)).Share()).To(gomega.Equal(0.75))
}

func TestShareIsNotRaisedWithoutReadyServers(t *testing.T) {
	g := gomega.NewWithT(t)
	m := testMove(t)
	now := time.Unix(10000, 0)
	s := InitialState(m, nil, now)
	_, changed := Advance(s, m, NewFindings("", 0, 1000, true, 0, 4), now.Add(time.Hour))
	g.Expect(changed).To(gomega.BeFalse())
}

// The share was raised while reports were missing: silence was taken for health.
func TestShareIsNotRaisedOnIncompleteEvidence(t *testing.T) {
	g := gomega.NewWithT(t)
	m := testMove(t)
	now := time.Unix(10000, 0)
	s := InitialState(m, nil, now)
	f := NewFindings("", 0, 1000, true, 4, 4)
	_, changed := Advance(s, m, f.WithDoubt("no report of i-1"), now.Add(time.Hour))
	g.Expect(changed).To(gomega.BeFalse())
	_, changed = Advance(s, m, f, now.Add(time.Hour))
	g.Expect(changed).To(gomega.BeTrue())
}
