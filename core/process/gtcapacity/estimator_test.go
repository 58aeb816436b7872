package gtcapacity

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const seeds = 20

// naive is the moving average that the admission gate keeps for each route. It is the
// rule that the estimator is compared with.
type naive struct {
	estimator *Estimator
	mean      map[string]float64
}

func (n *naive) observe(r response) {
	took := (r.end - r.start).Seconds()
	if n.mean == nil {
		n.mean = map[string]float64{}
	}
	if n.mean[r.route] == 0 {
		n.mean[r.route] = took
	}
	n.mean[r.route] += 0.2 * (took - n.mean[r.route])
}

func (n *naive) speed() float64 {
	sum := 0.0
	for name, mean := range n.mean {
		sum += mean / meanWork[name].Seconds()
	}
	return float64(len(n.mean)) / sum
}

// track calls fn after each response of the server, with the time.
func track(s *server, fn func(r response)) {
	observe := s.onEnd
	s.onEnd = func(r response) {
		observe(r)
		fn(r)
	}
}

// handled returns the concurrency that the estimator takes a server of the given slots
// to handle.
func handled(e *Estimator, slots int) float64 {
	if e.Capacity() == 0 {
		return float64(slots)
	}
	return math.Min(e.Capacity(), float64(slots))
}

// A server's constant speed must be found, so that urgent requests go to fast servers,
// and noise alone must not look like a slow-down at high concurrency. Bounds: a fifth,
// within which the services count as equally fast.
func TestSpeedIsFound(t *testing.T) {
	g := gomega.NewWithT(t)
	worst, worstNaive := 0.0, 0.0
	for seed := range uint64(seeds) {
		for _, speed := range []float64{0.5, 0.7, 1, 1.4, 1.7} {
			e, n := &Estimator{}, &naive{}
			s := newServer(seed, e, 30, 12, constant(speed))
			track(s, func(r response) {
				n.observe(r)
				if r.end > 30*time.Second {
					worst = math.Max(worst, math.Abs(e.Speed()/speed-1))
					worstNaive = math.Max(worstNaive, math.Abs(n.speed()/speed-1))
				}
			})
			s.run(60 * time.Second)
			g.Expect(math.Abs(e.Speed()/speed-1)).To(gomega.BeNumerically("<", 0.2), "seed %d, speed %g: %g", seed, speed, e.Speed())
			g.Expect(handled(e, 12)).To(gomega.BeNumerically(">=", 0.8*12), "seed %d, speed %g", seed, speed)
		}
	}
	t.Logf("largest error of the speed after 30 s: %.2f, naive rule %.2f", worst, worstNaive)
	g.Expect(worst).To(gomega.BeNumerically("<", worstNaive))
}

// A server that slows down before its slots are full must be given no more than it
// handles, whatever its load.
func TestSlowingDownIsFound(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(seeds) {
		for _, slots := range []int{6, 9, 13} {
			for _, load := range []float64{0.5, 0.7, 0.95} {
				e := &Estimator{}
				s := newServer(seed, e, load*float64(slots)/0.167, slots, constant(1))
				s.slow = slowFrom(0.7*float64(slots), slots, 2)
				s.run(2 * time.Minute)
				g.Expect(handled(e, slots)/float64(slots)).To(gomega.And(gomega.BeNumerically(">=", 0.55), gomega.BeNumerically("<=", 0.85)),
					"seed %d, %d slots, load %g: %.1f", seed, slots, load, e.Capacity())
				g.Expect(e.Slowdown()).To(gomega.BeNumerically(">", 0))
			}
		}
	}
}

// A lasting change must be followed within seconds in both directions, or requests keep
// going to a server that has become slow and stay away from one that has recovered.
func TestLastingChangeIsFollowed(t *testing.T) {
	g := gomega.NewWithT(t)
	const begin, end = 60 * time.Second, 65 * time.Second
	for seed := range uint64(seeds) {
		e := &Estimator{}
		var down, up time.Duration
		s := newServer(seed, e, 30, 12, func(at time.Duration) float64 {
			if at >= begin && at < end {
				return 0.5
			}
			return 1
		})
		track(s, func(r response) {
			if down == 0 && r.end > begin && e.Speed() < 0.67 {
				down = r.end - begin
			}
			if up == 0 && r.end > end && e.Speed() > 0.83 {
				up = r.end - end
			}
		})
		s.run(80 * time.Second)
		g.Expect(down).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", 4*time.Second)), "seed %d", seed)
		g.Expect(up).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", 8*time.Second)), "seed %d", seed)
	}
}

// Disturbances of some hundred milliseconds at 2.5 times the service time must neither
// count as changes nor as a limit of the concurrency. The long-run mean of the speed,
// which is 1/(0.85+0.15*2.5) = 0.82, is what requests meet.
func TestDisturbancesAreNoChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	changes, low, high, lowNaive, highNaive := 0, 9.0, 0.0, 9.0, 0.0
	for seed := range uint64(seeds) {
		e, n := &Estimator{}, &naive{}
		s := newServer(seed, e, 30, 12, func(at time.Duration) float64 {
			if at%(2*time.Second) < 300*time.Millisecond {
				return 0.4
			}
			return 1
		})
		track(s, func(r response) {
			n.observe(r)
			if r.end > 60*time.Second {
				low, high = math.Min(low, e.Speed()), math.Max(high, e.Speed())
				lowNaive, highNaive = math.Min(lowNaive, n.speed()), math.Max(highNaive, n.speed())
			}
		})
		s.run(5 * time.Minute)
		changes += e.Changes()
		g.Expect(handled(e, 12)).To(gomega.BeNumerically(">=", 0.6*12), "seed %d", seed)
	}
	t.Logf("speed %.2f to %.2f, naive rule %.2f to %.2f, %d changes in %d runs", low, high, lowNaive, highNaive, changes, seeds)
	g.Expect(high / low).To(gomega.BeNumerically("<", highNaive/lowNaive))
	g.Expect(low).To(gomega.BeNumerically(">", 0.82/1.4))
	g.Expect(changes).To(gomega.BeNumerically("<=", seeds))
}

// Too few samples must not be reported: a new server would get none or all requests.
func TestColdStartReportsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &Estimator{}
	now := epoch
	for range minSamples - 1 {
		now = now.Add(time.Second)
		e.Observe("a", 1, time.Second, now)
		e.SetReference("a", 100*time.Millisecond)
	}
	g.Expect(e.Speed()).To(gomega.Equal(1.0))
	g.Expect(e.Capacity()).To(gomega.BeZero())
	g.Expect(e.ServiceTime("a")).To(gomega.BeZero())
	e.Observe("a", 1, time.Second, now.Add(time.Second))
	g.Expect(e.Speed()).To(gomega.BeNumerically("~", 0.1, 0.01))
	g.Expect(e.ServiceTime("a")).To(gomega.Equal(time.Second))
	e.Reset()
	g.Expect(e.Speed()).To(gomega.Equal(1.0))
	g.Expect(e.ServiceTime("a")).To(gomega.BeZero())
}

// A response that spans a process pause says nothing about the server.
func TestProcessPauseIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	pausedAt := epoch.Add(time.Minute)
	e := &Estimator{PausedSince: func(since time.Time) bool { return since.Before(pausedAt) }}
	for range 100 {
		e.Observe("a", 1, time.Minute, pausedAt.Add(30*time.Second))
	}
	g.Expect(e.ServiceTime("a")).To(gomega.BeZero())
	for range 100 {
		e.Observe("a", 1, time.Second, pausedAt.Add(30*time.Second))
	}
	g.Expect(e.ServiceTime("a")).To(gomega.Equal(time.Second))
}

// The number of routes is bounded, as callers may cause any number of them in a large
// configuration.
func TestRoutesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	e, c := &Estimator{}, &Calls{}
	c.Ended(epoch, epoch.Add(time.Millisecond))
	for i := range 2 * maxRoutes {
		name := time.Duration(i).String()
		e.Observe(name, 1, time.Second, epoch)
		c.Own(name, epoch.Add(time.Second), epoch.Add(2*time.Second))
	}
	g.Expect(len(e.routes)).To(gomega.Equal(maxRoutes))
	g.Expect(len(c.routes)).To(gomega.Equal(maxRoutes))
}
