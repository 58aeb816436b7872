package gtretry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"godwittide/core/request/gtkind"
)

// Whatever fails, a request that may have run is never sent again unless it
// may be repeated.
func TestOnlySafeRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Policy{Now: func() time.Time { return time.Unix(0, 0) }}
		k := rapid.SampledFrom(gtkind.All()).Draw(t, "kind")
		idempotent := rapid.Bool().Draw(t, "idempotent")
		a := NewAttempt("s", k, rapid.IntRange(1, 5).Draw(t, "count"), time.Duration(rapid.IntRange(-1, 1).Draw(t, "left")))
		if p.Again(a.Idempotent(idempotent)) && k.Row().Certainty() != gtkind.NotRun && !idempotent {
			t.Fatalf("%s was tried again", k)
		}
	})
}

// Retries after failures that cost work stay within their share of the first
// attempts, and a retry of an earlier hop gets none.
func TestBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	p := &Policy{Now: func() time.Time { return now }}
	retries := 0
	const firsts = 10000
	for range firsts {
		p.Sent("s")
		if p.Again(NewAttempt("s", gtkind.Full, 1, time.Second).Idempotent(true)) {
			retries++
		}
		now = now.Add(time.Millisecond)
	}
	g.Expect(retries).To(gomega.BeNumerically("<=", firsts/10))
	g.Expect(retries).To(gomega.BeNumerically(">", 0))
	now = now.Add(time.Hour)
	g.Expect(p.Again(NewAttempt("s", gtkind.Full, 1, time.Second).Idempotent(true).Nested(true))).To(gomega.BeFalse())
	for range 100 {
		g.Expect(p.Again(NewAttempt("s", gtkind.Leaving, 1, time.Second))).To(gomega.BeTrue(), "a refusal that cost nothing is free")
	}
}

// A request gets to no more servers than its route allows; refusals that
// reached none do not count.
func TestRouteBoundsTheServersReached(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &Policy{Now: func() time.Time { return time.Unix(1000, 0) }}
	p.Sent("s")
	cut := NewAttempt("s", gtkind.Cut, 1, time.Second).Idempotent(true)
	g.Expect(p.Again(cut.Reached(1, 1))).To(gomega.BeFalse())
	g.Expect(p.Again(cut.Reached(1, 2))).To(gomega.BeTrue())
	refused := NewAttempt("s", gtkind.Refused, 2, time.Second)
	g.Expect(p.Again(refused.Reached(0, 1))).To(gomega.BeTrue())
}
