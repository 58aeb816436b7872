package gtroute

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
)

// simulatePartition simulates a node that can't reach any backend server of a
// service for 5 s; an attempt to connect takes 1 s to fail. It returns the number
// of requests up to the first one served, how many of them waited for such an
// attempt, and the time from the end of the partition to the first request served.
func simulatePartition(g *gomega.WithT, seed uint64) (requests, waited int, recovery time.Duration) {
	const (
		partition   = 5 * time.Second
		dialTimeout = time.Second
		step        = 10 * time.Millisecond
		limit       = 10 * time.Second
	)
	start := time.Unix(1000, 0)
	now := start
	var list []gtmember.Record
	for _, name := range []string{"a", "b", "c", "d"} {
		list = append(list, gtmember.NewRecord(name, "remote", "", "").WithBackend("s", "1", 10).WithState(gtmember.Ready))
	}
	rt := &Router{
		Now: func() time.Time { return now }, Rand: rand.New(rand.NewPCG(seed, 9)).Float64, Zone: "local",
		Instances: func(string) []gtmember.Record { return list },
	}
	cfg := config(g)
	type attempt struct {
		instance string
		endsAt   time.Time
	}
	var attempts []attempt
	for ; now.Sub(start) < limit; now = now.Add(step) {
		var pending []attempt
		for _, a := range attempts {
			if now.Before(a.endsAt) {
				pending = append(pending, a)
				continue
			}
			rt.End(a.instance, "r", gtkind.Refused, Load{})
		}
		attempts = pending
		requests++
		to, err := rt.Pick(cfg, NewQuery("s"))
		if err != nil {
			continue
		}
		rt.Begin(to.Instance())
		if now.Sub(start) >= partition {
			rt.End(to.Instance(), "r", gtkind.None, NewLoad(1, 10))
			return requests, waited, now.Sub(start) - partition
		}
		waited++
		attempts = append(attempts, attempt{to.Instance(), now.Add(dialTimeout)})
	}
	return requests, waited, limit
}

// If a node can't reach any server of a service, requests fail at once after the
// first attempts instead of each waiting for a connection to time out.
func TestPartitionedNodeFailsFast(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(20) {
		requests, waited, recovery := simulatePartition(g, seed)
		t.Logf("%d requests, %d waited, first served %s after the partition", requests, waited, recovery)
		// All requests of the first second wait; of the later ones, one in ten may
		// wait as a probe.
		const first = 100
		g.Expect(waited-first).To(gomega.BeNumerically("<=", (requests-first)/10), "of %d", requests)
		g.Expect(recovery).To(gomega.BeNumerically("<=", time.Second+10*time.Millisecond))
	}
}

// A server that failed a request after it was reached is not treated as
// unreachable: it gets the next request even with another one in flight.
func TestReachableServerIsNotProbed(t *testing.T) {
	g := gomega.NewWithT(t)
	list := []gtmember.Record{gtmember.NewRecord("a", "z", "", "").WithBackend("s", "1", 10).WithState(gtmember.Ready)}
	rt := &Router{Now: func() time.Time { return time.Unix(1000, 0) }, Rand: func() float64 { return 0 }, Zone: "z"}
	for _, k := range []gtkind.Kind{gtkind.ConnectionLost, gtkind.MismatchedResponse, gtkind.Down} {
		rt.Begin("a")
		rt.Begin("a")
		rt.End("a", "r", k, Load{})
		g.Expect(rt.balanceList(list, "r").probing).To(gomega.BeFalse(), k.String())
		rt.End("a", "r", gtkind.None, Load{})
	}
}

// An instance on which a request has met silence is avoided while its response is awaited,
// and also when that ends at its deadline: waiting longer than before must not keep a dead
// machine in use.
func TestSilentInstanceIsAvoided(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	list := []gtmember.Record{
		gtmember.NewRecord("a", "z", "", "").WithBackend("s", "1", 10).WithState(gtmember.Ready),
		gtmember.NewRecord("b", "z", "", "").WithBackend("s", "1", 10).WithState(gtmember.Ready),
	}
	rt := &Router{
		Now: func() time.Time { return now }, Rand: rand.New(rand.NewPCG(1, 9)).Float64, Zone: "z",
		Instances: func(string) []gtmember.Record { return list },
	}
	cfg := config(g)
	picks := func() int {
		n := 0
		for range 100 {
			to, err := rt.Pick(cfg, NewQuery("s"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if to.Instance() == "a" {
				n++
			}
		}
		return n
	}
	g.Expect(picks()).To(gomega.BeNumerically(">", 20))
	rt.Begin("a")
	rt.Silent("a")
	g.Expect(picks()).To(gomega.BeZero(), "a response is awaited")
	for _, k := range []gtkind.Kind{gtkind.Deadline, gtkind.Canceled} {
		rt.End("a", "r", k, Load{})
		g.Expect(picks()).To(gomega.BeZero(), k.String())
		rt.Begin("a")
	}
	rt.End("a", "r", gtkind.None, NewLoad(0, 10))
	g.Expect(picks()).To(gomega.BeNumerically(">", 20), "it has answered")
}
