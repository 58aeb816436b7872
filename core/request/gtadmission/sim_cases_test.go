package gtadmission

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

const ms = time.Millisecond

// urgent returns requests as the most urgent ones of the users' platform: 110 ms of work, a
// target of 250 ms. A server with 8 slots runs 72.7 of them in a second.
func urgent(perSecond float64) *kindOfRequest {
	return &kindOfRequest{name: "urgent", class: gtconfig.Normal, target: 250 * ms, timeout: 1500 * ms, serviceTime: 110 * ms, rate: steady(perSecond)}
}

// compare runs the same requests by the rule before and by the gate, over some seeds, and
// returns the summed outcomes by kind.
func compare(t *testing.T, d time.Duration, kinds func() []*kindOfRequest) (naive, gate map[string]outcome) {
	t.Helper()
	naive, gate = map[string]outcome{}, map[string]outcome{}
	for seed := range uint64(3) {
		for _, rule := range []string{"naive", "gate"} {
			s := newSimulation(8, seed, kinds()...)
			total := naive
			if rule == "gate" {
				s.withGate()
				total = gate
			} else {
				s.withNaiveGate()
			}
			for name, o := range s.run(d) {
				total[name] = total[name].plus(*o)
			}
		}
	}
	for _, k := range kinds() {
		t.Logf("%s: naive %s", k.name, naive[k.name])
		t.Logf("%s: gate  %s", k.name, gate[k.name])
	}
	return naive, gate
}

func (o outcome) plus(p outcome) outcome {
	return outcome{
		o.offered + p.offered, o.inTime + p.inTime, o.late + p.late, o.lost + p.lost, o.refusals + p.refusals,
		o.refusedAgain + p.refusedAgain, o.heldLong + p.heldLong, o.served + p.served,
	}
}

func (o outcome) String() string {
	return fmt.Sprintf("offered %d, in time %.3f, late %.3f, served %.3f, refusals %d, again %d, held %d",
		o.offered, o.inTimeShare(), o.share(o.late), o.share(o.served), o.refusals, o.refusedAgain, o.heldLong)
}

func (o outcome) share(n int) float64  { return float64(n) / float64(max(1, o.offered)) }
func (o outcome) inTimeShare() float64 { return o.share(o.inTime) }

// Guards against a queue that makes requests late in place of refusing some: the queue of
// 250 ms that was allowed is all of the target.
func TestLastingOverloadKeepsResponsesInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, load := range []float64{1.05, 1.5} {
		naive, gate := compare(t, 20*time.Second, func() []*kindOfRequest { return []*kindOfRequest{urgent(load * 72.7)} })
		n, a := naive["urgent"], gate["urgent"]
		g.Expect(a.inTimeShare()).To(gomega.BeNumerically(">", n.inTimeShare()))
		g.Expect(a.share(a.served)).To(gomega.BeNumerically(">", 0.95*n.share(n.served)), "the slots are as busy")
		g.Expect(float64(a.heldLong)).To(gomega.BeNumerically("<", 0.01*float64(a.offered)), "a refusal comes early")
	}
}

// Guards against a crowd of some hundred milliseconds that leaves a backlog of late
// requests behind.
func TestFlashCrowd(t *testing.T) {
	g := gomega.NewWithT(t)
	naive, gate := compare(t, 20*time.Second, func() []*kindOfRequest {
		k := urgent(0)
		k.rate = func(d time.Duration) float64 {
			if d %= 4 * time.Second; d > 3*time.Second && d < 3300*ms {
				return 250
			}
			return 40
		}
		return []*kindOfRequest{k}
	})
	n, a := naive["urgent"], gate["urgent"]
	g.Expect(a.inTimeShare()).To(gomega.BeNumerically(">", n.inTimeShare()))
	g.Expect(a.late).To(gomega.BeNumerically("<", n.late))
	g.Expect(float64(a.heldLong)).To(gomega.BeNumerically("<", 0.01*float64(a.offered)))
}

// Guards against callers that ignore the time that they are told and so take the room of
// those that keep to it.
func TestRetryStormDoesNotHarmCallersThatWait(t *testing.T) {
	g := gomega.NewWithT(t)
	kinds := func(ignores bool) func() []*kindOfRequest {
		return func() []*kindOfRequest {
			a, b := urgent(50), urgent(50)
			a.name, a.account = "keeps", "a"
			b.name, b.account, b.ignoresWait = "ignores", "b", ignores
			return []*kindOfRequest{a, b}
		}
	}
	_, alone := compare(t, 20*time.Second, kinds(false))
	naive, gate := compare(t, 20*time.Second, kinds(true))
	g.Expect(gate["keeps"].inTimeShare()).To(gomega.BeNumerically(">", 0.95*alone["keeps"].inTimeShare()))
	g.Expect(gate["keeps"].inTimeShare()).To(gomega.BeNumerically(">", naive["keeps"].inTimeShare()))
}

// Guards against classes that get nothing under lasting overload, and against shares of
// theirs that the most urgent class pays for with late responses.
func TestThreeClassesShareHalfOfTheCapacityThatTheyNeed(t *testing.T) {
	g := gomega.NewWithT(t)
	kinds := func() []*kindOfRequest {
		return []*kindOfRequest{
			{name: "first", class: gtconfig.Normal, target: 250 * ms, timeout: 1500 * ms, serviceTime: 110 * ms, rate: steady(48)},
			{name: "second", class: gtconfig.Normal + 1, target: 600 * ms, timeout: 2500 * ms, serviceTime: 110 * ms, rate: steady(48)},
			{name: "third", class: gtconfig.Normal + 2, target: 2000 * ms, timeout: 6000 * ms, serviceTime: 110 * ms, rate: steady(48)},
		}
	}
	naive, gate := compare(t, 30*time.Second, kinds)
	g.Expect(gate["first"].inTimeShare()).To(gomega.BeNumerically(">", 0.97))
	g.Expect(gate["third"].share(gate["third"].served)).To(gomega.BeNumerically(">", 0.9*levelShare*72.7/48))
	g.Expect(naive["third"].share(naive["third"].served)).To(gomega.BeNumerically("<", 0.03), "the rule before leaves it nothing")
	g.Expect(gate["second"].share(gate["second"].served)).To(gomega.BeNumerically(">", gate["third"].share(gate["third"].served)))
}

// Guards against a burst of the least urgent class that holds all slots when a request of
// the most urgent one comes, and against refusing the burst, which has seconds.
func TestBurstOfTheLeastUrgentBesideATrickleOfTheMostUrgent(t *testing.T) {
	g := gomega.NewWithT(t)
	naive, gate := compare(t, 30*time.Second, func() []*kindOfRequest {
		return []*kindOfRequest{urgent(3), {
			name: "batch", class: gtconfig.Normal + 5, target: 2000 * ms, timeout: 6000 * ms, serviceTime: 300 * ms,
			rate: func(d time.Duration) float64 {
				if d%(5*time.Second) < 500*ms {
					return 150
				}
				return 2
			},
		}}
	})
	g.Expect(gate["urgent"].inTimeShare()).To(gomega.BeNumerically(">", 0.98))
	g.Expect(gate["batch"].inTimeShare()).To(gomega.BeNumerically(">", naive["batch"].inTimeShare()))
}

// Guards against a calling service whose requests push those of another one out.
func TestOneCallingServiceFloods(t *testing.T) {
	g := gomega.NewWithT(t)
	naive, gate := compare(t, 20*time.Second, func() []*kindOfRequest {
		small, flood := urgent(30), urgent(200)
		small.name, small.caller = "small", "s1"
		flood.name, flood.caller = "flood", "s2"
		return []*kindOfRequest{small, flood}
	})
	g.Expect(gate["small"].share(gate["small"].served)).To(gomega.BeNumerically(">", 0.95), "it asks for less than half")
	g.Expect(naive["small"].share(naive["small"].served)).To(gomega.BeNumerically("<", 0.5), "the rule before")
	g.Expect(gate["flood"].served).To(gomega.BeNumerically(">", gate["small"].served), "the rest is for the other")
}

// Guards against an account with 20 times its part that takes from the others, in a class
// of 78 accounts, and against slots that are idle meanwhile.
func TestAccountThatFloodsTakesNothingFromOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	const small = 77
	run := func(flood bool) (map[string]*outcome, *simulation) {
		var kinds []*kindOfRequest
		for i := range small {
			k := urgent(0.8)
			k.name = fmt.Sprintf("account-%d", i)
			k.account = k.name
			kinds = append(kinds, k)
		}
		if flood {
			k := urgent(20 * 0.8)
			k.name, k.account = "flood", "flood"
			kinds = append(kinds, k)
		}
		s := newSimulation(8, 1, kinds...)
		s.withGate()
		return s.run(600 * time.Second), s
	}
	alone, _ := run(false)
	beside, s := run(true)
	served, offered := 0, 0
	for i := range small {
		name := fmt.Sprintf("account-%d", i)
		a, b := alone[name], beside[name]
		g.Expect(b.share(b.served)).To(gomega.BeNumerically(">", 0.9*a.share(a.served)), name)
		served, offered = served+b.served, offered+b.offered
	}
	flood := beside["flood"]
	all := float64(served+flood.served) / float64(offered+flood.offered)
	t.Logf("small accounts served %.3f, flood %.3f, all %.3f, slots idle while requests wait %.4f", float64(served)/float64(offered), flood.share(flood.served), all, float64(s.idle)/float64(s.busy))
	g.Expect(flood.share(flood.served)).To(gomega.BeNumerically(">", all/4))
	g.Expect(s.idle).To(gomega.BeZero())
}

// Guards against an account that is served less than a quarter as often as all, however
// much it asks for.
func TestAccountIsServedAQuarterOfWhatAllAre(t *testing.T) {
	g := gomega.NewWithT(t)
	var kinds []*kindOfRequest
	for i := range 20 {
		k := urgent(3.5)
		k.name = fmt.Sprintf("account-%d", i)
		k.account = k.name
		kinds = append(kinds, k)
	}
	flood := urgent(200)
	flood.name, flood.account = "flood", "flood"
	s := newSimulation(8, 1, append(kinds, flood)...)
	s.withGate()
	served, offered := 0, 0
	out := s.run(120 * time.Second)
	for _, o := range out {
		served, offered = served+o.served, offered+o.offered
	}
	all := float64(served) / float64(offered)
	t.Logf("flood %s, all %.3f", out["flood"], all)
	g.Expect(out["flood"].share(out["flood"].served)).To(gomega.BeNumerically(">=", all/4))
}

// Guards against a start of all servers under load after which half of the responses are
// late: service times are unknown, the rate is limited for three seconds, the server is
// slow meanwhile, and refused callers come back.
func TestColdStartUnderLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	share := map[string]outcome{}
	for seed := range uint64(5) {
		for _, rule := range []string{"naive", "gate"} {
			s := newSimulation(8, seed, urgent(75))
			const rate, warmUp = 13, 3 * time.Second
			if rule == "naive" {
				s.withNaiveGate().warmUp = warmUpLimiter{rate: rate, until: s.now.Add(warmUp), tokens: 1, refilledAt: s.now}
			} else {
				s.withGate().LimitWarmUpRate(rate, warmUp)
			}
			k := s.kinds[0]
			k.rate = func(d time.Duration) float64 {
				k.serviceTime = 110 * ms
				if d < warmUp {
					k.serviceTime = 220 * ms
				}
				return 75
			}
			for _, o := range s.run(6 * time.Second) {
				share[rule] = share[rule].plus(*o)
			}
		}
	}
	n, a := share["naive"], share["gate"]
	t.Logf("naive %s", n)
	t.Logf("gate  %s", a)
	g.Expect(a.inTimeShare()).To(gomega.BeNumerically(">", n.inTimeShare()))
	g.Expect(a.late).To(gomega.BeNumerically("<", n.late))
	g.Expect(float64(a.heldLong)).To(gomega.BeNumerically("<", 0.01*float64(a.offered)))
}

// gateAt returns a gate with a fixed limit at a time that the test advances, whose service
// time is known to be 100 ms.
func gateAt(slots int) (*Gate, *time.Time) {
	now := time.Unix(1000, 0)
	gate := &Gate{Now: func() time.Time { return now }, Slots: slots, Fixed: true}
	for range 20 {
		t, _ := gate.Enter(NewRequest(gtconfig.Normal, now.Add(time.Second)).WithRoute("r"))
		now = now.Add(100 * ms)
		t.Done("r", 100*ms, Succeeded)
	}
	now = now.Add(time.Minute)
	return gate, &now
}

func fill(gate *Gate, n int, r Request) []*Ticket {
	var out []*Ticket
	for range n {
		t, err := gate.Enter(r)
		if err != nil {
			panic(err)
		}
		out = append(out, t)
	}
	return out
}

// A request that can't respond before its deadline is refused at once. One that waits is
// dropped as soon as its deadline can't be met, so that nobody waits for nothing.
func TestRequestsThatCannotBeServedAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	gate, now := gateAt(1)
	r := NewRequest(gtconfig.Normal, now.Add(time.Second)).WithRoute("r")
	running := fill(gate, 1, r)
	_, err := gate.Enter(NewRequest(gtconfig.Normal, now.Add(150*ms)).WithRoute("r"))
	g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Full))
	waiting, err := gate.Enter(NewRequest(gtconfig.Normal, now.Add(250*ms)).WithRoute("r"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	*now = now.Add(160 * ms)
	running[0].Done("r", 160*ms, Succeeded)
	g.Expect(waiting.Granted()).NotTo(gomega.BeClosed())
	g.Expect(waiting.Dropped()).To(gomega.BeClosed())
	g.Expect(gtkind.Of(waiting.Err())).To(gomega.Equal(gtkind.Full))
	g.Expect(waiting.Abandon()).To(gomega.BeFalse())
	g.Expect(gate.Load("r").Busy()).To(gomega.BeZero())
	g.Expect(gate.Counts().Dropped(PastDeadline, gtconfig.Normal)).To(gomega.BeNumerically("==", 1))
}

// A request that is late for its target gives way to any that can be in time, also to later
// and less urgent ones, and runs when there is none.
func TestLateRequestsGiveWay(t *testing.T) {
	g := gomega.NewWithT(t)
	gate, now := gateAt(2)
	r := NewRequest(gtconfig.Normal, now.Add(3*time.Second)).WithRoute("r")
	running := fill(gate, 2, r)
	late, err := gate.Enter(r.WithTarget(now.Add(110 * ms)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	other, err := gate.Enter(NewRequest(gtconfig.Normal+1, now.Add(3*time.Second)).WithRoute("r").WithTarget(now.Add(time.Second)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	*now = now.Add(50 * ms)
	running[0].Done("r", 100*ms, Succeeded)
	g.Expect(other.Granted()).To(gomega.BeClosed())
	g.Expect(late.Granted()).NotTo(gomega.BeClosed())
	running[1].Done("r", 100*ms, Succeeded)
	g.Expect(late.Granted()).To(gomega.BeClosed())
}

// Requests that backend servers make while they run others go first, and room is kept for
// them: a refusal would waste the work of the one that made it.
func TestNestedRequestsGoFirstAndFindRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	gate, now := gateAt(5)
	nested := NewRequest(gtconfig.Normal+7, now.Add(time.Minute)).WithRoute("r").WithNested(true)
	for range 100 {
		t := fill(gate, 1, nested)
		*now = now.Add(50 * ms)
		t[0].Done("r", 50*ms, Succeeded)
	}
	outer := NewRequest(gtconfig.Normal, now.Add(time.Second)).WithRoute("r")
	granted := 0
	for _, t := range fill(gate, 6, outer) {
		select {
		case <-t.Granted():
			granted++
		default:
		}
	}
	g.Expect(granted).To(gomega.Equal(4))
	g.Expect(fill(gate, 1, nested)[0].Granted()).To(gomega.BeClosed())
}

// Times to wait rise by the measured drain, stay between 60 ms and a third of the remaining
// time, and a caller that keeps to its time finds room although the queue is full of others.
func TestTimesToWaitAreSuccessiveAndKept(t *testing.T) {
	g := gomega.NewWithT(t)
	gate, now := gateAt(4)
	r := NewRequest(gtconfig.Normal, now.Add(9*time.Second)).WithRoute("r").WithTarget(now.Add(time.Second))
	running := fill(gate, 4, r)
	for {
		if _, err := gate.Enter(r); err != nil {
			break
		}
	}
	var waits []time.Duration
	for i := range 5 {
		_, err := gate.Enter(later(r, time.Duration(i)*100*ms))
		wait, ok := gtkind.WaitOf(err)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(wait).To(gomega.And(gomega.BeNumerically(">=", MinWaitTold), gomega.BeNumerically("<=", 3*time.Second)))
		waits = append(waits, wait)
	}
	for i := range waits[1:] {
		g.Expect(waits[i+1]).To(gomega.BeNumerically(">", waits[i]))
	}
	*now = now.Add(waits[2])
	back, err := gate.Enter(later(r, 200*ms).WithTarget(now.Add(time.Second)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = gate.Enter(later(r, time.Second))
	g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Full), "one that has not been told a time")
	running[0].Done("r", 100*ms, Succeeded)
	g.Expect(back.Granted()).To(gomega.BeClosed(), "it goes before those that have waited")
}

// later returns a request whose deadline is later by d.
func later(r Request, d time.Duration) Request {
	return NewRequest(r.Class(), r.Deadline().Add(d)).WithRoute(r.Route()).WithTarget(r.Target())
}

// A request is refused before it runs if the calls that it makes are likely to be refused:
// its work would be wasted.
func TestRequestsWhoseCallsWouldBeRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	gate, now := gateAt(4)
	gate.CallsAdmitted = func() float64 { return 0.75 }
	admitted := 0
	for range 100 {
		t, err := gate.Enter(NewRequest(gtconfig.Normal, now.Add(time.Second)).WithRoute("r"))
		*now = now.Add(100 * ms)
		if err == nil {
			admitted++
			t.Done("r", 100*ms, Succeeded)
		}
	}
	g.Expect(admitted).To(gomega.Equal(75))
}

// Guards against a request that is granted a slot and then refused for want of a connection.
func TestNoMoreRunThanTheServerAcceptsConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	gate, now := gateAt(8)
	gate.MaxConnections = func() int { return 3 }
	granted := 0
	for _, t := range fill(gate, 5, NewRequest(gtconfig.Normal, now.Add(time.Second)).WithRoute("r")) {
		if isClosed(t.Granted()) {
			granted++
		}
	}
	g.Expect(granted).To(gomega.Equal(3))
	g.Expect(gate.Load("r").Limit()).To(gomega.Equal(3))
}
