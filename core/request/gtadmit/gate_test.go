package gtadmit

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

// server is a backend server under a clock of its own: it runs up to its
// capacity at once and sheds the rest.
type server struct {
	now      time.Time
	gate     *Gate
	capacity int
	work     time.Duration
	running  []run
	waiting  []waiting
	longest  time.Duration
	most     int
	good     int
	shed     int
	refused  int
}

// waiting is a request that the gate has let wait.
type waiting struct {
	ticket *Ticket
	since  time.Time
}

type run struct {
	ticket *Ticket
	since  time.Time
	until  time.Time
}

func newServer(slots, capacity int) *server {
	s := &server{now: time.Unix(1000, 0), capacity: capacity, work: 10 * time.Millisecond}
	s.gate = &Gate{Now: func() time.Time { return s.now }, Slots: slots}
	return s
}

// offer sends requests at a rate for some time, one millisecond a step.
func (s *server) offer(perSecond int, d time.Duration) {
	due := 0.0
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		for due += float64(perSecond) / 1000; due >= 1; due-- {
			s.enter()
		}
		s.start()
		s.finish()
		s.start()
	}
}

// burst sends requests at one moment.
func (s *server) burst(n int) {
	for range n {
		s.enter()
	}
}

func (s *server) enter() {
	t, err := s.gate.Enter(gtconfig.Normal, s.now.Add(time.Second))
	if err != nil {
		s.refused++
		return
	}
	s.waiting = append(s.waiting, waiting{t, s.now})
}

func (s *server) start() {
	var left []waiting
	for _, w := range s.waiting {
		t := w.ticket
		select {
		case <-t.Granted():
			s.longest = max(s.longest, s.now.Sub(w.since))
			s.most = max(s.most, len(s.running)+1)
			if len(s.running) >= s.capacity {
				s.shed++
				t.Done("r", time.Millisecond, Shed)
				continue
			}
			s.running = append(s.running, run{t, s.now, s.now.Add(s.work)})
		default:
			left = append(left, w)
		}
	}
	s.waiting = left
}

func (s *server) finish() {
	var left []run
	for _, r := range s.running {
		if s.now.Before(r.until) {
			left = append(left, r)
			continue
		}
		s.good++
		r.ticket.Done("r", s.now.Sub(r.since), Good)
	}
	s.running = left
}

// A server that has just started bears a tenth of its slots. It must be given
// no more from the start, and soon no more after it turns cold unannounced.
func TestColdServerGetsNoMoreThanItBears(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newServer(10, 1)
	s.offer(600, 200*time.Millisecond)
	g.Expect(s.most).To(gomega.Equal(1), "from the start")
	s.capacity = 10
	s.offer(600, 20*time.Second)
	s.most, s.shed, s.good = 0, 0, 0
	s.offer(600, time.Second)
	g.Expect(s.good).To(gomega.BeNumerically(">", 550), "a warm server gets the load")
	s.capacity = 1
	s.offer(600, 500*time.Millisecond)
	g.Expect(s.shed).To(gomega.BeNumerically("<", 20), "the first refusals are enough")
	s.shed, s.most = 0, 0
	s.offer(600, 4*time.Second)
	g.Expect(s.shed).To(gomega.BeNumerically("<", 8), "only tries, ever more seldom")
	g.Expect(s.most).To(gomega.BeNumerically("<=", 2))
	fixed := newServer(10, 1)
	fixed.gate.Fixed = true
	fixed.offer(600, 4*time.Second)
	g.Expect(fixed.shed).To(gomega.BeNumerically(">", 100), "a fixed limit fails the same check")
}

// Goodput under overload stays near its peak.
func TestGoodputUnderOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	peak, last := 0, 0
	for _, rate := range []int{400, 800, 1600, 4000} {
		s := newServer(16, 8)
		s.offer(rate, 10*time.Second)
		s.good = 0
		s.offer(rate, 10*time.Second)
		t.Logf("%d a second: %d good, %d shed, %d refused", rate, s.good, s.shed, s.refused)
		peak, last = max(peak, s.good), s.good
	}
	g.Expect(float64(last)).To(gomega.BeNumerically(">", 0.9*float64(peak)))
}

// Callers that were held up send what they owe at one moment. What can run
// within the longest wait is not refused. A queue of half the slots would
// refuse all but the first 15.
func TestBurstWaitsForItsTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newServer(10, 10)
	s.offer(600, 20*time.Second)
	s.refused, s.good, s.longest = 0, 0, 0
	const burst = 150
	s.burst(burst)
	s.offer(0, time.Second)
	g.Expect(s.refused).To(gomega.BeZero())
	g.Expect(s.good).To(gomega.BeNumerically(">=", burst))
	g.Expect(s.longest).To(gomega.BeNumerically("<=", MaxWait))
}

// A process that was stopped and goes on finds its answers late and its callers
// waiting. The lateness is its own: it keeps its limit and serves the burst.
func TestBurstAfterOwnStallIsServed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newServer(10, 10)
	s.offer(600, 20*time.Second)
	for range 10 {
		s.refused = 0
		s.offer(600, 500*time.Millisecond)
		s.now = s.now.Add(900 * time.Millisecond)
		stalled := s.now
		s.gate.Stalled = func(since time.Time) bool { return since.Before(stalled) }
		s.finish()
		s.burst(100)
		s.offer(0, 500*time.Millisecond)
		g.Expect(s.refused).To(gomega.BeZero())
	}
}

// Under an overload that lasts, a queue that is never empty serves nobody
// better: it only makes all that run wait.
func TestStandingQueueStaysShort(t *testing.T) {
	g := gomega.NewWithT(t)
	const slots, capacity = 16, 8
	s := newServer(slots, capacity)
	s.offer(600, 20*time.Second)
	s.offer(1600, 2*time.Second)
	s.longest, s.good = 0, 0
	s.offer(1600, 10*time.Second)
	g.Expect(s.longest).To(gomega.BeNumerically("<=", s.work+slots/queueSlots*s.work/(capacity/2)))
	g.Expect(s.good).To(gomega.BeNumerically(">", 7200), "nine tenths of what it can run")
}

// After a start nothing is known of the time that requests take. Bursts must
// not pile up at a server that bears one at a time.
func TestBurstAtColdServerDoesNotPileUp(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newServer(10, 1)
	for range 20 {
		s.burst(100)
		s.offer(0, 100*time.Millisecond)
	}
	g.Expect(s.longest).To(gomega.BeNumerically("<=", MaxWait+s.work))
	g.Expect(s.good).To(gomega.BeNumerically(">", 150), "it is not left idle")
}

func TestQueueIsOrderedAndBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	gate := &Gate{Now: func() time.Time { return now }, Slots: 4}
	first, err := gate.Enter(gtconfig.Normal, now.Add(time.Second))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	late, _ := gate.Enter(gtconfig.Normal, now.Add(time.Second))
	soon, _ := gate.Enter(gtconfig.Normal, now.Add(500*time.Millisecond))
	fast, _ := gate.Enter(gtconfig.Fast, now.Add(time.Second))
	_, err = gate.Enter(gtconfig.Normal, now.Add(time.Second))
	g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Full))
	_, err = gate.Enter(gtconfig.Normal, now)
	g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Expired))
	for _, t := range []*Ticket{fast, soon, late} {
		g.Expect(t.Granted()).NotTo(gomega.BeClosed())
		first.Done("r", time.Millisecond, Good)
		g.Expect(t.Granted()).To(gomega.BeClosed())
		first = t
	}
	gate.Close(gtkind.Leaving)
	_, err = gate.Enter(gtconfig.Normal, now.Add(time.Second))
	g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Leaving))
	g.Expect(first.Abandon()).To(gomega.BeTrue())
	g.Expect(gate.Load("").Busy()).To(gomega.BeZero())
}

// A cold server gets no more than its rate and a small burst, and all again
// once it is warm.
func TestColdServerGetsItsRate(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	gate := &Gate{Now: func() time.Time { return now }, Slots: 9, Fixed: true}
	gate.Chill(13, 3*time.Second)
	var times []time.Time
	for start := now; now.Sub(start) < 3*time.Second; now = now.Add(5 * time.Millisecond) {
		if ticket, err := gate.Enter(gtconfig.Normal, now.Add(time.Second)); err == nil {
			times = append(times, now)
			ticket.Done("r", time.Millisecond, Good)
		}
	}
	g.Expect(len(times)).To(gomega.BeNumerically(">=", 3*13))
	for i := range times {
		within := 0
		for _, at := range times[i:] {
			if at.Sub(times[i]) < time.Second {
				within++
			}
		}
		g.Expect(within).To(gomega.BeNumerically("<=", 13*1.5))
	}
	now = now.Add(time.Millisecond)
	for range 9 {
		_, err := gate.Enter(gtconfig.Normal, now.Add(time.Second))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

// Of requests that wait, the more urgent rank runs first, whatever its
// deadline.
func TestRanksGoInOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	gate := &Gate{Now: func() time.Time { return now }, Slots: 1, Fixed: true}
	first, err := gate.Enter(gtconfig.Normal, now.Add(time.Second))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	low, _ := gate.Enter(gtconfig.Normal+2, now.Add(500*time.Millisecond))
	high, _ := gate.Enter(gtconfig.Normal+1, now.Add(time.Second))
	first.Done("r", time.Millisecond, Good)
	g.Expect(high.Granted()).To(gomega.BeClosed())
	g.Expect(low.Granted()).NotTo(gomega.BeClosed())
}
