package gtadmission

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

// server simulates a backend server with its own clock. It runs up to capacity
// requests at once and sheds the rest.
type server struct {
	now         time.Time
	gate        *Gate
	capacity    int
	serviceTime time.Duration
	running     []run
	waiting     []waiting
	longestWait time.Duration
	mostRunning int
	succeeded   int
	shed        int
	refused     int
}

// waiting is a request that holds a ticket and has not started.
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
	s := &server{now: time.Unix(1000, 0), capacity: capacity, serviceTime: 10 * time.Millisecond}
	s.gate = &Gate{Now: func() time.Time { return s.now }, Slots: slots}
	return s
}

// offer sends requests at the given rate for the duration d, in steps of one
// millisecond.
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

// burst sends n requests at the same time.
func (s *server) burst(n int) {
	for range n {
		s.enter()
	}
}

func (s *server) enter() {
	t, err := s.gate.Enter(gtconfig.Normal, time.Time{}, s.now.Add(time.Second))
	if err != nil {
		s.refused++
		return
	}
	s.waiting = append(s.waiting, waiting{t, s.now})
}

func (s *server) start() {
	var queued []waiting
	for _, w := range s.waiting {
		t := w.ticket
		select {
		case <-t.Decided():
			s.longestWait = max(s.longestWait, s.now.Sub(w.since))
			s.mostRunning = max(s.mostRunning, len(s.running)+1)
			if len(s.running) >= s.capacity {
				s.shed++
				t.Done("r", time.Millisecond, Shed)
				continue
			}
			s.running = append(s.running, run{t, s.now, s.now.Add(s.serviceTime)})
		default:
			queued = append(queued, w)
		}
	}
	s.waiting = queued
}

func (s *server) finish() {
	var unfinished []run
	for _, r := range s.running {
		if s.now.Before(r.until) {
			unfinished = append(unfinished, r)
			continue
		}
		s.succeeded++
		r.ticket.Done("r", s.now.Sub(r.since), Succeeded)
	}
	s.running = unfinished
}

// Guards against overloading a backend server that can handle only a tenth of
// its slots: right after its start, and after it has to warm up again without
// having restarted.
func TestWarmingUpServerIsNotOverloaded(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newServer(10, 1)
	s.offer(600, 200*time.Millisecond)
	g.Expect(s.mostRunning).To(gomega.Equal(1), "right after the start")
	s.capacity = 10
	s.offer(600, 20*time.Second)
	s.mostRunning, s.shed, s.succeeded = 0, 0, 0
	s.offer(600, time.Second)
	g.Expect(s.succeeded).To(gomega.BeNumerically(">", 550), "after the warm-up the server gets nearly the whole load")
	s.capacity = 1
	s.offer(600, 500*time.Millisecond)
	g.Expect(s.shed).To(gomega.BeNumerically("<", 20), "the first refusals decrease the limit")
	s.shed, s.mostRunning = 0, 0
	s.offer(600, 4*time.Second)
	g.Expect(s.shed).To(gomega.BeNumerically("<", 8), "further attempts to increase the limit become rarer")
	g.Expect(s.mostRunning).To(gomega.BeNumerically("<=", 2))
	fixed := newServer(10, 1)
	fixed.gate.Fixed = true
	fixed.offer(600, 4*time.Second)
	g.Expect(fixed.shed).To(gomega.BeNumerically(">", 100), "the same check fails with a fixed limit")
}

// Guards against goodput that collapses under overload instead of staying near
// its peak.
func TestGoodputUnderOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	peak, last := 0, 0
	for _, rate := range []int{400, 800, 1600, 4000} {
		s := newServer(16, 8)
		s.offer(rate, 10*time.Second)
		s.succeeded = 0
		s.offer(rate, 10*time.Second)
		t.Logf("%d requests per second: %d succeeded, %d shed, %d refused", rate, s.succeeded, s.shed, s.refused)
		peak, last = max(peak, s.succeeded), s.succeeded
	}
	g.Expect(float64(last)).To(gomega.BeNumerically(">", 0.9*float64(peak)))
}

// Guards against refusing a burst, as callers send it after a delay, although all
// of it can run within the maximum wait. A queue of half the slots would refuse
// all but the first 15 requests.
func TestBurstIsQueuedNotRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newServer(10, 10)
	s.offer(600, 20*time.Second)
	s.refused, s.succeeded, s.longestWait = 0, 0, 0
	const burst = 150
	s.burst(burst)
	s.offer(0, time.Second)
	g.Expect(s.refused).To(gomega.BeZero())
	g.Expect(s.succeeded).To(gomega.BeNumerically(">=", burst))
	g.Expect(s.longestWait).To(gomega.BeNumerically("<=", MaxWait))
}

// Guards against decreasing the limit after a process pause. The pause delays all
// responses and lets requests pile up, but the latency is not the backend
// server's: the limit stays and the burst is served.
func TestBurstAfterProcessPauseIsServed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newServer(10, 10)
	s.offer(600, 20*time.Second)
	for range 10 {
		s.refused = 0
		s.offer(600, 500*time.Millisecond)
		s.now = s.now.Add(900 * time.Millisecond)
		resumed := s.now
		s.gate.PausedSince = func(since time.Time) bool { return since.Before(resumed) }
		s.finish()
		s.burst(100)
		s.offer(0, 500*time.Millisecond)
		g.Expect(s.refused).To(gomega.BeZero())
	}
}

// Guards against a long standing queue under lasting overload: a queue that never
// empties delays every request without raising throughput.
func TestStandingQueueStaysShort(t *testing.T) {
	g := gomega.NewWithT(t)
	const slots, capacity = 16, 8
	s := newServer(slots, capacity)
	s.offer(600, 20*time.Second)
	s.offer(1600, 2*time.Second)
	s.longestWait, s.succeeded = 0, 0
	s.offer(1600, 10*time.Second)
	g.Expect(s.longestWait).To(gomega.BeNumerically("<=", s.serviceTime+slots/slotsPerQueuePlace*s.serviceTime/(capacity/2)))
	g.Expect(s.succeeded).To(gomega.BeNumerically(">", 7200), "nine tenths of the capacity of 8000 requests in 10 s")
}

// Guards against queueing long bursts for a backend server that has just started
// and handles one request at a time: the service time is not known yet.
func TestBurstAtWarmingUpServerDoesNotPileUp(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newServer(10, 1)
	for range 20 {
		s.burst(100)
		s.offer(0, 100*time.Millisecond)
	}
	g.Expect(s.longestWait).To(gomega.BeNumerically("<=", MaxWait+s.serviceTime))
	g.Expect(s.succeeded).To(gomega.BeNumerically(">", 150), "the server does not stay idle")
}

func TestQueueIsOrderedAndBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	gate := &Gate{Now: func() time.Time { return now }, Slots: 4}
	first, err := gate.Enter(gtconfig.Normal, time.Time{}, now.Add(time.Second))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	late, _ := gate.Enter(gtconfig.Normal, time.Time{}, now.Add(time.Second))
	soon, _ := gate.Enter(gtconfig.Normal, time.Time{}, now.Add(500*time.Millisecond))
	fast, _ := gate.Enter(gtconfig.Fast, time.Time{}, now.Add(time.Second))
	_, err = gate.Enter(gtconfig.Normal, time.Time{}, now.Add(time.Second))
	g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Full))
	_, err = gate.Enter(gtconfig.Normal, time.Time{}, now)
	g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Expired))
	for _, t := range []*Ticket{fast, soon, late} {
		g.Expect(t.Decided()).NotTo(gomega.BeClosed())
		first.Done("r", time.Millisecond, Succeeded)
		g.Expect(t.Decided()).To(gomega.BeClosed())
		first = t
	}
	gate.Close(gtkind.Leaving)
	_, err = gate.Enter(gtconfig.Normal, time.Time{}, now.Add(time.Second))
	g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Leaving))
	g.Expect(first.Abandon()).To(gomega.BeTrue())
	g.Expect(gate.Load("").Busy()).To(gomega.BeZero())
}

// Guards against exceeding the rate limit of a backend server that is warming up
// by more than a small burst, and against keeping the limit after the warm-up.
func TestWarmingUpServerIsRateLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	gate := &Gate{Now: func() time.Time { return now }, Slots: 9, Fixed: true}
	gate.LimitWarmUpRate(13, 3*time.Second)
	var times []time.Time
	for start := now; now.Sub(start) < 3*time.Second; now = now.Add(5 * time.Millisecond) {
		if ticket, err := gate.Enter(gtconfig.Normal, time.Time{}, now.Add(time.Second)); err == nil {
			times = append(times, now)
			ticket.Done("r", time.Millisecond, Succeeded)
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
		_, err := gate.Enter(gtconfig.Normal, time.Time{}, now.Add(time.Second))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

// Of the queued requests, those of the more urgent rank run first, whatever their
// deadlines.
func TestQueuedRanksRunInOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	gate := &Gate{Now: func() time.Time { return now }, Slots: 1, Fixed: true}
	first, err := gate.Enter(gtconfig.Normal, time.Time{}, now.Add(time.Second))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	low, _ := gate.Enter(gtconfig.Normal+2, time.Time{}, now.Add(500*time.Millisecond))
	high, _ := gate.Enter(gtconfig.Normal+1, time.Time{}, now.Add(time.Second))
	first.Done("r", time.Millisecond, Succeeded)
	g.Expect(high.Decided()).To(gomega.BeClosed())
	g.Expect(low.Decided()).NotTo(gomega.BeClosed())
}

// A refusal by the server during the hold after a rise of latency lowers the limit
// further. It must not end that hold.
func TestRefusalDoesNotEndAHold(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	l := &limiter{}
	l.reset(100, now)
	l.limit = 50
	l.shrink(40, now)
	l.observeShed(30, now.Add(100*time.Millisecond))
	g.Expect(l.current()).To(gomega.Equal(30))
	g.Expect(l.holdUntil).To(gomega.BeTemporally(">=", now.Add(100*time.Millisecond+minHold)))
}
