package gtstandin

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtrank"
)

const first = gtrank.ZoneWatchers

// newStandIn returns the state of a node that has ranked as a stand-in for long, and a
// function that moves its clock on.
func newStandIn(rank int) (*StandIn, func(d time.Duration)) {
	now := time.Unix(1000, 0)
	s := &StandIn{Now: func() time.Time { return now }}
	advance := func(d time.Duration) { now = now.Add(d) }
	s.Decide(rank)
	advance(startGrace)
	s.Heard()
	return s, advance
}

// standsInAfter returns how long after the last notice the node stands in, deciding only
// when Decide asks for it.
func standsInAfter(s *StandIn, advance func(d time.Duration), rank int) time.Duration {
	var waited time.Duration
	for waited < time.Minute {
		ok, recheck := s.Decide(rank)
		if ok {
			return waited
		}
		advance(recheck)
		waited += recheck
	}
	return waited
}

// Nodes whose watchers fell silent went on with the old configuration until these were
// suspected, 4.7 to 9 s later. A change has to be in force after 2 s.
func TestStandInsTakeOverOneAfterTheOtherWithinTheBoundOfAChange(t *testing.T) {
	g := gomega.NewWithT(t)
	last := time.Duration(0)
	for place := range gtrank.ZoneStandIns {
		s, advance := newStandIn(first + place)
		after := standsInAfter(s, advance, first+place)
		g.Expect(after).To(gomega.BeNumerically(">", last+NoticePeriod), "place %d", place)
		g.Expect(after).To(gomega.BeNumerically("<", 1800*time.Millisecond), "place %d", place)
		last = after
	}
}

// The calls of the store may not grow with the fleet, whatever is heard.
func TestOnlyTheFirstRanksStandIn(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, rank := range []int{0, 1, first + gtrank.ZoneStandIns, 1000} {
		s, advance := newStandIn(rank)
		g.Expect(standsInAfter(s, advance, rank)).To(gomega.BeNumerically(">=", time.Minute), "rank %d", rank)
	}
}

// Two notices may be lost before a stand-in calls the store.
func TestStandInWaitsWhileItHearsOfSuccess(t *testing.T) {
	g := gomega.NewWithT(t)
	s, advance := newStandIn(first)
	for range 100 {
		advance(silence - time.Millisecond)
		ok, _ := s.Decide(first)
		g.Expect(ok).To(gomega.BeFalse())
		s.Heard()
	}
}

// A fleet that starts, or a node that has moved up in rank, has not been sent a notice
// yet, which is no failure of the watchers.
func TestNewStandInWaitsForItsFirstNotice(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	s := &StandIn{Now: func() time.Time { return now }}
	s.Decide(first + gtrank.ZoneStandIns)
	now = now.Add(time.Hour)
	ok, recheck := s.Decide(first)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(recheck).To(gomega.Equal(startGrace))
	now = now.Add(recheck)
	ok, _ = s.Decide(first)
	g.Expect(ok).To(gomega.BeTrue())
}

// A stand-in ends once a watcher has success again, though not at once: each begin costs
// a read of all keys.
func TestStandInEndsOnceTheWatchersHaveSuccess(t *testing.T) {
	g := gomega.NewWithT(t)
	s, advance := newStandIn(first)
	advance(silence)
	begins, stood := 0, false
	for range 600 { // notices that come for a moment every second
		ok, _ := s.Decide(first)
		if ok && !stood {
			begins++
		}
		stood = ok
		advance(100 * time.Millisecond)
		if begins > 0 {
			s.Heard()
		}
	}
	g.Expect(begins).To(gomega.Equal(1))
	g.Expect(stood).To(gomega.BeFalse())
	begins = 0
	for i := range 600 { // a minute of notices that are missing half of the time
		ok, _ := s.Decide(first)
		if ok && !stood {
			begins++
		}
		stood = ok
		advance(100 * time.Millisecond)
		if i/20%2 == 0 {
			s.Heard()
		}
	}
	g.Expect(begins).To(gomega.BeNumerically("<=", 6))
}
