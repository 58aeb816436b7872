package gtheap

import (
	"testing"

	"github.com/onsi/gomega"
)

// A limit below what is in use makes the runtime collect all the time, and one far above it
// lets the memory of a node grow to a multiple of that.
func TestLimitStaysNearWhatIsInUse(t *testing.T) {
	g := gomega.NewWithT(t)
	const mib, most = int64(1 << 20), int64(60 << 20)
	for live := int64(0); live < 100*mib; live += mib / 2 {
		const other = 5 * mib
		limit := NewUsage(live, other).Limit(most)
		g.Expect(limit).To(gomega.BeNumerically("<=", most))
		if limit == most {
			continue
		}
		garbage := limit - live - other
		g.Expect(garbage).To(gomega.BeNumerically(">=", minHeadroom), "room for garbage")
		g.Expect(garbage).To(gomega.BeNumerically(">=", live/2), "at most two collections for each time that the heap is allocated anew")
		g.Expect(garbage).To(gomega.BeNumerically("<=", max(minHeadroom, live/2)+stepBytes))
	}
	g.Expect(NewUsage(3*mib, 5*mib+1).Limit(most)).To(gomega.Equal(NewUsage(3*mib, 6*mib).Limit(most)), "small differences change nothing")
}
