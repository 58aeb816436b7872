package gtedge

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/request/gtcall"
	"godwittide/core/version/gtconfig"
)

// A retry has what is left of the target, not all of it, and a request that is late must
// not count as one without a target.
func TestTargetRunsDownWithTime(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg, problems := gtconfig.Merge([]gtconfig.File{gtconfig.NewFile("f", []gtconfig.Entry{
		gtconfig.NewEntry("f", 1, "service", "s", "timeout", gtconfig.StringValue("1s")),
		gtconfig.NewEntry("f", 2, "route", "r", "service", gtconfig.StringValue("s")),
		gtconfig.NewEntry("f", 3, "route", "r", "path", gtconfig.StringValue("/")),
		gtconfig.NewEntry("f", 4, "route", "r", "target", gtconfig.StringValue("250ms")),
	})})
	g.Expect(problems).To(gomega.BeEmpty())
	start := time.Unix(1000, 0)
	now := start
	e := &Edge{Now: func() time.Time { return now }}
	c := gtcall.New("1", "GET", "/").WithDueAt(cfg.Routes()[0].DueAt(start))
	for elapsed, left := range map[time.Duration]time.Duration{0: 250 * time.Millisecond, 100 * time.Millisecond: 150 * time.Millisecond, 300 * time.Millisecond: -50 * time.Millisecond} {
		now = start.Add(elapsed)
		g.Expect(e.remainingTarget(c)).To(gomega.Equal(left))
	}
	now = start.Add(250 * time.Millisecond)
	g.Expect(e.remainingTarget(c)).To(gomega.BeNumerically("<", 0))
	g.Expect(e.remainingTarget(gtcall.New("1", "GET", "/"))).To(gomega.BeZero())
	g.Expect(gtconfig.Route{}.DueAt(start).IsZero()).To(gomega.BeTrue())
}
