package gtmove

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Two goroutines that merge successive states of a move enter them in the index outside
// the lock of the states: the older one stayed there for good, and a rolled back version
// counted as one on trial.
func TestOlderStateOfAMoveDoesNotReplaceItsRollback(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	table := &Table{Now: func() time.Time { return now }}
	running := NewState("m.s.*.2", 3, Running, 0.25, "", now, now, now)
	rolledBack := NewState("m.s.*.2", 4, RolledBack, 0, "faults", now, now.Add(time.Second), now.Add(time.Second))
	table.Merge(rolledBack)
	table.latest.add(running) // the end of a Merge that began before the other one
	g.Expect(table.IsRolledBack("s", "2")).To(gomega.BeTrue())
}
