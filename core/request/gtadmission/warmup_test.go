package gtadmission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtconfig"
)

// Guards against routing too many requests to a backend server that is warming
// up: its slots are idle, so that its load seems low, yet it refuses most
// requests while the warm servers have room for them.
func TestFewRequestsAreRefusedDuringWarmUp(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		nodes           = 6
		rate            = 13
		requestsPerStep = 2
		serviceTime     = 20 * time.Millisecond
		duration        = 6 * time.Second
	)
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	names := []string{"warming-up", "warm-1", "warm-2"}
	var list []gtmember.Record
	gates := map[string]*Gate{}
	for _, name := range names {
		list = append(list, gtmember.NewRecord(name, "z", "", "").WithBackend("s", "1", 9).WithState(gtmember.Ready))
		gates[name] = &Gate{Now: clock, Slots: 9, Fixed: true}
	}
	gates["warming-up"].LimitWarmUpRate(rate, time.Minute)
	rnd := rand.New(rand.NewPCG(1, 1))
	var routers []*gtroute.Router
	for range nodes {
		routers = append(routers, &gtroute.Router{Now: clock, Rand: rnd.Float64, Zone: "z", Instances: func(string) []gtmember.Record { return list }})
	}
	cfg, problems := gtconfig.Merge([]gtconfig.File{gtconfig.NewFile("x", []gtconfig.Entry{
		gtconfig.NewEntry("x", 1, "service", "s", "timeout", gtconfig.StringValue("1s")),
	})})
	g.Expect(problems).To(gomega.BeEmpty())
	type request struct {
		until  time.Time
		name   string
		router *gtroute.Router
		ticket *Ticket
	}
	var running []request
	sent, refused, ranWarmingUp := 0, 0, 0
	for start := now; now.Sub(start) < duration; now = now.Add(10 * time.Millisecond) {
		var unfinished []request
		for _, r := range running {
			if now.Before(r.until) {
				unfinished = append(unfinished, r)
				continue
			}
			r.ticket.Done("r", serviceTime, Succeeded)
			r.router.End(r.name, "r", gtkind.None, gates[r.name].Load("r"))
		}
		running = unfinished
		for range requestsPerStep {
			rt := routers[rnd.IntN(nodes)]
			to, err := rt.Pick(cfg, gtroute.NewQuery("s"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			name := to.Instance()
			sent++
			rt.Begin(name)
			ticket, err := gates[name].Enter(gtconfig.Normal, time.Time{}, now.Add(time.Second))
			if err != nil {
				refused++
				rt.End(name, "r", gtkind.Of(err), gates[name].Load("r"))
				continue
			}
			if name == "warming-up" {
				ranWarmingUp++
			}
			running = append(running, request{now.Add(serviceTime), name, rt, ticket})
		}
	}
	t.Logf("%d requests sent, %d refused, %d ran on the server that is warming up", sent, refused, ranWarmingUp)
	g.Expect(refused).To(gomega.BeNumerically("<", sent/20))
	g.Expect(ranWarmingUp).To(gomega.BeNumerically(">=", int(duration/time.Second)), "the server that is warming up gets at least one request per second")
}
