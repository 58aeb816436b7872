package gttimer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// clock is a clock that a test moves by hand.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func TestTicksComeInOrderAndDoNotPileUp(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &clock{now: time.Unix(1000, 0)}
	s := &Service{Now: c.read}
	late, soon := s.After(3*time.Second), s.After(time.Second)
	every := s.Every(2*time.Second, 0)
	next, ok := s.Step(c.now.Add(time.Second))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(next).To(gomega.Equal(c.now.Add(2 * time.Second)))
	g.Expect(soon.C()).To(gomega.Receive())
	g.Expect(late.C()).NotTo(gomega.Receive())
	for i := range 5 {
		s.Step(c.now.Add(time.Duration(10+3*i) * time.Second))
	}
	g.Expect(every.C()).To(gomega.Receive())
	g.Expect(every.C()).NotTo(gomega.Receive(), "a slow subscriber finds one tick")
	g.Expect(late.C()).To(gomega.Receive())
	every.Stop()
	_, ok = s.Step(c.now.Add(time.Hour))
	g.Expect(ok).To(gomega.BeFalse())
}

func TestStallIsNoticed(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &clock{now: time.Unix(1000, 0)}
	s := &Service{Now: c.read}
	g.Expect(s.Stalled(c.now.Add(-time.Hour))).To(gomega.BeFalse(), "Run does not run")
	s.look()
	start := c.now
	c.now = c.now.Add(stallFloor)
	s.look()
	g.Expect(s.Stalled(start)).To(gomega.BeFalse())
	c.now = c.now.Add(stallFloor + time.Millisecond)
	g.Expect(s.Stalled(start)).To(gomega.BeTrue(), "Run has not come to look yet")
	s.look()
	g.Expect(s.Stalled(start)).To(gomega.BeTrue())
	g.Expect(s.Stalled(c.now)).To(gomega.BeFalse(), "it is over")
}

func TestServiceThatRunsIsNotStalled(t *testing.T) {
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
		g.Expect(s.Wait(ctx, time.Minute)).To(gomega.Succeed())
		g.Expect(s.Stalled(start)).To(gomega.BeFalse())
		cancel()
		<-done
	})
}
