package gtmove

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/version/gtcanary"
)

// A service with a request a second had too few responses of the old version on each of
// its routes for a comparison: no request of a good version counted for a step, and its move
// did not end by its deadline.
func TestMoveOfAServiceWithFewRequestsEndsByItsDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	m := testMove(t)
	start := time.Unix(10000, 0)
	now := start
	judge := &gtcanary.Judge{Now: func() time.Time { return now }, From: m.From(), To: m.To(), Threshold: gtcanary.PooledThreshold}
	s := InitialState(m, nil, now)
	routes := []string{"a", "b", "c", "d"}
	for i := 0; now.Before(m.Deadline(start)) && s.Phase() == Running; i++ {
		now = now.Add(500 * time.Millisecond)
		version := m.From()
		if i%4 == 3 {
			version = m.To()
		}
		judge.AddOutcome(routes[i/4%4], version, gtcanary.NewOutcome(false, 10*time.Millisecond))
		f := NewFindings("", judge.AlarmLevel(), judge.StepCompared(), judge.HasTraffic(), 2, 2)
		if next, changed := Advance(s, m, f, now); changed {
			s = next
			judge.StartStep()
		}
	}
	g.Expect(s.Phase()).To(gomega.Equal(Watching), "share %v", s.Share())
}
