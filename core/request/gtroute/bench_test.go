package gtroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
)

// benchRouter returns a router that has had responses of 138 servers in four zones.
func benchRouter() *Router {
	start := time.Unix(1000, 0)
	var list []gtmember.Record
	for i := range 138 {
		list = append(list, gtmember.NewRecord(fmt.Sprintf("sidecar-midlands-%d", i), fmt.Sprintf("z%d", i%4), "", "").WithBackend("s", "1", 9).WithState(gtmember.Ready))
	}
	rt := &Router{
		Now: func() time.Time { return start }, Rand: rand.New(rand.NewPCG(1, 9)).Float64, Zone: "z1",
		Instances: func(string) []gtmember.Record { return list },
	}
	for i, r := range list {
		rt.Begin(r.Instance())
		rt.End(r.Instance(), "r", gtkind.None, NewLoad(i%9, 9).WithServiceTime(100*time.Millisecond))
	}
	return rt
}

// The choice must cost under 5 us at 138 candidates.
func BenchmarkPick(b *testing.B) { benchmarkPick(b, benchRouter()) }

// The same by estimated time to completion, with summaries of the other zones.
func BenchmarkPickByEstimate(b *testing.B) {
	rt := benchRouter()
	for i, r := range rt.Instances("s") {
		c := NewCapacity(0.5+1.2*float64(i)/137, 0, 0).WithServiceTime(100 * time.Millisecond)
		rt.Begin(r.Instance())
		rt.End(r.Instance(), "r", gtkind.None, NewLoad(i%9, 9).WithServiceTime(100*time.Millisecond).WithCapacity(c))
	}
	rt.Spare = func(string, string) (Spare, bool) { return NewSpare(100, 300, rt.Now().Add(time.Second)), true }
	benchmarkPick(b, rt)
}

func benchmarkPick(b *testing.B, rt *Router) {
	cfg := config(gomega.NewWithT(b))
	q := NewQuery("s").WithRoute("r").WithTarget(250 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := rt.Pick(cfg, q); err != nil {
			b.Fatal(err)
		}
	}
}
