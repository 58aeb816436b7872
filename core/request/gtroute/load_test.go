package gtroute

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
)

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
		r, _ := rt.balance(list)
		rt.Begin(r.Instance())
		if r.Instance() == "well" {
			rt.End(r.Instance(), gtkind.None, Load{})
			continue
		}
		if now.Before(returned) && now.Sub(start)%period < away {
			failed++
			rt.End(r.Instance(), k, Load{})
			continue
		}
		rt.End(r.Instance(), gtkind.None, Load{})
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
