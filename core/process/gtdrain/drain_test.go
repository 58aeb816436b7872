package gtdrain

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A request that the node takes late in its shutdown would be cut off at its end: it
// may begin only if its deadline comes first (review/1).
func TestRequestThatWouldOutlastTheShutdownMayNotBegin(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(1000, 0)
	now := start
	d := &Drain{Now: func() time.Time { return now }, Linger: 2 * time.Second, Limit: 5 * time.Second}
	g.Expect(d.MayBegin(start.Add(time.Hour))).To(gomega.BeTrue(), "no shutdown")
	g.Expect(d.Begun()).To(gomega.BeFalse())
	g.Expect(d.EndsBefore(start.Add(time.Hour))).To(gomega.BeFalse())
	d.Begin(start)
	g.Expect(d.Begun()).To(gomega.BeTrue())
	g.Expect(d.EndsBefore(start.Add(5 * time.Second))).To(gomega.BeFalse())
	g.Expect(d.EndsBefore(start.Add(5*time.Second + 1))).To(gomega.BeTrue())
	g.Expect(d.LingerEnded()).To(gomega.BeFalse())
	for _, c := range []struct {
		at, timeout time.Duration
		ok          bool
	}{
		{0, time.Hour, true},
		{1999 * time.Millisecond, 10 * time.Second, true},
		{2 * time.Second, 3 * time.Second, true},
		{2 * time.Second, 3001 * time.Millisecond, false},
		{4 * time.Second, time.Second, true},
		{4500 * time.Millisecond, time.Second, false},
		{5 * time.Second, time.Millisecond, false},
		{8 * time.Second, 0, false},
	} {
		now = start.Add(c.at)
		g.Expect(d.MayBegin(now.Add(c.timeout))).To(gomega.Equal(c.ok), "%s after the begin, timeout %s", c.at, c.timeout)
	}
	g.Expect(d.Left()).To(gomega.BeZero())
	g.Expect(d.LingerEnded()).To(gomega.BeTrue())
	now = start.Add(4 * time.Second)
	g.Expect(d.Left()).To(gomega.Equal(time.Second))
}

// A stop that began late, as its SIGTERM came during a process pause, took requests that
// outlasted the platform's grace time (LOST).
func TestShutdownThatWasOrderedEarlierEndsEarlier(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	for ordered, left := range map[time.Duration]time.Duration{0: 5 * time.Second, 1200 * time.Millisecond: 3800 * time.Millisecond, time.Minute: 2500 * time.Millisecond} {
		d := &Drain{Now: func() time.Time { return now }, Linger: 2 * time.Second, Limit: 5 * time.Second}
		d.Begin(now.Add(-ordered))
		g.Expect(d.Left()).To(gomega.Equal(left))
	}
}

// A node handled its SIGTERM 3.5 s late and took requests that the platform's SIGKILL cut off:
// the bound on what the drain is shortened by also held for new requests (LOST, review/1).
func TestNewRequestsCountFromTheOrderOfTheShutdown(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	d := &Drain{Now: func() time.Time { return now }, Linger: 2 * time.Second, Limit: 5 * time.Second}
	d.Begin(now.Add(-3500 * time.Millisecond))
	g.Expect(d.LingerEnded()).To(gomega.BeTrue())
	g.Expect(d.MayBegin(now.Add(1500 * time.Millisecond))).To(gomega.BeTrue())
	g.Expect(d.MayBegin(now.Add(1501 * time.Millisecond))).To(gomega.BeFalse())
	g.Expect(d.EndsBefore(now.Add(1501 * time.Millisecond))).To(gomega.BeTrue())
	g.Expect(d.Left()).To(gomega.Equal(2500*time.Millisecond), "requests in flight keep half of the limit")
}
