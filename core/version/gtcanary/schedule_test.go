package gtcanary

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The counts stop growing in a round in which only the first driver is sent a
// report. The others must get the last counts too, since one of them takes over
// when the first is lost.
func TestEveryDriverGetsTheLastCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	drivers := []string{"a", "b", "c"}
	var counter OutcomeCounter
	var s ReportSchedule
	got := map[string]uint64{}
	reports := 0
	for round := range 40 {
		if round < 10 {
			counter.Add("r", NewOutcome(false, time.Millisecond))
		}
		r := counter.Report("i", "2")
		for _, d := range s.Due(drivers, r) {
			reports++
			if round == 11 && d == "c" {
				continue // the report is lost
			}
			s.Sent(d, r)
			got[d] = r.Total()
		}
	}
	for _, d := range drivers {
		g.Expect(got).To(gomega.HaveKeyWithValue(d, uint64(10)))
	}
	g.Expect(reports).To(gomega.BeNumerically("<=", 10+2*3+1), "no report without new counts")

	counter.Restart(5)
	counter.Add("r", NewOutcome(false, time.Millisecond))
	g.Expect(s.Due(drivers, counter.Report("i", "3"))).To(gomega.ContainElement("a"), "counts after a restart are new")
	s.Keep([]string{"b"})
	g.Expect(s.sent).To(gomega.HaveLen(1))
}

// The counts of a new version begin at zero, even where its server replaces the
// old version's beside a node that goes on running, and where the clock was set
// back meanwhile.
func TestCountsOfTheOldVersionAreNotTheNewOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	var counter OutcomeCounter
	counter.Restart(1000)
	for range 50 {
		counter.Add("r", NewOutcome(true, time.Millisecond))
	}
	j := &Judge{Now: func() time.Time { return time.Unix(1000, 0) }, From: "1", To: "2", Threshold: PooledThreshold}
	j.AddReport(counter.Report("i", "1"))
	counter.Restart(900)
	counter.Add("r", NewOutcome(false, time.Millisecond))
	j.AddReport(counter.Report("i", "2"))
	g.Expect(j.StepRequests()).To(gomega.Equal(uint64(1)))
}
