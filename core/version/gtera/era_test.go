package gtera

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a revision that was given out again and counts as newer than one of a later
// era.
func TestNumbersCompareByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		eraA, eraB := rapid.Int64Range(0, MaxEra).Draw(t, "era a"), rapid.Int64Range(0, MaxEra).Draw(t, "era b")
		revA, revB := rapid.Int64Range(1, MaxRevision).Draw(t, "revision a"), rapid.Int64Range(1, MaxRevision).Draw(t, "revision b")
		a, errA := Join(eraA, revA)
		b, errB := Join(eraB, revB)
		g.Expect(errA).NotTo(gomega.HaveOccurred())
		g.Expect(errB).NotTo(gomega.HaveOccurred())
		g.Expect(Era(a)).To(gomega.Equal(eraA))
		g.Expect(Revision(a)).To(gomega.Equal(revA))
		g.Expect(a < b).To(gomega.Equal(eraA < eraB || eraA == eraB && revA < revB))
	})
}

func TestNumbersOutOfRangeAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, v := range [][2]int64{{-1, 1}, {0, -1}, {MaxEra + 1, 1}, {0, MaxRevision + 1}} {
		_, err := Join(v[0], v[1])
		g.Expect(err).To(gomega.HaveOccurred(), "%v", v)
	}
	none, err := Join(7, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(none).To(gomega.BeZero())
}

func TestOnlyAKnownEraRises(t *testing.T) {
	g := gomega.NewWithT(t)
	var rises [][2]int64
	l := &Latest{OnRise: func(from, to int64) { rises = append(rises, [2]int64{from, to}) }}
	_, known := l.Era()
	g.Expect(known).To(gomega.BeFalse())
	for _, era := range []int64{3, 3, 5, 4, 5, 6} {
		g.Expect(l.See(era)).To(gomega.Equal(era == 4), "era %d", era)
	}
	g.Expect(rises).To(gomega.Equal([][2]int64{{3, 5}, {5, 6}}))
	era, known := l.Era()
	g.Expect(era).To(gomega.BeEquivalentTo(6))
	g.Expect(known).To(gomega.BeTrue())
}
