package gtsoak

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtusage"
)

// Guards against a check that passes over a token of two holders, a window with two
// different counts, or counts that are off.
func TestWrongUsageIsFound(t *testing.T) {
	from := time.Unix(1_700_000_000, 0)
	k := gtusage.NewWindows(usageWindow).At(from) + 1
	right, wrong := map[string]int{}, map[string]int{"a0": 3}
	for name, c := range map[string]struct {
		calls   []usageCall
		finding string
	}{
		"right":       {[]usageCall{{"n1", 1, k, right, false}, {"n2", 2, k, right, false}}, ""},
		"two holders": {[]usageCall{{"n1", 1, k, right, false}, {"n2", 1, k, right, false}}, "was used by n1 and n2"},
		"two counts":  {[]usageCall{{"n1", 1, k, wrong, false}, {"n2", 2, k, right, false}}, "was reported with the counts"},
		"off":         {[]usageCall{{"n1", 1, k, wrong, false}}, "3 requests of a0, and 0 ran"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := &soakRun{duty: &dutyAddress{calls: c.calls}}
			r.checkUsage(from, from.Add(time.Minute))
			g.Expect(r.report.Windows).To(gomega.Equal(1))
			if c.finding == "" {
				g.Expect(r.report.Violations).To(gomega.BeEmpty())
			} else {
				g.Expect(r.report.Violations).To(gomega.ConsistOf(gomega.ContainSubstring(c.finding)))
			}
		})
	}
}
