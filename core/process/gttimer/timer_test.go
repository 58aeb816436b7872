package gttimer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// fakeClock is a clock that the test advances.
type fakeClock struct{ now time.Time }

func (c *fakeClock) read() time.Time { return c.now }

func TestTicksArriveInOrderAndAreNotQueued(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &fakeClock{now: time.Unix(1000, 0)}
	s := &Service{Now: c.read}
	later, sooner := s.After(3*time.Second), s.After(time.Second)
	periodic := s.Every(2*time.Second, 0)
	next, ok := s.Step(c.now.Add(time.Second))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(next).To(gomega.Equal(c.now.Add(2 * time.Second)))
	g.Expect(sooner.C()).To(gomega.Receive())
	g.Expect(later.C()).NotTo(gomega.Receive())
	for i := range 5 {
		s.Step(c.now.Add(time.Duration(10+3*i) * time.Second))
	}
	g.Expect(periodic.C()).To(gomega.Receive())
	g.Expect(periodic.C()).NotTo(gomega.Receive(), "a slow subscriber has one pending tick")
	g.Expect(later.C()).To(gomega.Receive())
	periodic.Stop()
	_, ok = s.Step(c.now.Add(time.Hour))
	g.Expect(ok).To(gomega.BeFalse())
}

func TestProcessPauseIsDetected(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &fakeClock{now: time.Unix(1000, 0)}
	s := &Service{Now: c.read}
	g.Expect(s.PausedSince(c.now.Add(-time.Hour))).To(gomega.BeFalse(), "Run has not started")
	s.checkClock()
	start := c.now
	c.now = c.now.Add(pauseThreshold)
	s.checkClock()
	g.Expect(s.PausedSince(start)).To(gomega.BeFalse())
	c.now = c.now.Add(pauseThreshold + time.Millisecond)
	g.Expect(s.PausedSince(start)).To(gomega.BeTrue(), "the clock has not been checked since the pause")
	s.checkClock()
	g.Expect(s.PausedSince(start)).To(gomega.BeTrue())
	g.Expect(s.PausedSince(c.now)).To(gomega.BeFalse(), "the pause ended before")
}

// A SIGTERM that came while the process got no processor time was taken for one that came
// afterwards: the stop began late, and outlasted the platform's grace time (LOST).
func TestSignalMayHaveArrivedBeforeAPause(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &fakeClock{now: time.Unix(1000, 0)}
	s := &Service{Now: c.read}
	g.Expect(s.EarliestArrival()).To(gomega.Equal(c.now), "Run has not started")
	s.checkClock()
	g.Expect(s.EarliestArrival()).To(gomega.Equal(c.now))
	before := c.now
	c.now = c.now.Add(1200 * time.Millisecond)
	g.Expect(s.EarliestArrival()).To(gomega.Equal(before), "the clock has not been checked since the pause")
	s.checkClock()
	g.Expect(s.EarliestArrival()).To(gomega.Equal(before))
	c.now = c.now.Add(pauseThreshold + 1)
	s.lastCheck = c.now
	g.Expect(s.EarliestArrival()).To(gomega.Equal(c.now), "long after the pause")
}

// A node was paused several times in a row and handled its SIGTERM 3 s late. By the last
// pause alone it took the signal for a later one and accepted requests that were cut off by
// SIGKILL (review/1).
func TestSignalMayHaveArrivedBeforeASeriesOfPauses(t *testing.T) {
	for _, test := range []struct {
		name    string
		running time.Duration // between the pauses
		start   int           // the pause before which the signal may have arrived
	}{
		{"short of processor time", pauseSeriesGap, 0},
		{"running in between", pauseSeriesGap + clockCheckPeriod, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := &Service{}
			s.checkClock()
			var starts []time.Time
			for range 3 {
				for ran := time.Duration(0); ran < test.running; ran += clockCheckPeriod {
					time.Sleep(clockCheckPeriod)
					s.checkClock()
				}
				starts = append(starts, time.Now())
				time.Sleep(900 * time.Millisecond)
				g.Expect(s.EarliestArrival()).To(gomega.Equal(starts[min(test.start, len(starts)-1)]), "%s, pause not recorded yet", test.name)
				s.checkClock()
			}
			g.Expect(s.EarliestArrival()).To(gomega.Equal(starts[test.start]), test.name)
			time.Sleep(pauseThreshold + 1)
			s.lastCheck = time.Now()
			g.Expect(s.EarliestArrival()).To(gomega.Equal(time.Now()), "long after the pauses")
		})
	}
}

func TestRunningServiceReportsNoPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := &Service{}
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Run(ctx)
		}()
		start := time.Now()
		g.Expect(s.Sleep(ctx, time.Minute)).To(gomega.Succeed())
		g.Expect(s.PausedSince(start)).To(gomega.BeFalse())
		cancel()
		<-done
	})
}

// Many parts with timers of their own must not wake the process up for each of them.
func TestPeriodicTicksAreDeliveredTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &fakeClock{now: time.Unix(1000, 0)}
	s := &Service{Now: c.read}
	ticks := map[time.Duration]int{}
	var tickers []*Ticker
	periods := []time.Duration{250 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second}
	for i := range 40 {
		c.now = c.now.Add(7 * time.Millisecond)
		tickers = append(tickers, s.Every(periods[i%len(periods)], 0.1))
	}
	short := s.Every(50*time.Millisecond, 0)
	defer short.Stop()
	end := c.now.Add(time.Minute)
	wakeUps := map[int64]bool{}
	for c.now.Before(end) {
		next, _ := s.Step(c.now)
		for i, ticker := range tickers {
			select {
			case <-ticker.C():
				ticks[periods[i%len(periods)]]++
				wakeUps[c.now.UnixNano()] = true
			default:
			}
		}
		c.now = next
	}
	g.Expect(len(wakeUps)).To(gomega.BeNumerically("<=", 601), "a minute has 600 points of the grid")
	for period, n := range ticks {
		perTicker := float64(n) / 10
		g.Expect(perTicker).To(gomega.BeNumerically("~", float64(time.Minute/period), 0.35*float64(time.Minute/period)), "%s", period)
	}
	g.Expect(ticks).To(gomega.HaveLen(len(periods)))
}

// A step of the time of day must not change how long ago a message arrived.
func TestMomentKeepsTheSteadyClock(t *testing.T) {
	g := gomega.NewWithT(t)
	var m Moment
	g.Expect(m.Time().IsZero()).To(gomega.BeTrue())
	at := time.Now()
	m.Set(at)
	g.Expect(m.Time().String()).To(gomega.ContainSubstring("m="), "the reading of the steady clock")
	g.Expect(m.Time().Sub(at)).To(gomega.BeZero())
}
