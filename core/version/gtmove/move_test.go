package gtmove

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/version/gtconfig"
	"godwittide/core/version/gtevidence"
)

// The bounds that the brief asks for in words: a bad version gets only a small
// share of requests, and none soon after its faults show.
const (
	// maxBadShare is the largest part of a service's requests that may meet the
	// faults of a bad version, from the start of a move to its verdict, or over
	// shareOver if the verdict comes so early that the part is down to chance.
	maxBadShare = 0.10
	shareOver   = 10 * time.Second
	// maxAfterFault is the longest time from the first fault to the verdict
	// for a version that fails half of its requests or is three times slower;
	// where requests that meet the fault are rare, maxMet of them bound it.
	maxAfterFault = 5 * time.Second
	maxMet        = 20
	// maxFalse is the largest part of healthy moves that may be taken back.
	maxFalse = 0.01
)

// fault says how a new version behaves at a moment and a share.
type fault struct {
	name string
	fail func(since time.Duration, share float64, route int) float64
	slow func(since time.Duration, share float64, route int) float64
}

func steady(v float64) func(time.Duration, float64, int) float64 {
	return func(time.Duration, float64, int) float64 { return v }
}

func later(at time.Duration, v, before float64) func(time.Duration, float64, int) float64 {
	return func(since time.Duration, _ float64, _ int) float64 {
		if since < at {
			return before
		}
		return v
	}
}

func above(limit, v, before float64) func(time.Duration, float64, int) float64 {
	return func(_ time.Duration, share float64, _ int) float64 {
		if share < limit {
			return before
		}
		return v
	}
}

func onRoute(n int, v, before float64) func(time.Duration, float64, int) float64 {
	return func(_ time.Duration, _ float64, route int) float64 {
		if route != n {
			return before
		}
		return v
	}
}

const noise = 0.004

var bad = []fault{
	{"fails at once", steady(0.5), steady(1)},
	{"fails a tenth", steady(0.1), steady(1)},
	{"slow at once", steady(noise), steady(3)},
	{"fails later", later(9*time.Second, 0.5, noise), steady(1)},
	{"slow later", steady(noise), later(9*time.Second, 3, 1)},
	{"fails under load", above(0.25, 0.5, noise), steady(1)},
	{"fails on one route", onRoute(2, 0.5, noise), steady(1)},
	{"slow on one route", steady(noise), onRoute(1, 3, 1)},
}

var healthy = fault{"healthy", steady(noise), steady(1)}

// trial is the outcome of one move.
type trial struct {
	phase    Phase
	ended    time.Duration
	badShare float64
	met      int
	delay    time.Duration
}

// run drives one move under a clock of its own: four backend servers of the
// old version and four of the new, three routes, noisy latencies, evidence
// reported four times a second.
func run(seed uint64, f fault, base, rate float64, decide func(State, gtconfig.Move, Findings, time.Time) (State, bool), m gtconfig.Move) trial {
	r := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(10000, 0)
	now := start
	judge := &gtevidence.Judge{Now: func() time.Time { return now }, From: "1", To: "2", Threshold: gtevidence.PooledThreshold}
	ledgers := map[string]*gtevidence.Ledger{}
	for v := range 2 {
		for i := range 4 {
			ledgers[fmt.Sprintf("%d-%d", v+1, i)] = &gtevidence.Ledger{}
		}
	}
	state := Start(m, nil, now)
	// The old version has run for a while before the move.
	for range int(rate * 20) {
		route := r.IntN(3)
		ledgers[fmt.Sprintf("1-%d", r.IntN(4))].Add(fmt.Sprint(route), outcome(r, route, base, 1))
	}
	out := trial{delay: -1}
	var first time.Time
	total, hurt := 0, 0
	const tick = 250 * time.Millisecond
	limit := m.By(start).Add(30 * time.Second)
	for now = start; now.Before(limit) && (state.Phase() < Done || now.Sub(start) < shareOver); now = now.Add(tick) {
		for range poisson(r, rate*tick.Seconds()) {
			total++
			route := r.IntN(3)
			version, fail, slow := 0, base, 1.0
			if r.Float64() < state.Share() {
				version = 1
				since := now.Sub(start)
				fail, slow = max(base, f.fail(since, state.Share(), route)), f.slow(since, state.Share(), route)
				if fail > base || slow > 1 {
					hurt++
					if first.IsZero() {
						first = now
					}
				}
			}
			ledgers[fmt.Sprintf("%d-%d", version+1, r.IntN(4))].Add(fmt.Sprint(route), outcome(r, route, fail, slow))
		}
		for v := range 2 {
			for i := range 4 {
				name := fmt.Sprintf("%d-%d", v+1, i)
				judge.Take(ledgers[name].Report(name, 1, fmt.Sprint(v+1)))
			}
		}
		reason := ""
		if a, ok := judge.Alarm(); ok {
			reason = a.String()
		}
		next, changed := decide(state, m, NewFindings(reason, judge.Doubt(), judge.Answered(), judge.Traffic(), 4, 4), now)
		if changed {
			state = next
			judge.StartStep()
		}
	}
	out.met = hurt
	out.phase, out.ended = state.Phase(), state.Ended().Sub(start)
	if total > 0 {
		out.badShare = float64(hurt) / float64(total)
	}
	if !first.IsZero() && state.Phase() == TakenBack {
		out.delay = state.Ended().Sub(first)
	}
	return out
}

func outcome(r *rand.Rand, route int, fail, slow float64) gtevidence.Outcome {
	latency := float64(route+1) * 4e6 * math.Exp(0.4*r.NormFloat64()) * slow
	return gtevidence.NewOutcome(r.Float64() < fail, time.Duration(latency))
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

// fixedSchedule is the naive way: the share goes up with the clock, whatever
// is seen.
func fixedSchedule(s State, m gtconfig.Move, _ Findings, now time.Time) (State, bool) {
	return Advance(s, m, NewFindings("", 0, EnoughEvidence, true, 4, 4), now)
}

func TestBadVersionsAreTakenBack(t *testing.T) {
	m := testMove(t)
	for _, f := range bad {
		t.Run(f.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			const seeds = 40
			var worst trial
			sum, naive := 0.0, 0.0
			for seed := range uint64(seeds) {
				got := run(seed, f, noise, 120, Advance, m)
				g.Expect(got.phase).To(gomega.Equal(TakenBack), "seed %d", seed)
				worst.badShare = max(worst.badShare, got.badShare)
				worst.met = max(worst.met, got.met)
				if got.met > maxMet {
					worst.delay = max(worst.delay, got.delay)
				}
				sum += got.badShare
				if seed < 5 {
					naive += run(seed, f, noise, 120, fixedSchedule, m).badShare
				}
			}
			t.Logf("bad share mean %.3f, worst %.3f, most requests met %d, longest delay beyond %d of them %s; fixed schedule: bad share mean %.3f", sum/seeds, worst.badShare, worst.met, maxMet, worst.delay, naive/5)
			g.Expect(worst.badShare).To(gomega.BeNumerically("<=", maxBadShare))
			if f.fail(time.Minute, 1, 2) != 0.1 {
				g.Expect(worst.delay).To(gomega.BeNumerically("<=", maxAfterFault))
			}
			g.Expect(naive/5).To(gomega.BeNumerically(">", maxBadShare), "the naive schedule must fail the same check")
		})
	}
}

func TestHealthyVersionsAreNotTakenBack(t *testing.T) {
	m := testMove(t)
	for _, base := range []float64{0, noise, 0.03} {
		for _, rate := range []float64{10, 60, 200} {
			t.Run(fmt.Sprintf("%.0f a second, %.1f%% fail", rate, 100*base), func(t *testing.T) {
				t.Parallel()
				const seeds = 300
				back, late := 0, 0
				for seed := range uint64(seeds) {
					got := run(seed, healthy, base, rate, Advance, m)
					if got.phase == TakenBack {
						back++
					} else if got.ended > 40*time.Second || got.phase < Watching {
						late++
					}
				}
				t.Logf("%d of %d healthy moves taken back, %d late", back, seeds, late)
				g := gomega.NewWithT(t)
				g.Expect(float64(back) / seeds).To(gomega.BeNumerically("<=", maxFalse))
				g.Expect(late).To(gomega.BeZero(), "a good version takes over in time")
			})
		}
	}
}

// Without any traffic there is nothing that a bad version could harm, and the
// move must still end in time.
func TestMoveWithoutTrafficEndsInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	got := run(1, healthy, noise, 0.0001, Advance, testMove(t))
	g.Expect(got.phase).To(gomega.Equal(Done))
	g.Expect(got.ended).To(gomega.BeNumerically("<=", 40*time.Second))
}

func TestReversedMoveKeepsTheShare(t *testing.T) {
	g := gomega.NewWithT(t)
	m := testMove(t)
	was := NewState("other.s.2.1", 4, Running, 0.25, "", time.Time{}, time.Time{}, time.Time{})
	g.Expect(IsReverse(was.ID(), m)).To(gomega.BeTrue())
	g.Expect(Start(m, &was, time.Unix(0, 0)).Share()).To(gomega.Equal(0.75))
}

func TestNoStepUpWithoutReadyServers(t *testing.T) {
	g := gomega.NewWithT(t)
	m := testMove(t)
	now := time.Unix(10000, 0)
	s := Start(m, nil, now)
	_, changed := Advance(s, m, NewFindings("", 0, 1000, true, 0, 4), now.Add(time.Hour))
	g.Expect(changed).To(gomega.BeFalse())
}
