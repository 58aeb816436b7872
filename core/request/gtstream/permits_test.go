package gtstream

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a crowd of bodies that stop short of their end and hold all slots: with the
// naive rule, a slot for whoever comes, an ordinary request finds none.
func TestBodiesOnTheirWayLeaveSlotsToOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	for slots, want := range map[int]int{1: 0, 2: 1, 3: 1, 10: 5} {
		p := &Permits{}
		got := 0
		for range 60 {
			if p.TryAcquire(slots) {
				got++
			}
		}
		g.Expect(got).To(gomega.Equal(want), "%d slots", slots)
		if got > 0 {
			p.Release()
			g.Expect(p.TryAcquire(slots)).To(gomega.BeTrue())
		}
		g.Expect(p.HasFree(slots)).To(gomega.BeFalse())
		g.Expect(p.TryAcquire(slots)).To(gomega.BeFalse())
		g.Expect(p.TryAcquire(slots+2)).To(gomega.BeTrue(), "the limit of the gate has risen")
	}
}
