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

func entry(section, name, key, text string) gtconfig.Entry {
	return gtconfig.NewEntry("x.toml", 1, section, name, key, gtconfig.StringValue(text))
}

// config returns a configuration with the service "s" and what more names.
func config(g *gomega.WithT, more ...gtconfig.Entry) *gtconfig.Config {
	entries := append([]gtconfig.Entry{entry("service", "s", "timeout", "1s")}, more...)
	cfg, problems := gtconfig.Merge([]gtconfig.File{gtconfig.NewFile("x.toml", entries)})
	g.Expect(problems).To(gomega.BeEmpty())
	return cfg
}

// flap plays a steady load on two instances, one of which goes away for the
// first second of each period and returns. It returns the time from its last
// return to its next request, and the attempts that failed.
func flap(seed uint64, k gtkind.Kind) (unused time.Duration, failed int) {
	const (
		step    = 30 * time.Millisecond
		period  = 1500 * time.Millisecond
		away    = time.Second
		periods = 8
		limit   = time.Minute
	)
	start := time.Unix(1000, 0)
	now := start
	rt := &Router{Now: func() time.Time { return now }, Rand: rand.New(rand.NewPCG(seed, 1)).Float64, Zone: "z1"}
	list := []gtmember.Record{
		gtmember.NewRecord("flaps", "z1", "", "").WithBackend("s", "1", 10),
		gtmember.NewRecord("well", "z1", "", "").WithBackend("s", "1", 10),
	}
	returned := start.Add((periods-1)*period + away)
	for ; now.Sub(returned) < limit; now = now.Add(step) {
		r := rt.balance(list, "r").r
		rt.Begin(r.Instance())
		if r.Instance() == "well" {
			rt.End(r.Instance(), "r", gtkind.None, Load{})
			continue
		}
		if now.Before(returned) && now.Sub(start)%period < away {
			failed++
			rt.End(r.Instance(), "r", k, Load{})
			continue
		}
		rt.End(r.Instance(), "r", gtkind.None, Load{})
		if !now.Before(returned) {
			break
		}
	}
	return now.Sub(returned), failed
}

// A node that answers for a backend server that is down costs a caller nothing,
// so that it is asked again soon. What costs callers time is left alone for
// longer.
func TestServerThatReturnsIsUsedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	var down, silent time.Duration
	for seed := range uint64(500) {
		unused, failed := flap(seed, gtkind.Down)
		down = max(down, unused)
		g.Expect(failed).To(gomega.BeNumerically("<=", 8*3), "seed %d", seed)
		unused, _ = flap(seed, gtkind.Silent)
		silent = max(silent, unused)
	}
	t.Logf("longest without a request after the return: down %s, silent %s", down, silent)
	g.Expect(down).To(gomega.BeNumerically("<=", 2*time.Second))
	g.Expect(silent).To(gomega.BeNumerically("<=", ejectMax+time.Second))
}

// With every server full, requests stay in their zone unless another has room
// or a much shorter queue. Going to whichever is a hair less loaded moves about
// half of them between zones for nothing.
func TestFullServersKeepRequestsInTheirZone(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	seed := rand.New(rand.NewPCG(3, 4))
	list := []gtmember.Record{
		gtmember.NewRecord("a1", "z1", "", "").WithBackend("s", "1", 10),
		gtmember.NewRecord("b1", "z2", "", "").WithBackend("s", "1", 10),
	}
	crossings := func(far func() int) int {
		rt := &Router{Now: func() time.Time { return now }, Rand: seed.Float64, Zone: "z1"}
		crossed := 0
		for range 1000 {
			for i, busy := range []int{12 + seed.IntN(5), far()} {
				rt.Begin(list[i].Instance())
				rt.End(list[i].Instance(), "r", gtkind.None, NewLoad(busy, 10))
			}
			if r := rt.balance(list, "r").r; r.Instance() == "b1" {
				crossed++
			}
		}
		return crossed
	}
	g.Expect(crossings(func() int { return 12 + seed.IntN(5) })).To(gomega.BeZero())
	g.Expect(crossings(func() int { return 9 })).To(gomega.Equal(1000), "there is room")
	g.Expect(crossings(func() int { return 30 })).To(gomega.BeZero())
}

// After a refusal a request goes on only to a server that may have room, if
// only in its queue.
func TestRefusedRequestIsNotSentOnToFullServers(t *testing.T) {
	g := gomega.NewWithT(t)
	list := []gtmember.Record{
		gtmember.NewRecord("a1", "z1", "", "").WithBackend("s", "1", 10).WithState(gtmember.Ready),
		gtmember.NewRecord("b1", "z2", "", "").WithBackend("s", "1", 10).WithState(gtmember.Ready),
	}
	cfg := config(g)
	rt := &Router{
		Now: func() time.Time { return time.Unix(1000, 0) }, Rand: func() float64 { return 0.5 }, Zone: "z1",
		Service: func(string) []gtmember.Record { return list },
	}
	q := NewQuery("s").WithTried([]string{"a1"})
	r, err := rt.Pick(cfg, q)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Instance()).To(gomega.Equal("b1"))
	rt.Begin("b1")
	rt.End("b1", "r", gtkind.Full, NewLoad(14, 10))
	_, err = rt.Pick(cfg, q)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rt.Begin("b1")
	rt.End("b1", "r", gtkind.Full, NewLoad(15, 10))
	_, err = rt.Pick(cfg, q)
	g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Full))
}

// During a move from any other version, a version that has no share gets
// nothing, and the new one is not among the others.
func TestMoveFromAnyOtherVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := config(g, entry("move", "m", "service", "s"), entry("move", "m", "from", gtconfig.Others),
		entry("move", "m", "to", "v3"), entry("move", "m", "within", "20s"))
	list := []gtmember.Record{
		gtmember.NewRecord("a1", "z1", "", "").WithBackend("s", "v1", 10).WithState(gtmember.Ready),
		gtmember.NewRecord("a2", "z1", "", "").WithBackend("s", "v2", 10).WithState(gtmember.Ready),
		gtmember.NewRecord("a3", "z1", "", "").WithBackend("s", "v3", 10).WithState(gtmember.Ready),
	}
	share := 0.0
	rt := &Router{
		Now: func() time.Time { return time.Unix(1000, 0) }, Rand: rand.New(rand.NewPCG(5, 6)).Float64, Zone: "z1",
		Service: func(string) []gtmember.Record { return list }, Share: func(gtconfig.Move) float64 { return share },
	}
	picked := func() map[string]int {
		seen := map[string]int{}
		for range 300 {
			r, err := rt.Pick(cfg, NewQuery("s"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			seen[r.Version()]++
		}
		return seen
	}
	g.Expect(picked()).To(gomega.And(gomega.HaveLen(2), gomega.Not(gomega.HaveKey("v3"))))
	share = 1
	g.Expect(picked()).To(gomega.Equal(map[string]int{"v3": 300}))
}
