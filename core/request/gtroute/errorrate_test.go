package gtroute

import (
	"math/rand/v2"
	"testing"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
)

// simulateFailingServer simulates a steady load over 30 s from three zones with one
// server each. From second 10 to 20 the first server fails half of its requests at
// the usual service time. It returns the error rate over all servers in that time,
// and the first server's share of requests in the last 5 s. Servers report their
// error rate if report is set.
func simulateFailingServer(seed uint64, report bool) (failed, recovered float64) {
	const interval = 5 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 11))
	start := time.Unix(1000, 0)
	now := start
	var list []gtmember.Record
	var routers []*Router
	for _, z := range []string{"z1", "z2", "z3"} {
		list = append(list, gtmember.NewRecord("in-"+z, z, "", "").WithBackend("s", "1", 9))
		routers = append(routers, &Router{Now: func() time.Time { return now }, Rand: r.Float64, Zone: z})
	}
	errorRates := map[string]*ErrorRate{"in-z1": {}, "in-z2": {}, "in-z3": {}}
	total, errors, tail, tailFirst := 0, 0, 0, 0
	for ; now.Sub(start) < 30*time.Second; now = now.Add(interval) {
		failing := now.Sub(start) >= 10*time.Second && now.Sub(start) < 20*time.Second
		router := routers[r.IntN(len(routers))]
		to := router.balanceList(list, "r").record.Instance()
		fail := failing && to == "in-z1" && r.Float64() < 0.5
		errorRates[to].Add(fail, now)
		l := NewLoad(3, 9)
		if report {
			l = l.WithErrorRate(errorRates[to].Value(now))
		}
		router.Begin(to)
		router.End(to, "r", gtkind.None, l)
		if failing {
			total++
			if fail {
				errors++
			}
		}
		if now.Sub(start) >= 25*time.Second {
			tail++
			if to == "in-z1" {
				tailFirst++
			}
		}
	}
	return float64(errors) / float64(total), float64(tailFirst) / float64(tail)
}

// Requests move to other zones while the local server fails half of its requests,
// and return once it has recovered.
func TestFailingServerLosesItsZonesRequests(t *testing.T) {
	expectRequestsMove(t, simulateFailingServer)
}
