package gtroute

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
)

// request is a request in flight in the simulation.
type request struct {
	endsAt    time.Time
	server    int
	startedAt time.Time
	router    int
}

// requestHeap orders requests by the time at which they end.
type requestHeap []request

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].endsAt.Before(h[j].endsAt) }
func (h requestHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *requestHeap) Push(v any)        { *h = append(*h, v.(request)) }
func (h *requestHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulateSlowServer simulates a steady load over 30 s from three zones with one
// server each. From second 10 to 20 the first server is five times slower. It
// returns the share of requests of that time that took more than three times the
// mean service time, and the first server's share of requests in the last 5 s.
// Servers report their service time if report is set.
func simulateSlowServer(seed uint64, report bool) (slow, recovered float64) {
	const (
		meanTime   = 100 * time.Millisecond
		interval   = 10 * time.Millisecond
		slots      = 9
		slowFactor = 5
	)
	r := rand.New(rand.NewPCG(seed, 9))
	start := time.Unix(1000, 0)
	now := start
	clock := func() time.Time { return now }
	var list []gtmember.Record
	var routers []*Router
	zones := []string{"z1", "z2", "z3"}
	for _, z := range zones {
		list = append(list, gtmember.NewRecord("in-"+z, z, "", "").WithBackend("s", "1", slots))
		routers = append(routers, &Router{Now: clock, Rand: r.Float64, Zone: z})
	}
	busy := make([]int, len(list))
	serviceTimes := make([]time.Duration, len(list))
	var inFlight requestHeap
	total, late, tail, tailFirst := 0, 0, 0, 0
	isSlow := func(t time.Time) bool { s := t.Sub(start); return s >= 10*time.Second && s < 20*time.Second }
	finish := func(req request) {
		now = req.endsAt
		took := req.endsAt.Sub(req.startedAt)
		busy[req.server]--
		serviceTimes[req.server] += (took - serviceTimes[req.server]) / 5
		l := NewLoad(busy[req.server], slots)
		if report {
			l = l.WithServiceTime(serviceTimes[req.server])
		}
		routers[req.router].End(list[req.server].Instance(), "r", gtkind.None, l)
		if isSlow(req.startedAt) {
			total++
			if took > 2*meanTime*3/2 {
				late++
			}
		}
	}
	for t := start; t.Sub(start) < 30*time.Second; t = t.Add(interval) {
		for len(inFlight) > 0 && inFlight[0].endsAt.Before(t) {
			finish(heap.Pop(&inFlight).(request))
		}
		now = t
		router := r.IntN(len(routers))
		to := routers[router].balanceList(list, "r").record
		i := slices.IndexFunc(list, func(m gtmember.Record) bool { return m.Instance() == to.Instance() })
		routers[router].Begin(to.Instance())
		busy[i]++
		took := time.Duration(float64(meanTime) * (0.7 + 0.6*r.Float64()))
		if i == 0 && isSlow(t) {
			took *= slowFactor
		}
		heap.Push(&inFlight, request{t.Add(took), i, t, router})
		if t.Sub(start) >= 25*time.Second {
			tail++
			if i == 0 {
				tailFirst++
			}
		}
	}
	return float64(late) / float64(total), float64(tailFirst) / float64(tail)
}

// Requests move to other zones while the local server is slow, and return once it
// has recovered. Routing by load alone keeps them on the slow server as long as it
// is below its concurrency limit.
func TestSlowServerLosesItsZonesRequests(t *testing.T) {
	expectRequestsMove(t, simulateSlowServer)
}

// expectRequestsMove runs a simulation in which one server of three degrades and
// recovers, with and without reports of its service time and error rate. It expects
// that reports more than halve the share of affected requests, and that the server
// has more than a quarter of all requests after it has recovered.
func expectRequestsMove(t *testing.T, simulate func(seed uint64, report bool) (affected, recovered float64)) {
	t.Helper()
	g := gomega.NewWithT(t)
	var affected, byLoadOnly, recovered float64
	const seeds = 20
	for seed := range uint64(seeds) {
		with, share := simulate(seed, true)
		without, _ := simulate(seed, false)
		affected, recovered, byLoadOnly = affected+with/seeds, recovered+share/seeds, byLoadOnly+without/seeds
	}
	t.Logf("affected requests %.3f, by load alone %.3f; share of the recovered server %.3f", affected, byLoadOnly, recovered)
	g.Expect(affected).To(gomega.BeNumerically("<", byLoadOnly/2))
	g.Expect(recovered).To(gomega.BeNumerically(">", 0.25))
}
