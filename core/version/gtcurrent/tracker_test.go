package gtcurrent

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestAgeCountsFromTheLatestConfirmation(t *testing.T) {
	g := gomega.NewWithT(t)
	now := 10 * time.Second
	tracker := &Tracker{Clock: func() time.Duration { return now }}
	g.Expect(tracker.IsWithin(time.Hour)).To(gomega.BeFalse(), "no evidence at all")
	tracker.Confirm(0)
	g.Expect(tracker.IsWithin(10 * time.Second)).To(gomega.BeTrue())
	tracker.Confirm(8 * time.Second)
	tracker.Confirm(5 * time.Second) // an answer that was overtaken
	age, ok := tracker.Age()
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(age).To(gomega.Equal(2 * time.Second))
	tracker.Confirm(11 * time.Second)
	tracker.Confirm(-time.Second)
	g.Expect(tracker.IsWithin(2 * time.Second)).To(gomega.BeTrue())
	g.Expect(tracker.IsWithin(2*time.Second-1)).To(gomega.BeFalse(), "a time in the future is no evidence")
	now += 5 * time.Second // a suspension
	g.Expect(tracker.IsWithin(MaxAge(5 * time.Second))).To(gomega.BeFalse())
	g.Expect(MaxAge(5 * time.Second)).To(gomega.BeNumerically("<", 5*time.Second))
	g.Expect(MaxAge(0)).To(gomega.BeZero())
}
