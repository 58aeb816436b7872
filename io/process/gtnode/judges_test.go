package gtnode

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/version/gtcanary"
)

// The clock of a machine was set back between two starts of its node: its reports were
// ignored as older than those of the first process, and the share was not raised for ten
// minutes.
func TestReportsAfterAClockStepAreNotSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(10000, 0)
	j := &judges{now: func() time.Time { return now }, raised: make(chan struct{}, 1)}
	report := func(start uint64) gtcanary.Report {
		return gtcanary.NewReport("i", start, "2", map[string]gtcanary.Counts{})
	}
	j.addReport(report(2_000_000))
	for range 60 {
		now = now.Add(time.Second)
		j.addReport(report(1_990_000))
	}
	g.Expect(j.silent([]string{"i"}, "2")).To(gomega.BeEmpty())
}
