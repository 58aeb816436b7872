package gtadmission

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/version/gtconfig"
)

const ms = time.Millisecond

// fullGate is a gate in front of a server that the test plays, and its clock.
type fullGate struct {
	*Gate
	now   time.Time
	given map[*Ticket]int // how often each request was given up
}

// newFullGate returns a gate with a fixed limit, as on the users' platform.
func newFullGate(slots int) *fullGate {
	f := &fullGate{now: time.Unix(1000, 0), given: map[*Ticket]int{}}
	f.Gate = &Gate{Now: func() time.Time { return f.now }, Slots: slots, Fixed: true}
	return f
}

// send admits n requests and sends those that are granted.
func (f *fullGate) send(g *gomega.WithT, n int) []*Ticket {
	var out []*Ticket
	for range n {
		t, err := f.Enter(gtconfig.Normal, f.now.Add(10*time.Second))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		f.sendGranted(t)
		out = append(out, t)
	}
	return out
}

// sendGranted sends a request if it is granted and was not sent before.
func (f *fullGate) sendGranted(t *Ticket) {
	if t.running && t.sequence == 0 {
		t.Sent("r", func() { f.given[t]++ })
	}
}

// respond ends requests with a response, after the time that they took.
func (f *fullGate) respond(tickets ...*Ticket) {
	for _, t := range tickets {
		t.Responded()
		t.Done("r", f.now.Sub(t.sentAt), Succeeded)
	}
}

// reset ends a request whose connection was reset, and reports whether it counts as full.
func (f *fullGate) reset(t *Ticket) bool {
	full := t.WasReset()
	result := NoResponse
	if full {
		result = Overflowed
	}
	t.Done("r", f.now.Sub(t.sentAt), result)
	return full
}

func (f *fullGate) current() int { return f.Load("r").Limit() }

// serveRounds lets the server run n requests at once in some rounds of 100 ms.
func (f *fullGate) serveRounds(g *gomega.WithT, rounds, n int) {
	for range rounds {
		sent := f.send(g, n)
		f.now = f.now.Add(100 * ms)
		f.respond(sent...)
	}
}

// Guards against going on to send a full server more than it has room for.
func TestResetOfFullServerLowersTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFullGate(8)
	f.serveRounds(g, 3, 4)
	sent := f.send(g, 8)
	for _, i := range []int{5, 7, 6} {
		g.Expect(f.reset(sent[i])).To(gomega.BeTrue())
	}
	g.Expect(f.current()).To(gomega.Equal(5))
	g.Expect(f.ConnLimit()).To(gomega.Equal(5))
	f.now = f.now.Add(100 * ms)
	f.respond(sent[:5]...)
	g.Expect(f.current()).To(gomega.Equal(5))
	g.Expect(f.Overflows()).To(gomega.Equal(uint64(3)))
}

// Guards against a limit of 1 after a server has reset a request late, when most of those
// that it had at that time have been served.
func TestLateResetLowersTheLimitToWhatWasServed(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFullGate(8)
	f.serveRounds(g, 3, 4)
	sent := f.send(g, 8)
	f.now = f.now.Add(1100 * ms)
	f.respond(sent[:6]...)
	g.Expect(f.reset(sent[7])).To(gomega.BeTrue())
	g.Expect(f.current()).To(gomega.Equal(7))
	f.respond(sent[6])
	g.Expect(f.current()).To(gomega.Equal(7))
}

// Guards against giving up requests that wait for their callers, as while a body is read.
func TestRequestsThatWaitForTheirCallersAreNotGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFullGate(8)
	f.serveRounds(g, 60, 4)
	var sent []*Ticket
	for range 8 {
		o, err := f.Enter(gtconfig.Normal, f.now.Add(10*time.Second))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		o.Sent("r", nil)
		sent = append(sent, o)
	}
	f.now = f.now.Add(100 * ms)
	f.respond(sent[:5]...)
	f.serveRounds(g, 20, 5)
	g.Expect(sent[5].IsStuck()).To(gomega.BeFalse())
	f.respond(sent[5:]...)
	g.Expect(f.current()).To(gomega.Equal(8))
}

// Guards against a limit that stays low, or comes back at once, after the server was full.
func TestFixedLimitReturnsAfterTheHold(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFullGate(8)
	overflow := func() {
		sent := f.send(g, f.current())
		g.Expect(f.reset(sent[len(sent)-1])).To(gomega.BeTrue())
		f.now = f.now.Add(100 * ms)
		f.respond(sent[:len(sent)-1]...)
	}
	overflow()
	g.Expect(f.current()).To(gomega.Equal(7))
	f.serveRounds(g, 8, 1)
	g.Expect(f.current()).To(gomega.Equal(7), "1 s after the decrease at the earliest")
	f.serveRounds(g, 1, 1)
	g.Expect(f.current()).To(gomega.Equal(8))
	g.Expect(f.ConnLimit()).To(gomega.BeZero())
	hold := func() time.Duration {
		f.serveRounds(g, 20, 1) // so that responses of full rounds are not recent
		overflow()
		start := f.now
		for f.current() < 8 {
			f.serveRounds(g, 1, 1)
		}
		return f.now.Sub(start).Round(time.Second)
	}
	g.Expect([]time.Duration{hold(), hold(), hold(), hold()}).To(gomega.Equal([]time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}))
	f.now = f.now.Add(time.Minute)
	g.Expect(hold()).To(gomega.Equal(time.Second), "the hold is that of a first overflow again")
}

// Guards against lowering the limit of a server that isn't full.
func TestResetsOfOtherCauseLowerNothing(t *testing.T) {
	t.Run("few requests in flight", func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFullGate(8)
		f.serveRounds(g, 3, 1)
		sent := f.send(g, 3)
		g.Expect(f.reset(sent[2])).To(gomega.BeFalse())
		g.Expect(f.current()).To(gomega.Equal(8))
		f = newFullGate(1)
		f.serveRounds(g, 3, 1)
		g.Expect(f.reset(f.send(g, 1)[0])).To(gomega.BeFalse())
	})
	t.Run("one of many, while as many are served", func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFullGate(8)
		for range 50 {
			f.serveRounds(g, 3, 8)
			sent := f.send(g, 8)
			g.Expect(f.reset(sent[4])).To(gomega.BeFalse())
			f.respond(append(sent[:4:4], sent[5:]...)...)
			g.Expect(f.current()).To(gomega.Equal(8))
		}
	})
	t.Run("all at once", func(t *testing.T) {
		for _, order := range [][]int{{0, 1, 2, 3, 4, 5, 6, 7}, {7, 6, 5, 4, 3, 2, 1, 0}, {3, 7, 0, 5, 1, 6, 2, 4}} {
			g := gomega.NewWithT(t)
			f := newFullGate(8)
			f.serveRounds(g, 3, 2)
			for range 3 {
				sent := f.send(g, 8)
				for _, i := range order {
					f.reset(sent[i])
				}
				g.Expect(f.current()).To(gomega.Equal(8), "%v", order)
				g.Expect(sent[0].Linger(0)).To(gomega.BeZero())
				f.now = f.now.Add(2 * time.Second)
			}
			last := f.send(g, 8)
			for _, i := range order {
				if i < 3 {
					g.Expect(f.reset(last[i])).To(gomega.BeFalse(), "a server that responds to none has failed")
				}
			}
		}
	})
	t.Run("a server that has responded to none and resets all in turn", func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFullGate(8)
		for _, o := range f.send(g, 8) {
			g.Expect(f.reset(o)).To(gomega.BeFalse())
		}
		g.Expect(f.current()).To(gomega.Equal(8))
	})
	t.Run("after a process pause", func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFullGate(8)
		f.serveRounds(g, 3, 2)
		f.PausedSince = func(time.Time) bool { return true }
		g.Expect(f.reset(f.send(g, 8)[7])).To(gomega.BeFalse())
		g.Expect(f.current()).To(gomega.Equal(8))
	})
}

// Guards against waiting until the deadline for responses that never come, and against
// giving up requests that only take long.
func TestOvertakenRequestsAreGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFullGate(8)
	f.serveRounds(g, 60, 4)
	sent := f.send(g, 8)
	f.now = f.now.Add(100 * ms)
	f.respond(sent[:5]...)
	f.serveRounds(g, 3, 5)
	g.Expect(f.given).To(gomega.BeEmpty(), "less than 5 times the service time")
	f.serveRounds(g, 1, 5)
	g.Expect(f.given).To(gomega.Equal(map[*Ticket]int{sent[5]: 1, sent[6]: 1, sent[7]: 1}))
	for _, o := range sent[5:] {
		g.Expect(o.IsStuck()).To(gomega.BeTrue())
		g.Expect(o.Responded()).To(gomega.BeFalse(), "a response that comes now is not read")
		o.Done("r", 500*ms, Overflowed)
	}
	g.Expect(f.given).To(gomega.HaveLen(3))
	g.Expect(f.current()).To(gomega.BeNumerically("<", 8))
}

// Requests that only take long are not given up.
func TestLongRequestsAreNotGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		inFlight, respond int // requests in flight with the long ones, and how many respond
		others            int // requests at once that the server runs beside the long ones
	}{
		"one among many":                        {8, 7, 7},
		"several, as many are served meanwhile": {5, 3, 6},
		"frozen server":                         {8, 0, 0},
		"few in flight":                         {3, 1, 6},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFullGate(8)
			f.serveRounds(g, 60, 4)
			sent := f.send(g, c.inFlight)
			f.now = f.now.Add(100 * ms)
			f.respond(sent[:c.respond]...)
			for range 20 {
				f.serveRounds(g, 1, c.others)
				f.now = f.now.Add(ms)
			}
			g.Expect(f.given).To(gomega.BeEmpty())
			f.respond(sent[c.respond:]...)
			g.Expect(f.current()).To(gomega.Equal(8))
			g.Expect(f.Overflows()).To(gomega.BeZero())
		})
	}
}

// Guards against giving up requests on a route some of whose requests always take long, before
// the first of those has ended.
func TestNothingIsGivenUpOnANewRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFullGate(8)
	f.serveRounds(g, 3, 4)
	sent := f.send(g, 8)
	f.now = f.now.Add(100 * ms)
	f.respond(sent[:5]...)
	f.serveRounds(g, 20, 5)
	g.Expect(f.given).To(gomega.BeEmpty())
	f.respond(sent[5:]...)
	f.serveRounds(g, 60, 5)
	sent = f.send(g, 8)
	f.now = f.now.Add(100 * ms)
	f.respond(sent[:5]...)
	f.serveRounds(g, 20, 5)
	g.Expect(f.given).To(gomega.BeEmpty(), "the longest took as long")
}

// Guards against giving up requests at a number that the server ran shortly before.
func TestRequestsThatHadRoomAreNotGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFullGate(8)
	f.serveRounds(g, 60, 8)
	sent := f.send(g, 8)
	f.now = f.now.Add(100 * ms)
	f.respond(sent[:5]...)
	f.serveRounds(g, 20, 5)
	g.Expect(f.given).To(gomega.BeEmpty())
	f.respond(sent[5:]...)
}

// Guards against counting requests that the server no longer had: their responses were on
// the way as the next one was sent.
func TestCrossingResponsesDoNotCountAsRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFullGate(8)
	f.serveRounds(g, 3, 4)
	for range 10 {
		sent := f.send(g, 5)
		f.now = f.now.Add(100 * ms)
		sixth := f.send(g, 1)
		f.now = f.now.Add(ms)
		f.respond(sent...)
		f.now = f.now.Add(99 * ms)
		f.respond(sixth...)
	}
	sent := f.send(g, 6)
	g.Expect(f.reset(sent[5])).To(gomega.BeTrue())
	g.Expect(f.current()).To(gomega.Equal(5))
}

// Guards against a head that has arrived being given up: its body would be cut off.
func TestRespondedRequestIsNotGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFullGate(8)
	f.serveRounds(g, 60, 4)
	sent := f.send(g, 8)
	f.now = f.now.Add(100 * ms)
	f.respond(sent[:5]...)
	for _, o := range sent[5:] {
		g.Expect(o.Responded()).To(gomega.BeTrue())
	}
	f.serveRounds(g, 20, 5)
	g.Expect(f.given).To(gomega.BeEmpty())
	f.respond(sent[5:]...)
	g.Expect(f.current()).To(gomega.Equal(8))
}

// Guards against requests in the queue that nothing grants any more once the limit is
// lowered below the number of running requests.
func TestQueueIsServedAfterTheLimitIsLowered(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFullGate(8)
	f.serveRounds(g, 3, 4)
	running := f.send(g, 8)
	queued := f.send(g, 6)
	most := 0
	for i := 7; i >= 5; i-- {
		g.Expect(f.reset(running[i])).To(gomega.BeTrue())
		for _, o := range queued {
			f.sendGranted(o)
			g.Expect(o.running).To(gomega.BeFalse(), "a slot that the server doesn't have is not granted")
		}
	}
	running = running[:5]
	for len(running) > 0 {
		f.now = f.now.Add(100 * ms)
		f.respond(running...)
		running = nil
		for _, o := range queued {
			f.sendGranted(o)
			if o.running && !o.finished {
				running = append(running, o)
			}
		}
		most = max(most, len(running))
	}
	for _, o := range queued {
		g.Expect(o.finished).To(gomega.BeTrue())
	}
	g.Expect(most).To(gomega.Equal(5))
	g.Expect(f.Load("r").Busy()).To(gomega.BeZero())
	g.Expect(f.overflow.sent).To(gomega.BeEmpty())
}

// Guards against sending a server that was full the next request while it may still run one
// that nobody waits for, and against holding such slots of any other server.
func TestAbandonedRequestKeepsItsSlotOnlyAfterAnOverflow(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFullGate(8)
	f.serveRounds(g, 20, 8)
	g.Expect(f.send(g, 1)[0].Linger(30 * ms)).To(gomega.BeZero())
	f.now = f.now.Add(2 * time.Second)
	sent := f.send(g, 7)
	g.Expect(f.reset(sent[6])).To(gomega.BeTrue())
	g.Expect(sent[5].Linger(30 * ms)).To(gomega.BeNumerically("~", 70*ms, ms))
	f.now = f.now.Add(fullMemory + ms)
	g.Expect(sent[4].Linger(30 * ms)).To(gomega.BeZero())
}

// No more requests run than the server accepts connections. Further ones wait in place of
// being refused for lack of a connection.
func TestRequestsAreBoundedByConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFullGate(8)
	allowed := 0
	f.MaxConnections = func() int { return allowed }
	g.Expect(f.current()).To(gomega.Equal(8), "0 is no bound")
	allowed = 3
	f.serveRounds(g, 1, 3)
	sent := f.send(g, 4)
	g.Expect(sent[2].running).To(gomega.BeTrue())
	g.Expect(sent[3].running).To(gomega.BeFalse())
	f.respond(sent[0])
	g.Expect(sent[3].running).To(gomega.BeTrue())
	allowed = 20
	g.Expect(f.current()).To(gomega.Equal(8))
}

// A server that has started again is not the one that was full.
func TestResetReturnsLoweredFixedLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFullGate(8)
	sent := f.send(g, 8)
	g.Expect(f.reset(sent[7])).To(gomega.BeTrue())
	g.Expect(f.current()).To(gomega.Equal(7))
	f.Reset()
	g.Expect(f.current()).To(gomega.Equal(8))
	for _, o := range sent[:7] {
		o.Done("r", 0, NoResponse)
	}
	g.Expect(f.current()).To(gomega.Equal(8))
}

// Guards against refusing requests while slots are free: on a server with room for all of its
// slots, resets have another cause.
func TestExactSlotsAreNotLowered(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFullGate(8)
	f.Exact = true
	f.serveRounds(g, 3, 4)
	sent := f.send(g, 8)
	for _, i := range []int{5, 7, 6} {
		g.Expect(f.reset(sent[i])).To(gomega.BeTrue())
	}
	g.Expect(f.current()).To(gomega.Equal(8))
	g.Expect(f.ConnLimit()).To(gomega.BeZero())
	g.Expect(f.Overflows()).To(gomega.Equal(uint64(3)))
}
