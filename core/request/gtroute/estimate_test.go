package gtroute

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtcapacity"
	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
)

const fleetSeeds = 3

// outcome is the mean outcome of several simulations.
type outcome struct {
	urgent, all, refused, crossZone, largestUse float64
}

// simulate runs fleets of four zones with five servers and 20 senders each, at the given
// part of the capacity of all servers. Servers report what was learned of them and their
// zone's spare capacity, or only their load, for the naive rule.
func simulate(g *gomega.WithT, learned bool, load float64, change func(f *fleet), check func(seed uint64, f *fleet)) outcome {
	var o outcome
	for seed := range uint64(fleetSeeds) {
		f := newFleet(config(g), seed, 4, 5, 20)
		f.learned = learned
		if learned {
			f.reportPeriod, f.spare = time.Second, rightSpare
		}
		perZone := load * f.capacity() / 4
		f.rate = func(int, time.Duration) float64 { return perZone }
		if change != nil {
			change(f)
		}
		f.run(20*time.Second, 50*time.Second)
		n := float64(f.total[0] + f.total[1] + f.total[2])
		o.urgent += f.inTimePart(0) / fleetSeeds
		o.all += f.allInTime() / fleetSeeds
		o.refused += float64(f.refused) / n / fleetSeeds
		o.crossZone += float64(f.crossZone) / n / fleetSeeds
		o.largestUse += f.largestUse / fleetSeeds
		if check != nil {
			check(seed, f)
		}
	}
	return o
}

// compare runs both rules and logs the outcomes.
func compare(t *testing.T, g *gomega.WithT, name string, load float64, change func(f *fleet)) (naive, estimated outcome) {
	t.Helper()
	naive = simulate(g, false, load, change, nil)
	estimated = simulate(g, true, load, change, nil)
	t.Logf("%s, load %.2f: naive %.3f, by estimate %.3f (urgent in time, all in time, refused, to other zones, largest use)", name, load,
		[]float64{naive.urgent, naive.all, naive.refused, naive.crossZone, naive.largestUse},
		[]float64{estimated.urgent, estimated.all, estimated.refused, estimated.crossZone, estimated.largestUse})
	return naive, estimated
}

// Urgent requests must go to fast servers with free slots. One in ten was late on calm
// days, and the fastest server must not be overloaded by it.
func TestFastServersServeUrgentRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, load := range []float64{0.35, 0.6, 0.8, 0.95} {
		naive, estimated := compare(t, g, "speeds 0.5 to 1.7", load, nil)
		g.Expect(1 - estimated.urgent).To(gomega.BeNumerically("<", 1-naive.urgent))
		g.Expect(1 - estimated.all).To(gomega.BeNumerically("<", 1-naive.all))
		g.Expect(estimated.refused).To(gomega.BeNumerically("<=", naive.refused))
		g.Expect(estimated.largestUse).To(gomega.BeNumerically("<=", naive.largestUse))
		if load < 0.5 {
			g.Expect(1-estimated.urgent).To(gomega.BeNumerically("<", 0.1), "one in ten was late on calm days")
		}
	}
}

// Requests must stay in their zone while it has room. Senders tried each unknown server of
// other zones, which doubled the bytes between zones on calm days.
func TestRequestsStayInTheirZoneWhileItHasRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	naive, estimated := compare(t, g, "calm", 0.35, nil)
	g.Expect(estimated.crossZone).To(gomega.BeNumerically("<", naive.crossZone+0.01))
}

// When fast servers are short, less urgent requests must leave them to urgent ones.
func TestLessUrgentRequestsLeaveFastServersFree(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, load := range []float64{0.5, 0.7} {
		simulate(g, true, load, nil, func(seed uint64, f *fleet) {
			var means [3]float64
			for k := range means {
				means[k] = f.speeds[k] / float64(f.total[k])
			}
			t.Logf("load %.2f, seed %d: mean speed of the servers of urgent, normal and late requests %.2f", load, seed, means)
			g.Expect(means[0]).To(gomega.BeNumerically(">", means[1]))
			g.Expect(means[1]).To(gomega.BeNumerically(">", means[2]))
		})
	}
}

// The gain must remain with what nodes can learn in place of what is true, from a cold
// start on: with noise, servers that slow down when nearly full, and some with disturbances
// of 300 ms each 2 s at 2.5 times the service time.
func TestLearnedSpeedsServeUrgentRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	learn := func(f *fleet) {
		for i, s := range f.servers {
			s.estimator = &gtcapacity.Estimator{}
			s.slow = func(at time.Duration, concurrency int) float64 {
				factor := 1.0
				if i%4 == 0 {
					factor += max(0, float64(concurrency)/float64(s.slots)-0.7) * 3
				}
				if i%7 == 0 && (at+time.Duration(i)*time.Second/7)%(2*time.Second) < 300*time.Millisecond {
					factor *= 2.5
				}
				return factor
			}
		}
	}
	for _, load := range []float64{0.35, 0.6, 0.75} {
		naive, estimated := compare(t, g, "learned", load, learn)
		g.Expect(estimated.urgent).To(gomega.BeNumerically(">", naive.urgent))
		g.Expect(estimated.all).To(gomega.BeNumerically(">", naive.all))
		g.Expect(estimated.refused).To(gomega.BeNumerically("<=", naive.refused))
		g.Expect(estimated.largestUse).To(gomega.BeNumerically("<=", naive.largestUse))
	}
}

// waves shifts the demand between the zones: each has 1.3 times the mean in turn, and 0.7.
func waves(f *fleet) {
	mean := f.rate(0, 0)
	f.rate = func(zone int, at time.Duration) float64 {
		return mean * (1 + 0.5*math.Sin(2*math.Pi*(at.Seconds()/20+float64(zone)/4)))
	}
}

// A zone short of capacity must spill to the others before its own servers are full, and
// not all zones to the same one: that would overload it and swing back.
func TestShiftedWavesOverloadNoZone(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, load := range []float64{0.6, 0.75} {
		naive, estimated := compare(t, g, "waves", load, waves)
		g.Expect(estimated.all).To(gomega.BeNumerically(">", naive.all))
		g.Expect(estimated.urgent).To(gomega.BeNumerically(">", naive.urgent))
		g.Expect(estimated.largestUse).To(gomega.BeNumerically("<=", naive.largestUse))
		naiveSwing, swing, naivePeak, peak := 0.0, 0.0, 0.0, 0.0
		simulate(g, false, load, waves, func(_ uint64, f *fleet) {
			naiveSwing += f.swing() / fleetSeeds
			naivePeak = max(naivePeak, f.peak())
		})
		simulate(g, true, load, waves, func(_ uint64, f *fleet) {
			swing += f.swing() / fleetSeeds
			peak = max(peak, f.peak())
		})
		t.Logf("change of a zone's use within a second: naive %.3f, by estimate %.3f; largest use of a zone over 3 s: naive %.2f, by estimate %.2f", naiveSwing, swing, naivePeak, peak)
		g.Expect(swing).To(gomega.BeNumerically("<=", naiveSwing))
		g.Expect(peak).To(gomega.BeNumerically("<", 1), "no zone is overloaded, as all have room for the demand")
	}
}

// swing returns the mean change of a zone's use from one second to the next.
func (f *fleet) swing() float64 {
	sum, n := 0.0, 0
	for _, z := range f.secondMeans() {
		for i := 1; i < len(z); i++ {
			sum += math.Abs(z[i] - z[i-1])
			n++
		}
	}
	return sum / float64(n)
}

// peak returns the largest use of a zone over 3 s, the age up to which a summary is used: a
// zone that others overload by an old summary stays overloaded for about as long.
func (f *fleet) peak() float64 {
	p := 0.0
	for _, z := range f.secondMeans() {
		for i := 2; i < len(z); i++ {
			p = max(p, (z[i-2]+z[i-1]+z[i])/3)
		}
	}
	return p
}

// secondMeans returns the mean use in each second, by zone.
func (f *fleet) secondMeans() [][]float64 {
	out := make([][]float64, f.zones)
	for z, list := range f.zoneUse {
		for part := range slices.Chunk(list, 20) {
			sum := 0.0
			for _, u := range part {
				sum += u
			}
			out[z] = append(out[z], sum/float64(len(part)))
		}
	}
	return out
}

// Bad summaries must cost no more than the naive rule does: nodes then keep to their own
// zone while it has room, and learn from responses that a zone is full.
func TestBadSummariesDoNoHarm(t *testing.T) {
	g := gomega.NewWithT(t)
	for name, spare := range map[string]func(f *fleet, zone int) (Spare, bool){
		"missing": nil,
		"stale":   func(f *fleet, _ int) (Spare, bool) { return Spare{1, 10, f.now.Add(-time.Millisecond)}, true },
		"wrong: all is free": func(f *fleet, zone int) (Spare, bool) {
			s := f.spares[zone]
			return Spare{s.capacity, s.capacity, s.validUntil}, true
		},
		"wrong: one zone free": func(f *fleet, zone int) (Spare, bool) {
			s := f.spares[zone]
			if zone == 2 {
				return Spare{s.capacity, s.capacity, s.validUntil}, true
			}
			return Spare{0, s.capacity, s.validUntil}, true
		},
		"impossible": func(f *fleet, zone int) (Spare, bool) { return Spare{1e6, 1e6, f.spares[zone].validUntil}, true },
	} {
		set := func(f *fleet) {
			waves(f)
			if f.learned {
				f.spare = spare
			}
		}
		naive, estimated := compare(t, g, name, 0.7, set)
		g.Expect(estimated.all).To(gomega.BeNumerically(">=", naive.all), name)
		g.Expect(estimated.urgent).To(gomega.BeNumerically(">=", naive.urgent), name)
		g.Expect(estimated.largestUse).To(gomega.BeNumerically("<=", naive.largestUse*1.05), name)
	}
}

// While a zone is cut off, both sides must serve what they can within themselves, though
// the last summaries of the other side promise capacity.
func TestZoneThatIsCutOffServesItself(t *testing.T) {
	g := gomega.NewWithT(t)
	cut := func(f *fleet) {
		f.isCut = func(from, to int, at time.Duration) bool {
			return at > 25*time.Second && at < 40*time.Second && (from == 0) != (to == 0)
		}
		if f.spare == nil {
			return
		}
		last := map[int]Spare{}
		f.spare = func(f *fleet, zone int) (Spare, bool) {
			at := f.now.Sub(simStart)
			if at <= 25*time.Second || at >= 40*time.Second {
				last[zone] = f.spares[zone]
			}
			return last[zone], true
		}
	}
	naive, estimated := compare(t, g, "zone cut off", 0.6, cut)
	g.Expect(estimated.all).To(gomega.BeNumerically(">=", naive.all))
	g.Expect(estimated.urgent).To(gomega.BeNumerically(">=", naive.urgent))
}

// A server that slows down for 5 s must lose requests by its load and service time, though
// it was learned to be fast.
func TestServerThatSlowsDownLosesRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	slow := func(f *fleet) {
		fastest := slices.MaxFunc(f.servers, func(a, b *simServer) int { return int(1000 * (a.speed - b.speed)) })
		fastest.slow = func(at time.Duration, _ int) float64 {
			if at > 30*time.Second && at < 35*time.Second {
				return 5
			}
			return 1
		}
	}
	naive, estimated := compare(t, g, "fastest server five times slower for 5 s", 0.5, slow)
	g.Expect(estimated.all).To(gomega.BeNumerically(">=", naive.all))
	g.Expect(estimated.urgent).To(gomega.BeNumerically(">=", naive.urgent))
}

// Servers that fail a part of their requests at once look idle and fast. They must not attract
// requests, and must still get them once the others are full.
func TestFailingServersAreUsedOnlyForWhatOthersCantTake(t *testing.T) {
	g := gomega.NewWithT(t)
	fail := func(is func(i int) bool, part float64) func(f *fleet) {
		return func(f *fleet) {
			for i, s := range f.servers {
				if is(i) {
					s.failing = func(at time.Duration) float64 {
						if at > 25*time.Second && at < 35*time.Second {
							return part
						}
						return 0
					}
				}
			}
		}
	}
	for _, load := range []float64{0.5, 0.8} {
		for name, change := range map[string]func(f *fleet){
			"one in seven fails":       fail(func(i int) bool { return i%7 == 0 }, 0.45),
			"one in two fails":         fail(func(i int) bool { return i%2 == 0 }, 0.4),
			"all but one in five fail": fail(func(i int) bool { return i%5 != 0 }, 0.4),
		} {
			naive, estimated := compare(t, g, name, load, change)
			g.Expect(estimated.all).To(gomega.BeNumerically(">=", naive.all), name)
			g.Expect(estimated.urgent).To(gomega.BeNumerically(">=", naive.urgent), name)
			g.Expect(estimated.refused).To(gomega.BeNumerically("<=", naive.refused), name)
		}
	}
}

// A service whose servers are about equally fast must be served as before: with the same
// random numbers, each request goes to the same server.
func TestEquallyFastServersAreServedAsBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	picks := func(learned bool) []string {
		f := newFleet(config(g), 1, 2, 4, 5)
		for i, s := range f.servers {
			s.speed = 1 + 0.19*float64(i)/float64(len(f.servers)-1)
		}
		f.learned = learned
		rate := 0.6 * f.capacity() / 2
		f.rate = func(int, time.Duration) float64 { return rate }
		var out []string
		f.onBegin = func(s *simServer) { out = append(out, s.name) }
		f.run(0, 20*time.Second)
		return out
	}
	g.Expect(picks(true)).To(gomega.Equal(picks(false)))
}

// Each server must get some requests: the slowest, and a new one within seconds.
func TestNewAndSlowServersGetSomeRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(10) {
		f := newFleet(config(g), seed, 4, 5, 20)
		f.learned, f.reportPeriod, f.spare = true, time.Second, rightSpare
		rate := 0.3 * f.capacity() / 4
		f.rate = func(int, time.Duration) float64 { return rate }
		first, counts := map[string]time.Duration{}, map[string]int{}
		f.onBegin = func(s *simServer) {
			if at := f.now.Sub(simStart); first[s.name] == 0 {
				first[s.name] = at
			}
			counts[s.name]++
		}
		newcomer := f.records[3].WithState(gtmember.Starting)
		f.records[3] = newcomer
		f.at(20*time.Second, func() { f.records[3] = newcomer.WithState(gtmember.Ready) })
		f.run(0, 40*time.Second)
		g.Expect(first[newcomer.Instance()]).To(gomega.BeNumerically("~", 21*time.Second, time.Second), "seed %d", seed)
		for _, s := range f.servers {
			g.Expect(counts[s.name]).To(gomega.BeNumerically(">=", 20), "seed %d, %s with speed %.2f", seed, s.name, s.speed)
		}
	}
}

// An ejected instance must get no request while others are not, however fast it is.
func TestEjectedFastServerIsAvoided(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(config(g), 1, 1, 3, 1)
	rt := f.senders[0]
	for i, r := range f.records {
		rt.Begin(r.Instance())
		rt.End(r.Instance(), "urgent", gtkind.None, NewLoad(0, 10).WithCapacity(NewCapacity(0.5+float64(i)/2, 0, 0).WithServiceTime(100*time.Millisecond)))
	}
	rt.Begin(f.records[2].Instance())
	rt.End(f.records[2].Instance(), "urgent", gtkind.ConnectionLost, Load{})
	for range 200 {
		to, err := rt.Pick(f.cfg, NewQuery("s").WithRoute("urgent").WithTarget(100*time.Millisecond))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(to.Instance()).NotTo(gomega.Equal(f.records[2].Instance()))
	}
}
