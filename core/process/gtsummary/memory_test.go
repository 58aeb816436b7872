package gtsummary

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The summaries of the largest fleet must fit beside a node's other tables: 15 zones, 2,000
// services in each, and 1,067 instances in the own zone. All control work has 256 MB.
func TestTableIsBoundedInMemoryAtItsLimits(t *testing.T) {
	g := gomega.NewWithT(t)
	read := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := read()
	now := start
	table := &Table{Now: func() time.Time { return now }}
	for zone := range 15 {
		for sender := range ZoneSenders {
			var list []Service
			for i := range 2000 {
				list = append(list, NewService(fmt.Sprintf("service-%d", i), 10, 30).WithTime(NewRouteTime(uint32(i), time.Second, 8)))
			}
			table.MergeZone(NewZone(fmt.Sprint("z", zone), uint32(sender), 1, list))
		}
	}
	for i := range 1067 {
		times := make([]RouteTime, MaxRoutes)
		table.MergeInstance(NewInstance(fmt.Sprintf("instance-%d", i), 1, 3, 9).WithTimes(times))
	}
	held := read() - before
	t.Logf("%.1f MB", float64(held)/1e6)
	g.Expect(held).To(gomega.BeNumerically("<", 32<<20), "an eighth of the bound for control")
	runtime.KeepAlive(table)
}
