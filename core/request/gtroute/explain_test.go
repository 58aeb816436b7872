package gtroute

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

// explainRouter returns a router in zone z1 that fails the test when it draws a random
// number or counts a pick.
func explainRouter(t *testing.T, now *time.Time, list []gtmember.Record) *Router {
	return &Router{
		Now: func() time.Time { return *now }, Zone: "z1", Instances: func(string) []gtmember.Record { return list },
		Rand:       func() float64 { t.Error("an explanation drew a random number"); return 0 },
		OnMovePick: func(string, string, Reason) { t.Error("an explanation counted a pick") },
	}
}

func server(name, zone, version string) gtmember.Record {
	return gtmember.NewRecord(name, zone, "", "").WithBackend("s", version, 10).WithState(gtmember.Ready)
}

// An operator who is shown a wrong reason for an instance without requests looks for the
// fault in the wrong place.
func TestExplainTellsWhatExcludesEachInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	rt := explainRouter(t, &now, []gtmember.Record{
		server("idle", "z1", "1"), server("busy", "z1", "1"), server("full", "z1", "1"), server("ejected", "z1", "1"), server("new", "z1", "2"),
		server("leaving", "z1", "1").WithState(gtmember.Leaving), server("down", "z1", "1").WithState(gtmember.Down), server("drained", "z2", "1"), server("far", "z3", "1"),
	})
	for name, busy := range map[string]int{"idle": 1, "busy": 5, "full": 10} {
		rt.Begin(name)
		rt.End(name, "r", gtkind.None, NewLoad(busy, 10).WithCapacity(NewCapacity(1, 7, 0)))
	}
	rt.Begin("ejected")
	rt.End("ejected", "r", gtkind.Refused, Load{})
	cfg := config(g, entry("service", "s", "version", "1"), gtconfig.NewEntry("x.toml", 1, "zone", "z2", "out", gtconfig.BoolValue(true)))
	x, err := rt.Explain(cfg, NewQuery("s").WithRoute("r"), "z1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got := map[string]Exclusion{}
	for _, o := range x.Options() {
		got[o.Record().Instance()] = o.Exclusion()
	}
	g.Expect(got).To(gomega.Equal(map[string]Exclusion{
		"idle": NotExcluded, "busy": NotExcluded, "far": NotExcluded, "full": ExcludedFull, "ejected": ExcludedEjected, "new": ExcludedVersion,
		"leaving": ExcludedDrain, "down": ExcludedState, "drained": ExcludedZone,
	}))
	best := x.Options()[0]
	_, ok := best.Late()
	g.Expect(ok).To(gomega.BeFalse(), "no service time is known that could tell it")
	g.Expect([]any{best.Record().Instance(), best.IsBest(), best.Busy(), best.Limit(), best.Capacity().Concurrency()}).To(gomega.Equal([]any{"idle", true, 1, 10, 7.0}))
	for _, o := range x.Options() {
		if o.Exclusion() == ExcludedEjected {
			g.Expect(o.EjectedUntil()).To(gomega.Equal(now.Add(minEjection)))
		}
	}
	x, err = rt.Explain(cfg, NewQuery("s").WithRoute("r"), "z3")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(x.Options()[0].Record().Instance()).To(gomega.Equal("far"), "asked for zone z3")
}

// A version that gets no requests must not be shown as a candidate, and during a move both
// are with their shares.
func TestExplainTellsTheSharesOfAMove(t *testing.T) {
	for _, share := range []float64{0, 0.25, 1} {
		g := gomega.NewWithT(t)
		m := newMoveRouter(g, 1, 1, 1)
		now := time.Unix(1000, 0)
		rt := explainRouter(t, &now, m.instances)
		rt.MoveShare = func(gtconfig.Move) float64 { return share }
		x, err := rt.Explain(m.cfg, NewQuery("s"), "z1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, o := range x.Options() {
			want := NotExcluded
			if share == 0 && o.Record().Version() == "2" || share == 1 && o.Record().Version() == "1" {
				want = ExcludedVersion
			}
			g.Expect(o.Exclusion()).To(gomega.Equal(want), "version %s at share %v", o.Record().Version(), share)
		}
	}
}

// The best one by estimate is the one that most requests go to, and asking must change
// neither the choices that follow nor their counts.
func TestExplainChangesNoChoice(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := config(g)
	q := NewQuery("s").WithRoute("r").WithTarget(200 * time.Millisecond)
	run := func(ask bool) (picked []string, counts [3]uint64) {
		now := time.Unix(1000, 0)
		list := []gtmember.Record{server("slow", "z1", "1"), server("fast", "z1", "1")}
		rt := explainRouter(t, &now, list)
		draw := rand.New(rand.NewPCG(3, 5)).Float64
		asking := rt.Rand
		rt.Rand = draw
		for name, speed := range map[string]float64{"slow": 0.5, "fast": 2} {
			rt.Begin(name)
			d := time.Duration(float64(100*time.Millisecond) / speed)
			rt.End(name, "r", gtkind.None, NewLoad(2, 10).WithServiceTime(d).WithCapacity(NewCapacity(speed, 0, 0).WithServiceTime(d)))
		}
		for range 300 {
			now = now.Add(7 * time.Millisecond)
			if ask {
				rt.Rand = asking
				x, err := rt.Explain(cfg, q, "z1")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(x.IsByEstimate()).To(gomega.BeTrue())
				fast, ok := x.Options()[0].Late()
				g.Expect(ok).To(gomega.BeTrue())
				slow, _ := x.Options()[1].Late()
				g.Expect(fast).To(gomega.BeNumerically("<", slow))
				g.Expect(x.Options()[0].Record().Instance()).To(gomega.Equal("fast"))
				rt.Rand = draw
			}
			r, err := rt.Pick(cfg, q)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			picked = append(picked, r.Instance())
		}
		counts[0], counts[1], counts[2] = rt.Choices()
		return picked, counts
	}
	picked, counts := run(false)
	pickedAsked, countsAsked := run(true)
	g.Expect(pickedAsked).To(gomega.Equal(picked))
	g.Expect(countsAsked).To(gomega.Equal(counts))
}
