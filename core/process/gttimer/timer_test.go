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
