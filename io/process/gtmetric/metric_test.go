package gtmetric

import (
	"bytes"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
)

// The buckets of a histogram are cumulative, with bounds in seconds.
func TestHistogramIsCumulative(t *testing.T) {
	g := gomega.NewWithT(t)
	m := New()
	bounds := tally.DurationBuckets{10 * time.Millisecond, 100 * time.Millisecond}
	h := m.Scope().Tagged(map[string]string{"kind": "none"}).Histogram("latency", bounds)
	for _, d := range []time.Duration{time.Millisecond, 50 * time.Millisecond, time.Second} {
		h.RecordDuration(d)
	}
	m.Close()
	var text bytes.Buffer
	g.Expect(m.Write(&text)).To(gomega.Succeed())
	g.Expect(text.String()).To(gomega.ContainSubstring(`godwittide_latency_bucket{kind="none",le="0.01"} 1`))
	g.Expect(text.String()).To(gomega.ContainSubstring(`godwittide_latency_bucket{kind="none",le="0.1"} 2`))
	g.Expect(text.String()).To(gomega.ContainSubstring(`godwittide_latency_bucket{kind="none",le="+Inf"} 3`))
}
