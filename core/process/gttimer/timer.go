// Package gttimer is the process's one timer service. Every part that needs
// to act later, or again and again, subscribes here, so that the whole process
// can run under another clock and a test can move time by hand.
//
// # Usage
//
//	timer := &gttimer.Service{Now: time.Now}
//	go timer.Run(ctx)
//	tick := timer.Every(time.Second, 0.1)
//	defer tick.Stop()
//	for range tick.C() { ... }
//
// A test leaves Run out and calls Step with the time that it wants it to be.
//
// The service also notices when the process itself stood still. What was timed
// across such a moment says nothing of anybody else:
//
//	if !timer.Stalled(start) { learn(timer.Time().Sub(start)) }
package gttimer

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// lookEvery is the longest that Run sleeps: it looks at the clock as often.
	lookEvery = 100 * time.Millisecond
	// stallFloor is the time between two looks from which the process counts as
	// having stood still: stopped, or without processor time.
	stallFloor = 250 * time.Millisecond
)

// Service keeps subscriptions ordered by the time when they are next due.
type Service struct {
	// Now reads the clock. It is set before Run; nil means time.Now.
	Now func() time.Time
	// Rand draws from [0,1) for jitter. It is set before Run; nil means a
	// process-wide source.
	Rand func() float64

	mu    sync.Mutex
	due   dueHeap
	wake  chan struct{}
	seen  time.Time
	stall time.Time
}

// Tick is one subscription. Its channel holds at most one pending tick, so a
// slow subscriber sees fewer ticks, never a queue of old ones.
type Tick struct {
	owner  *Service
	c      chan time.Time
	at     time.Time
	period time.Duration
	jitter float64
	index  int
}

// Time returns the current time of the service's clock.
func (s *Service) Time() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

// Every subscribes to a tick each period, lengthened or shortened by up to
// the given share of the period (0 to 1).
func (s *Service) Every(period time.Duration, jitter float64) *Tick {
	t := &Tick{owner: s, c: make(chan time.Time, 1), period: period, jitter: jitter, index: -1}
	s.add(t, s.Time().Add(s.spread(period, jitter)))
	return t
}

// After subscribes to one tick after d.
func (s *Service) After(d time.Duration) *Tick {
	t := &Tick{owner: s, c: make(chan time.Time, 1), index: -1}
	s.add(t, s.Time().Add(d))
	return t
}

// Wait blocks until d has passed or ctx has ended, and returns the error of ctx.
func (s *Service) Wait(ctx context.Context, d time.Duration) error {
	t := s.After(d)
	defer t.Stop()
	select {
	case <-t.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the channel on which ticks arrive.
func (t *Tick) C() <-chan time.Time { return t.c }

// Stop ends the subscription. The channel is not closed.
func (t *Tick) Stop() {
	s := t.owner
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.index >= 0 {
		heap.Remove(&s.due, t.index)
	}
	t.period = 0
}

// Run delivers ticks until ctx ends.
func (s *Service) Run(ctx context.Context) {
	wake := s.waker()
	for {
		s.look()
		next, ok := s.Step(s.Time())
		wait := lookEvery
		if ok {
			wait = min(wait, next.Sub(s.Time()))
		}
		timer := time.NewTimer(max(wait, 0))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// look notes the time, and whether the process stood still since the last look.
func (s *Service) look() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Time()
	if !s.seen.IsZero() && now.Sub(s.seen) > stallFloor {
		s.stall = now
	}
	s.seen = now
}

// Stalled says whether the process stood still at some time after since. It
// knows of the last stall only, and of none while Run does not run.
func (s *Service) Stalled(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen.IsZero() {
		return false
	}
	return s.stall.After(since) || s.Time().Sub(s.seen) > stallFloor
}

// Step delivers every tick that is due at now. It returns the time of the
// next one, and false when nobody is subscribed.
func (s *Service) Step(now time.Time) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.due) > 0 && !s.due[0].at.After(now) {
		t := s.due[0]
		select {
		case t.c <- now:
		default:
		}
		if t.period <= 0 {
			heap.Pop(&s.due)
			continue
		}
		t.at = now.Add(s.spread(t.period, t.jitter))
		heap.Fix(&s.due, 0)
	}
	if len(s.due) == 0 {
		return time.Time{}, false
	}
	return s.due[0].at, true
}

func (s *Service) add(t *Tick, at time.Time) {
	wake := s.waker()
	s.mu.Lock()
	t.at = at
	heap.Push(&s.due, t)
	first := t.index == 0
	s.mu.Unlock()
	if !first {
		return
	}
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (s *Service) waker() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	return s.wake
}

func (s *Service) spread(d time.Duration, jitter float64) time.Duration {
	if jitter <= 0 {
		return d
	}
	draw := rand.Float64
	if s.Rand != nil {
		draw = s.Rand
	}
	return time.Duration(float64(d) * (1 + jitter*(2*draw()-1)))
}

type dueHeap []*Tick

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *dueHeap) Push(x any) {
	t := x.(*Tick)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *dueHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
