package gtthrottle

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/request/gtadmission"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtconfig"
)

const (
	serverSlots = 4
	// candidates is the number of servers of which a request goes to the least loaded.
	candidates  = 4
	serviceTime = 160 * time.Millisecond
	// serverRate is how many requests a simulated server runs in a second.
	serverRate = float64(serverSlots) / 0.16
)

var testFlow = NewFlow("s", gtconfig.Normal, false)

// fleet simulates nodes that send requests to servers with gates.
type fleet struct {
	now       time.Time
	throttles []*Throttle
	gates     []*gtadmission.Gate
	running   []*request
	rnd       *rand.Rand
	sent      int
	refused   int
	served    int
	throttled int
}

type request struct {
	ticket   *gtadmission.Ticket
	throttle *Throttle
	server   int
	endsAt   time.Time
}

func newFleet(nodes, servers int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(1, 2))}
	clock := func() time.Time { return f.now }
	for range nodes {
		f.throttles = append(f.throttles, &Throttle{Now: clock})
	}
	for range servers {
		f.gates = append(f.gates, &gtadmission.Gate{Now: clock, Slots: serverSlots, Fixed: true})
	}
	return f
}

// run offers requests to random nodes at a rate. Without throttling all are sent.
func (f *fleet) run(perSecond float64, d time.Duration, throttle bool) {
	f.sent, f.refused, f.served, f.throttled = 0, 0, 0, 0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		f.finish()
		for t := f.rnd.ExpFloat64(); t < perSecond/1000; t += f.rnd.ExpFloat64() {
			f.offer(f.throttles[f.rnd.IntN(len(f.throttles))], throttle)
		}
	}
}

func (f *fleet) finish() {
	var running []*request
	for _, r := range f.running {
		select {
		case <-r.ticket.Dropped():
			f.refused++
			f.record(r, true)
			continue
		case <-r.ticket.Granted():
			if r.endsAt.IsZero() {
				r.endsAt = f.now.Add(time.Duration(float64(serviceTime) * (0.8 + 0.4*f.rnd.Float64())))
			}
			if !f.now.Before(r.endsAt) {
				r.ticket.Done("r", serviceTime, gtadmission.Succeeded)
				f.served++
				f.record(r, false)
				continue
			}
		default:
		}
		running = append(running, r)
	}
	f.running = running
}

func (f *fleet) load(server int) gtroute.Load { return f.gates[server].Load("r") }

func (f *fleet) record(r *request, refused bool) {
	a := NewAnswer(testFlow, strconv.Itoa(r.server)).WithLoad(f.load(r.server))
	if refused {
		a = a.WithRefusal(100 * time.Millisecond)
	}
	r.throttle.Record(a)
}

func (f *fleet) offer(t *Throttle, throttle bool) {
	if _, ok := t.Admit(testFlow, "", time.Second); throttle && !ok {
		f.throttled++
		return
	}
	f.sent++
	server := f.rnd.IntN(len(f.gates))
	for range candidates - 1 {
		if other := f.rnd.IntN(len(f.gates)); f.load(other).Busy() < f.load(server).Busy() {
			server = other
		}
	}
	r := &request{throttle: t, server: server}
	var err error
	r.ticket, err = f.gates[server].Enter(gtadmission.NewRequest(gtconfig.Normal, f.now.Add(time.Second)).WithRoute("r").WithTarget(f.now.Add(300 * time.Millisecond)))
	if err != nil {
		if gtkind.Of(err) != gtkind.Full {
			panic(err)
		}
		f.refused++
		f.record(r, true)
		return
	}
	f.running = append(f.running, r)
}

// Guards against requests that are sent only to be refused: under lasting demand of 1.5
// times the capacity servers refuse a third, by the naive rule of sending all. Guards also
// against throttling on after the overload.
func TestServersRefuseFewUnderLastingOverload(t *testing.T) {
	const servers = 8
	for _, nodes := range []int{5, 78} {
		g := gomega.NewWithT(t)
		const capacity = servers * serverRate
		naive := newFleet(nodes, servers)
		naive.run(1.5*capacity, 30*time.Second, false)
		f := newFleet(nodes, servers)
		f.run(1.5*capacity, 10*time.Second, true)
		f.run(1.5*capacity, 60*time.Second, true)
		t.Logf("%d nodes: naive refused %.3f, served %.3f of the capacity; throttled: refused %.3f, served %.3f", nodes,
			float64(naive.refused)/float64(naive.sent), float64(naive.served)/30/capacity, float64(f.refused)/float64(f.sent), float64(f.served)/60/capacity)
		g.Expect(float64(f.refused)).To(gomega.BeNumerically("<", 0.02*float64(f.sent)))
		f.run(0.7*capacity, 15*time.Second, true)
		f.run(0.7*capacity, 15*time.Second, true)
		t.Logf("%d nodes: after the overload %d of %d throttled", nodes, f.throttled, f.sent+f.throttled)
		g.Expect(float64(f.throttled)).To(gomega.BeNumerically("<", 0.02*float64(f.sent)), "the end of the overload is found out")
	}
}

// One server that is full is no reason not to send to the others, except where it is the
// only one.
func TestOneFullServerDoesNotThrottle(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	throttle := &Throttle{Now: func() time.Time { return now }}
	answer := NewAnswer(testFlow, "a").WithRefusal(time.Second)
	refuse := func(a Answer) {
		for range 20 {
			throttle.Record(a)
			now = now.Add(time.Second / 2)
		}
	}
	refuse(answer)
	g.Expect(throttle.IsThrottling(testFlow)).To(gomega.BeFalse())
	refuse(answer.WithOnly(true))
	g.Expect(throttle.IsThrottling(testFlow)).To(gomega.BeTrue())
	g.Expect(throttle.IsThrottling(NewFlow("s", gtconfig.Normal, true))).To(gomega.BeFalse(), "nested requests go first at the servers")
	g.Expect(throttle.IsThrottling(NewFlow("s", gtconfig.Normal+1, false))).To(gomega.BeFalse())
	refused := 0
	for range 100 {
		wait, ok := throttle.Admit(testFlow, "", 900*time.Millisecond)
		if !ok {
			refused++
			g.Expect(wait).To(gomega.And(gomega.BeNumerically(">=", 60*time.Millisecond), gomega.BeNumerically("<=", 300*time.Millisecond)))
		}
	}
	g.Expect(refused).To(gomega.BeNumerically(">", 90))
	g.Expect(throttle.Throttled(gtconfig.Normal)).To(gomega.BeNumerically("==", refused))
	now = now.Add(time.Minute)
	throttle.Expire()
	g.Expect(throttle.IsThrottling(testFlow)).To(gomega.BeFalse())
}

// Guards against running requests whose calls are then refused: with a called service that
// can take half of the calls, half of the requests fail after their work was done.
func TestRequestsAreAdmittedAsTheirCallsAre(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	calls := &Calls{Now: func() time.Time { return now }}
	const offered, capacity = 100, 50 // per second; one call for each request
	run := func(d time.Duration, capacity float64, naive bool) (ran, wasted int) {
		credit, tokens := 0.0, 0.0
		for end := now.Add(d); now.Before(end); now = now.Add(time.Second / offered) {
			tokens = min(5, tokens+capacity/offered)
			credit = min(2, credit+calls.AdmittedShare())
			if credit < 1 && !naive {
				continue
			}
			credit--
			calls.RecordRun()
			ran++
			refused := tokens < 1
			if refused {
				wasted++
			} else {
				tokens--
			}
			calls.RecordCall("b", refused)
		}
		return ran, wasted
	}
	ran, wasted := run(10*time.Second, capacity, true)
	g.Expect(float64(wasted)/float64(ran)).To(gomega.BeNumerically("~", 0.5, 0.02), "naive")
	run(5*time.Second, capacity, false)
	ran, wasted = run(20*time.Second, capacity, false)
	t.Logf("%d ran, %d of them in vain", ran, wasted)
	g.Expect(float64(wasted) / float64(ran)).To(gomega.BeNumerically("<", 0.1))
	g.Expect(ran - wasted).To(gomega.BeNumerically(">", 0.85*20*capacity))
	run(10*time.Second, 2*capacity, false)
	g.Expect(calls.AdmittedShare()).To(gomega.BeNumerically("==", 1))
}

// Guards against an account that floods, for which the requests of all others are throttled
// as well.
func TestFloodIsThrottledAtItsSender(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	var s senders
	rnd := rand.New(rand.NewPCG(1, 2))
	offered, sent := map[string]int{}, map[string]int{}
	const small = 77
	for range 20_000 {
		now = now.Add(10 * time.Millisecond)
		name := "flood"
		if i := rnd.IntN(small + 20); i < small {
			name = "account-" + strconv.Itoa(i)
		}
		offered[name]++
		if s.admits(name, 0.9, now) {
			sent[name]++
		}
	}
	total, all := 0, 0
	for name, n := range offered {
		total, all = total+sent[name], all+n
		if name != "flood" {
			g.Expect(float64(sent[name])).To(gomega.BeNumerically(">", 0.9*float64(n)), name)
		}
	}
	t.Logf("%.3f sent, %.3f of the flood", float64(total)/float64(all), float64(sent["flood"])/float64(offered["flood"]))
	g.Expect(float64(total) / float64(all)).To(gomega.BeNumerically("~", 0.9, 0.05))
	g.Expect(float64(sent["flood"]) / float64(offered["flood"])).To(gomega.BeNumerically(">", 0.9/4))
}
