package gtroute

import (
	"math/rand/v2"
	"testing"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
)

// greyServer plays 30 s of a steady load from three zones on a server in each,
// of which the first fails half of its answers between the 10th and the 20th
// second, in the usual time. It returns the part of the answers of that time
// that failed, and the part of the requests that the server gets in the last
// five seconds.
func greyServer(seed uint64, told bool) (failed, back float64) {
	const every = 5 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 11))
	start := time.Unix(1000, 0)
	now := start
	var list []gtmember.Record
	var senders []*Router
	for _, z := range []string{"z1", "z2", "z3"} {
		list = append(list, gtmember.NewRecord("in-"+z, z, "", "").WithBackend("s", "1", 9))
		senders = append(senders, &Router{Now: func() time.Time { return now }, Rand: r.Float64, Zone: z})
	}
	faults := map[string]*Faults{"in-z1": {}, "in-z2": {}, "in-z3": {}}
	counted, bad, tail, tailGrey := 0, 0, 0, 0
	for ; now.Sub(start) < 30*time.Second; now = now.Add(every) {
		grey := now.Sub(start) >= 10*time.Second && now.Sub(start) < 20*time.Second
		sender := senders[r.IntN(len(senders))]
		to := sender.balance(list, "r").r.Instance()
		fails := grey && to == "in-z1" && r.Float64() < 0.5
		faults[to].Add(fails, now)
		l := NewLoad(3, 9)
		if told {
			l = l.WithFault(faults[to].Share(now))
		}
		sender.Begin(to)
		sender.End(to, "r", gtkind.None, l)
		if grey {
			counted++
			if fails {
				bad++
			}
		}
		if now.Sub(start) >= 25*time.Second {
			tail++
			if to == "in-z1" {
				tailGrey++
			}
		}
	}
	return float64(bad) / float64(counted), float64(tailGrey) / float64(tail)
}

// One server of three that fails half of its answers loses its zone's requests
// to the others, and gets them back when it is well.
func TestGreyServerLosesItsZonesRequests(t *testing.T) { losesRequests(t, greyServer) }
