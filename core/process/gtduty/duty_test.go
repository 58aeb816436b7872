package gtduty

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a call that is still under way when the lease has ended.
func TestCallEndsBeforeTheLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		terms := NewTerms(time.Duration(rapid.IntRange(300, 10_000).Draw(t, "lease"))*time.Millisecond, rapid.Bool().Draw(t, "fenced"))
		ms := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
		}
		now := ms("start", 1000)
		sent := now
		now += ms("take", 500)
		taken := now
		tenure := Begin(terms, 7, sent, taken)
		for range 20 {
			if rapid.Bool().Draw(t, "renew") {
				renewal := now
				now += ms("transit", 3000)
				if tenure.Renewed(renewal, now) {
					sent = renewal
				}
			}
			now += ms("step", 4000)
			if tenure.MayCall(now) {
				g.Expect(now + terms.CallTimeout()).To(gomega.BeNumerically("<", sent+terms.Lease()))
				g.Expect(now).To(gomega.BeNumerically(">=", taken+terms.FirstCallDelay()))
			}
		}
	})
}

// Guards against a node that goes on with its token after a pause, although the store
// still knows its lease.
func TestEndedTenureIsNotResumed(t *testing.T) {
	g := gomega.NewWithT(t)
	tenure := Begin(NewTerms(3*time.Second, true), 7, 0, 0)
	g.Expect(tenure.MayCall(time.Second)).To(gomega.BeTrue())
	g.Expect(tenure.Renewed(2*time.Second, 3*time.Second)).To(gomega.BeFalse(), "the response came after the end of the lease")
	g.Expect(tenure.Holds(time.Second)).To(gomega.BeFalse())
	g.Expect(tenure.EndReason()).To(gomega.Equal("lease ended"))
}

// Without a fence a paused holder's call may arrive just before its lease ends, and must
// not come after a call of the next holder.
func TestUnfencedHolderWaitsForTheOneBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	terms := NewTerms(3*time.Second, false)
	tenure := Begin(terms, 7, 0, 0)
	for now := time.Duration(0); now < 4*time.Second; now += time.Second {
		g.Expect(tenure.MayCall(now)).To(gomega.BeFalse())
		tenure.Renewed(now, now)
	}
	g.Expect(tenure.MayCall(4 * time.Second)).To(gomega.BeTrue())
}

func TestCandidatesTakeByRank(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(ShouldTake(0, 0)).To(gomega.BeFalse())
	g.Expect(ShouldTake(0, 1)).To(gomega.BeTrue())
	g.Expect(ShouldTake(1, 1)).To(gomega.BeTrue())
	g.Expect(ShouldTake(2, 1)).To(gomega.BeFalse())
	g.Expect(ShouldTake(2, 2)).To(gomega.BeTrue())
	g.Expect(ShouldTake(3, 9)).To(gomega.BeFalse())
}
