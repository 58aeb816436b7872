package gtnode

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/version/gtcanary"
)

// A driver that knows as many instances as it keeps goes on learning their counts.
func TestReportsOfKnownInstancesStayCurrent(t *testing.T) {
	g := gomega.NewWithT(t)
	j := judges{now: time.Now}
	report := func(i int, total uint64) gtcanary.Report {
		return gtcanary.NewReport(fmt.Sprint(i), 1, "1", map[string]gtcanary.Counts{"r": gtcanary.NewCounts(total, 0, nil)})
	}
	for i := range maxReports + 5 {
		j.addReport(report(i, 1))
	}
	g.Expect(j.latest).To(gomega.HaveLen(maxReports))
	j.addReport(report(7, 2))
	g.Expect(j.latest["7"].report.Total()).To(gomega.Equal(uint64(2)))
}
