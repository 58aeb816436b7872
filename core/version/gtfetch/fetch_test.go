package gtfetch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A peer freezes right after it has announced a version (review/5): the version is
// fetched from another one soon, not once the frozen one has timed out.
func TestFrozenAnnouncerHoldsNobodyUp(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	f := &Fetches{Now: func() time.Time { return now }}
	next := func() string {
		peer, _ := f.Next(4, []string{"a", "b", "c", "d", "e"})
		return peer
	}
	g.Expect(next()).To(gomega.BeEmpty(), "nothing was announced")
	f.Announced("frozen", 4)
	g.Expect(next()).To(gomega.BeEmpty(), "the version is active already")
	f.Announced("frozen", 5)
	g.Expect(next()).To(gomega.Equal("frozen"))
	f.Announced("b", 5)
	g.Expect(next()).To(gomega.BeEmpty(), "the first has some time")
	now = now.Add(Patience)
	g.Expect(next()).To(gomega.Equal("b"), "an announcer first")
	f.Ended("b")
	g.Expect(next()).To(gomega.Equal("a"), "b failed: another peer, though it has announced nothing")
	now = now.Add(Patience)
	g.Expect(next()).To(gomega.Equal("c"))
	now = now.Add(Patience)
	g.Expect(next()).To(gomega.BeEmpty(), "no more at a time")
	f.Ended("a")
	f.Ended("c")
	g.Expect(next()).To(gomega.Equal("d"))
	f.Ended("d")
	g.Expect(next()).To(gomega.Equal("e"))
	f.Ended("e")
	g.Expect(next()).To(gomega.BeEmpty(), "all have been asked")
	f.Announced("b", 5)
	g.Expect(next()).To(gomega.Equal("b"), "it announces the version again")
	f.Ended("b")
	f.Announced("c", 6)
	g.Expect(next()).To(gomega.Equal("c"), "a higher version")
	f.Announced("d", 5)
	f.Ended("c")
	g.Expect(next()).To(gomega.Equal("a"), "an announcement of a lower version doesn't count")
	_, ok := f.Next(6, nil)
	g.Expect(ok).To(gomega.BeFalse())
}
