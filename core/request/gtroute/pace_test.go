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

// ending is a request that ends at a time.
type ending struct {
	at     time.Time
	server int
	began  time.Time
	sender int
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(v any)        { *e = append(*e, v.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// slowServer plays 30 s of a steady load from three zones on a server in each,
// of which the first takes five times as long between the 10th and the 20th
// second. It returns the part of the requests of that time that took over twice
// the usual, and the part that the slow server got in the last five seconds.
func slowServer(seed uint64, told bool) (late, back float64) {
	const (
		work  = 100 * time.Millisecond
		every = 10 * time.Millisecond
		slots = 9
		slow  = 5
	)
	r := rand.New(rand.NewPCG(seed, 9))
	start := time.Unix(1000, 0)
	now := start
	clock := func() time.Time { return now }
	var list []gtmember.Record
	var senders []*Router
	zones := []string{"z1", "z2", "z3"}
	for _, z := range zones {
		list = append(list, gtmember.NewRecord("in-"+z, z, "", "").WithBackend("s", "1", slots))
		senders = append(senders, &Router{Now: clock, Rand: r.Float64, Zone: z})
	}
	busy := make([]int, len(list))
	paces := make([]time.Duration, len(list))
	var open endings
	counted, over, tail, tailSlow := 0, 0, 0, 0
	isSlow := func(t time.Time) bool { s := t.Sub(start); return s >= 10*time.Second && s < 20*time.Second }
	finish := func(e ending) {
		now = e.at
		took := e.at.Sub(e.began)
		busy[e.server]--
		paces[e.server] += (took - paces[e.server]) / 5
		l := NewLoad(busy[e.server], slots)
		if told {
			l = l.WithPace(paces[e.server])
		}
		senders[e.sender].End(list[e.server].Instance(), "r", gtkind.None, l)
		if isSlow(e.began) {
			counted++
			if took > 2*work*3/2 {
				over++
			}
		}
	}
	for t := start; t.Sub(start) < 30*time.Second; t = t.Add(every) {
		for len(open) > 0 && open[0].at.Before(t) {
			finish(heap.Pop(&open).(ending))
		}
		now = t
		sender := r.IntN(len(senders))
		to := senders[sender].balance(list, "r").r
		i := slices.IndexFunc(list, func(m gtmember.Record) bool { return m.Instance() == to.Instance() })
		senders[sender].Begin(to.Instance())
		busy[i]++
		took := time.Duration(float64(work) * (0.7 + 0.6*r.Float64()))
		if i == 0 && isSlow(t) {
			took *= slow
		}
		heap.Push(&open, ending{t.Add(took), i, t, sender})
		if t.Sub(start) >= 25*time.Second {
			tail++
			if i == 0 {
				tailSlow++
			}
		}
	}
	return float64(over) / float64(counted), float64(tailSlow) / float64(tail)
}

// One server of three that turns slow loses its zone's requests to the others
// and gets them back when it is well. By load alone, it keeps them as long as
// it has a slot left.
func TestSlowServerLosesItsZonesRequests(t *testing.T) {
	losesRequests(t, slowServer)
}

// losesRequests plays a bad server of three, and expects that with all that its
// node tells fewer than half as many requests suffer from it as by load alone,
// and that it has a quarter of all again once it is well.
func losesRequests(t *testing.T, play func(seed uint64, told bool) (bad, back float64)) {
	t.Helper()
	g := gomega.NewWithT(t)
	var bad, naive, back float64
	const seeds = 20
	for seed := range uint64(seeds) {
		with, again := play(seed, true)
		without, _ := play(seed, false)
		bad, back, naive = bad+with/seeds, back+again/seeds, naive+without/seeds
	}
	t.Logf("bad %.3f, by load alone %.3f; the server's part once it is well %.3f", bad, naive, back)
	g.Expect(bad).To(gomega.BeNumerically("<", naive/2))
	g.Expect(back).To(gomega.BeNumerically(">", 0.25))
}
