package gtmove

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/version/gtconfig"
)

// A rollback must outlive its order, and end with a later move to the same version.
func TestRolledBackVersionIsKnownWithoutItsMove(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	table := &Table{Now: func() time.Time { return now }}
	state := func(id string, phase Phase, updated time.Time) State {
		return NewState(id, 1, phase, 0, "", now, updated, updated)
	}
	table.Merge(state("a.b.s.t.*.1.2", RolledBack, now))
	table.Merge(state("r7.u.*.2", Running, now))
	table.AddHalt(NewHalt("r7.u.*.2", "i", "faults"))
	table.Merge(state("r8.v.1.2", RolledBack, now))
	g.Expect(table.IsRolledBack("s.t", "1.2")).To(gomega.BeTrue())
	g.Expect(table.IsRolledBack("s.t", "2")).To(gomega.BeFalse())
	g.Expect(table.IsRolledBack("s", "1.2")).To(gomega.BeFalse())
	g.Expect(table.IsRolledBack("u", "2")).To(gomega.BeTrue(), "halted")
	g.Expect(table.IsRolledBack("v", "2")).To(gomega.BeFalse(), "a move from a named version")
	table.Merge(state("r9.s.t.*.1.2", Running, now.Add(time.Second)))
	g.Expect(table.IsRolledBack("s.t", "1.2")).To(gomega.BeFalse(), "the operators try it again")
	table.Merge(state("r10.u.*.2", RolledBack, now.Add(time.Second)))
	now = now.Add(time.Hour)
	table.Prune(gtconfig.Empty(), time.Minute)
	g.Expect(table.IsRolledBack("u", "2")).To(gomega.BeFalse(), "the state is pruned")
}
