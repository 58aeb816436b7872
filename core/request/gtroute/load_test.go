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

// config returns a configuration with the service "s" and the entries in more.
func config(g *gomega.WithT, more ...gtconfig.Entry) *gtconfig.Config {
	entries := append([]gtconfig.Entry{entry("service", "s", "timeout", "1s")}, more...)
	cfg, problems := gtconfig.Merge([]gtconfig.File{gtconfig.NewFile("x.toml", entries)})
	g.Expect(problems).To(gomega.BeEmpty())
	return cfg
}

// simulateFlapping simulates a steady load on two instances, one of which fails
// with kind k during the first second of each period of 1.5 s. It returns the time
// from its last recovery to its next request, and the number of failed attempts.
func simulateFlapping(seed uint64, k gtkind.Kind) (idle time.Duration, failed int) {
	const (
		step    = 30 * time.Millisecond
		period  = 1500 * time.Millisecond
		outage  = time.Second
		periods = 8
		limit   = time.Minute
	)
	start := time.Unix(1000, 0)
	now := start
	rt := &Router{Now: func() time.Time { return now }, Rand: rand.New(rand.NewPCG(seed, 1)).Float64, Zone: "z1"}
	list := []gtmember.Record{
		gtmember.NewRecord("flapping", "z1", "", "").WithBackend("s", "1", 10),
		gtmember.NewRecord("healthy", "z1", "", "").WithBackend("s", "1", 10),
	}
	recoveredAt := start.Add((periods-1)*period + outage)
	for ; now.Sub(recoveredAt) < limit; now = now.Add(step) {
		r := rt.balanceList(list, "r").record
		rt.Begin(r.Instance())
		if r.Instance() == "healthy" {
			rt.End(r.Instance(), "r", gtkind.None, Load{})
			continue
		}
		if now.Before(recoveredAt) && now.Sub(start)%period < outage {
			failed++
			rt.End(r.Instance(), "r", k, Load{})
			continue
		}
		rt.End(r.Instance(), "r", gtkind.None, Load{})
		if !now.Before(recoveredAt) {
			break
		}
	}
	return now.Sub(recoveredAt), failed
}

// An instance whose node responds that its backend server is down is probed again
// soon, because the error response costs callers no time. An unresponsive instance,
// which does cost them time, is ejected for longer.
func TestRecoveredServerIsUsedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	var down, unresponsive time.Duration
	for seed := range uint64(500) {
		idle, failed := simulateFlapping(seed, gtkind.Down)
		down = max(down, idle)
		g.Expect(failed).To(gomega.BeNumerically("<=", 8*3), "seed %d", seed)
		idle, _ = simulateFlapping(seed, gtkind.Unresponsive)
		unresponsive = max(unresponsive, idle)
	}
	t.Logf("longest time without a request after the recovery: down %s, unresponsive %s", down, unresponsive)
	g.Expect(down).To(gomega.BeNumerically("<=", 2*time.Second))
	g.Expect(unresponsive).To(gomega.BeNumerically("<=", maxEjection+time.Second))
}

// If every server is full, requests stay in their zone unless another zone has room
// or a much shorter queue. Routing to whichever server is slightly less loaded would
// send about half of them to another zone without a gain.
func TestFullServersKeepRequestsInTheirZone(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(3, 4))
	list := []gtmember.Record{
		gtmember.NewRecord("a1", "z1", "", "").WithBackend("s", "1", 10),
		gtmember.NewRecord("b1", "z2", "", "").WithBackend("s", "1", 10),
	}
	countCrossZone := func(remoteBusy func() int) int {
		rt := &Router{Now: func() time.Time { return now }, Rand: r.Float64, Zone: "z1"}
		count := 0
		for range 1000 {
			for i, busy := range []int{12 + r.IntN(5), remoteBusy()} {
				rt.Begin(list[i].Instance())
				rt.End(list[i].Instance(), "r", gtkind.None, NewLoad(busy, 10))
			}
			if to := rt.balanceList(list, "r").record; to.Instance() == "b1" {
				count++
			}
		}
		return count
	}
	g.Expect(countCrossZone(func() int { return 12 + r.IntN(5) })).To(gomega.BeZero())
	g.Expect(countCrossZone(func() int { return 9 })).To(gomega.Equal(1000), "the other zone has room")
	g.Expect(countCrossZone(func() int { return 30 })).To(gomega.BeZero())
}

// A rejected request is retried only on a server that may have room, at least in
// its admission queue.
func TestRejectedRequestIsNotRetriedOnFullServers(t *testing.T) {
	g := gomega.NewWithT(t)
	list := []gtmember.Record{
		gtmember.NewRecord("a1", "z1", "", "").WithBackend("s", "1", 10).WithState(gtmember.Ready),
		gtmember.NewRecord("b1", "z2", "", "").WithBackend("s", "1", 10).WithState(gtmember.Ready),
	}
	cfg := config(g)
	rt := &Router{
		Now: func() time.Time { return time.Unix(1000, 0) }, Rand: func() float64 { return 0.5 }, Zone: "z1",
		Instances: func(string) []gtmember.Record { return list },
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

// In a move from all other versions, the new version gets no requests while its
// share is 0 and all of them when it is 1: it is not one of the others.
func TestMoveFromAllOtherVersions(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := config(g, entry("move", "m", "service", "s"), entry("move", "m", "from", gtconfig.OtherVersions),
		entry("move", "m", "to", "v3"), entry("move", "m", "within", "20s"))
	list := []gtmember.Record{
		gtmember.NewRecord("a1", "z1", "", "").WithBackend("s", "v1", 10).WithState(gtmember.Ready),
		gtmember.NewRecord("a2", "z1", "", "").WithBackend("s", "v2", 10).WithState(gtmember.Ready),
		gtmember.NewRecord("a3", "z1", "", "").WithBackend("s", "v3", 10).WithState(gtmember.Ready),
	}
	share := 0.0
	rt := &Router{
		Now: func() time.Time { return time.Unix(1000, 0) }, Rand: rand.New(rand.NewPCG(5, 6)).Float64, Zone: "z1",
		Instances: func(string) []gtmember.Record { return list }, MoveShare: func(gtconfig.Move) float64 { return share },
	}
	countVersions := func() map[string]int {
		counts := map[string]int{}
		for range 300 {
			r, err := rt.Pick(cfg, NewQuery("s"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			counts[r.Version()]++
		}
		return counts
	}
	g.Expect(countVersions()).To(gomega.And(gomega.HaveLen(2), gomega.Not(gomega.HaveKey("v3"))))
	share = 1
	g.Expect(countVersions()).To(gomega.Equal(map[string]int{"v3": 300}))
}
