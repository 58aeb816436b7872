package gtretry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"godwittide/core/request/gtkind"
)

// Guards against retrying a non-idempotent request that may have run, for every
// error kind.
func TestOnlySafeRequestsAreRetried(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Policy{Now: func() time.Time { return time.Unix(0, 0) }}
		k := rapid.SampledFrom(gtkind.All()).Draw(t, "kind")
		idempotent := rapid.Bool().Draw(t, "idempotent")
		a := NewAttempt("s", k, rapid.IntRange(1, 5).Draw(t, "count"), time.Duration(rapid.IntRange(-1, 1).Draw(t, "remaining")))
		if p.ShouldRetry(a.WithIdempotent(idempotent)) && k.Row().Certainty() != gtkind.NotRun && !idempotent {
			t.Fatalf("non-idempotent request was retried after error kind %s", k)
		}
	})
}

// Guards against retry storms: retries after failures that cost work stay within
// their share of the first attempts, and a request that is already part of such a
// retry gets none.
func TestRetriesStayWithinBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	p := &Policy{Now: func() time.Time { return now }}
	retries := 0
	const firstAttempts = 10000
	for range firstAttempts {
		p.RecordFirstAttempt("s")
		if p.ShouldRetry(NewAttempt("s", gtkind.Full, 1, time.Second).WithIdempotent(true)) {
			retries++
		}
		now = now.Add(time.Millisecond)
	}
	g.Expect(retries).To(gomega.BeNumerically("<=", firstAttempts/10))
	g.Expect(retries).To(gomega.BeNumerically(">", 0))
	now = now.Add(time.Hour)
	g.Expect(p.ShouldRetry(NewAttempt("s", gtkind.Full, 1, time.Second).WithIdempotent(true).WithRetry(true))).To(gomega.BeFalse())
	for range 100 {
		g.Expect(p.ShouldRetry(NewAttempt("s", gtkind.Leaving, 1, time.Second))).To(gomega.BeTrue(), "a retry after a refusal that cost no work needs no budget")
	}
}

// Guards against a request that reaches more servers than its route allows.
// Refusals that reached no server don't count.
func TestRouteBoundsServersReached(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &Policy{Now: func() time.Time { return time.Unix(1000, 0) }}
	p.RecordFirstAttempt("s")
	lost := NewAttempt("s", gtkind.ConnectionLost, 1, time.Second).WithIdempotent(true)
	g.Expect(p.ShouldRetry(lost.WithServersReached(1, 1))).To(gomega.BeFalse())
	g.Expect(p.ShouldRetry(lost.WithServersReached(1, 2))).To(gomega.BeTrue())
	refused := NewAttempt("s", gtkind.Refused, 2, time.Second)
	g.Expect(p.ShouldRetry(refused.WithServersReached(0, 1))).To(gomega.BeTrue())
}

// A request at work was broken off because nothing was received for a while, and the
// caller got an error in its place (LOST). It may be given up only if another attempt can
// take its place.
func TestSilentAttemptIsGivenUpOnlyForARetry(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &Policy{Now: func() time.Time { return time.Unix(1000, 0) }}
	p.RecordFirstAttempt("s")
	silent := NewAttempt("s", gtkind.Unresponsive, 1, time.Second).WithIdempotent(true).WithServersReached(1, 2)
	g.Expect(p.MayGiveUp(silent)).To(gomega.BeTrue())
	g.Expect(p.MayGiveUp(silent)).To(gomega.BeTrue(), "asking takes nothing from the budget")
	g.Expect(p.MayGiveUp(silent.WithIdempotent(false))).To(gomega.BeFalse(), "it may run once only")
	g.Expect(p.MayGiveUp(silent.WithServersReached(2, 2))).To(gomega.BeFalse(), "it may reach no other server")
	g.Expect(p.MayGiveUp(silent.WithRetry(true))).To(gomega.BeFalse(), "it is a retry")
	short := NewAttempt("s", gtkind.Unresponsive, 1, minTimeAfterSilence-1).WithIdempotent(true)
	g.Expect(p.MayGiveUp(short)).To(gomega.BeFalse(), "no time for another")
	g.Expect(p.ShouldRetry(silent)).To(gomega.BeTrue())
	g.Expect(p.MayGiveUp(silent)).To(gomega.BeFalse(), "the budget is used up")
	g.Expect(p.ShouldRetry(silent)).To(gomega.BeFalse())
}

// A request at work was given up for another attempt that had no time to complete: callers
// got 504 where the first response would have come (LOST).
func TestSilentAttemptIsNotGivenUpWithoutTheUsualTime(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &Policy{Now: func() time.Time { return time.Unix(1000, 0) }}
	p.RecordFirstAttempt("s")
	silent := func(remaining time.Duration) Attempt {
		return NewAttempt("s", gtkind.Unresponsive, 1, remaining).WithRoute("r").WithIdempotent(true)
	}
	g.Expect(p.MayGiveUp(silent(minTimeAfterSilence))).To(gomega.BeTrue(), "nothing is known of the route")
	p.RecordDuration("r", 1200*time.Millisecond)
	p.RecordDuration("other", time.Millisecond)
	g.Expect(p.MayGiveUp(silent(time.Second))).To(gomega.BeFalse())
	g.Expect(p.MayGiveUp(silent(1200 * time.Millisecond))).To(gomega.BeTrue())
	for range 200 {
		p.RecordDuration("r", 10*time.Millisecond)
	}
	g.Expect(p.MayGiveUp(silent(minTimeAfterSilence))).To(gomega.BeTrue(), "the route has become fast")
	g.Expect(p.MayGiveUp(silent(minTimeAfterSilence - 1))).To(gomega.BeFalse())
	p.RecordDuration("r", time.Hour)
	p.Prune(func(route string) bool { return route == "other" })
	g.Expect(p.MayGiveUp(silent(minTimeAfterSilence))).To(gomega.BeTrue(), "the route was removed")
}
