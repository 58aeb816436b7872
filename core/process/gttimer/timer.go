// Package gttimer provides the timer service of a process. All delayed and
// periodic work subscribes to it, so that the whole process can run under another
// clock and tests can advance the time themselves.
//
// # Usage
//
//	timer := &gttimer.Service{Now: time.Now}
//	go timer.Run(ctx)
//	ticker := timer.Every(time.Second, 0.1)
//	defer ticker.Stop()
//	for range ticker.C() { ... }
//
// A test doesn't call Run; it calls Step with the time up to which ticks are
// delivered.
//
// The service also detects pauses of the process itself. A duration that was
// measured across a pause says nothing about the remote side and must not be
// used as a measurement:
//
//	if !timer.PausedSince(start) { recordLatency(timer.Time().Sub(start)) }
package gttimer

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// clockCheckPeriod is the longest time that Run sleeps between two checks of
	// the clock.
	clockCheckPeriod = 100 * time.Millisecond
	// pauseThreshold is the time between two checks of the clock above which the
	// process counts as paused: it was stopped or got no processor time.
	pauseThreshold = 250 * time.Millisecond
	// pauseSeriesGap is the longest time that the process runs between two pauses of one
	// series. A node short of processor time wrote log lines 0.9 s after a SIGTERM that it
	// had not handled yet, and was paused again after them.
	pauseSeriesGap = time.Second
	// tickGrid is the distance between the times at which periodic ticks are
	// delivered. They are delivered together, and with a check of the clock, since each
	// time that the process wakes up costs as much as the work of most ticks.
	tickGrid = clockCheckPeriod
	// minGridPeriod is the shortest period whose ticks are delivered on the grid.
	minGridPeriod = 200 * time.Millisecond
)

// Service delivers ticks to subscribers. It keeps its subscriptions in a heap,
// ordered by the time at which they are next due.
type Service struct {
	// Now returns the current time. It is set before Run; nil means time.Now.
	Now func() time.Time
	// Rand returns a random number in [0,1) for jitter. It is set before Run; nil
	// means rand.Float64.
	Rand func() float64

	mu        sync.Mutex
	origin    time.Time // of the grid
	tickers   tickerHeap
	wake      chan struct{}
	lastCheck time.Time
	lastPause time.Time // end of the latest pause
	pausedAt  time.Time // last check before the series of pauses that it ends
}

// Ticker is one subscription. Its channel holds at most one pending tick: while
// one is pending, further ticks are dropped instead of queued for a slow
// subscriber.
type Ticker struct {
	service *Service
	c       chan time.Time
	next    time.Time
	period  time.Duration
	jitter  float64
	index   int
}

// Moment is a point in time that several threads set and read. It keeps the reading of
// the steady clock, so that steps of the time of day don't change intervals. Its zero
// value is the zero time.
type Moment struct{ at atomic.Pointer[time.Time] }

// Set sets the moment.
func (m *Moment) Set(t time.Time) { m.at.Store(&t) }

// Time returns the moment as it was set, or the zero time.
func (m *Moment) Time() time.Time {
	if t := m.at.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Time returns the current time of the service's clock.
func (s *Service) Time() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

// Every subscribes to periodic ticks. Each interval is lengthened or shortened at
// random by up to jitter (0 to 1) times the period, and, if the period is at least
// minGridPeriod, by less than tickGrid so that it ends on the grid.
func (s *Service) Every(period time.Duration, jitter float64) *Ticker {
	t := &Ticker{service: s, c: make(chan time.Time, 1), period: period, jitter: jitter, index: -1}
	s.mu.Lock()
	next := s.nextTick(s.Time(), t)
	s.mu.Unlock()
	s.schedule(t, next)
	return t
}

// nextTick returns the time of the tick of t after now. The caller holds the lock.
func (s *Service) nextTick(now time.Time, t *Ticker) time.Time {
	next := now.Add(s.withJitter(t.period, t.jitter))
	if t.period < minGridPeriod {
		return next
	}
	return next.Add(s.untilGrid(next))
}

// untilGrid returns the time from t to the next point of the grid, which is 0 if t is
// one. The caller holds the lock.
func (s *Service) untilGrid(t time.Time) time.Duration {
	if s.origin.IsZero() {
		s.origin = t // differs between the nodes of a fleet
	}
	past := t.Sub(s.origin) % tickGrid
	if past <= 0 {
		return -past
	}
	return tickGrid - past
}

// After subscribes to a single tick that is due after d.
func (s *Service) After(d time.Duration) *Ticker {
	t := &Ticker{service: s, c: make(chan time.Time, 1), index: -1}
	s.schedule(t, s.Time().Add(d))
	return t
}

// Sleep blocks until d has passed, and returns nil, or until ctx is done, and
// returns the error of ctx.
func (s *Service) Sleep(ctx context.Context, d time.Duration) error {
	t := s.After(d)
	defer t.Stop()
	select {
	case <-t.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the channel on which ticks are delivered.
func (t *Ticker) C() <-chan time.Time { return t.c }

// Stop cancels the subscription. It does not close the channel.
func (t *Ticker) Stop() {
	s := t.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.index >= 0 {
		heap.Remove(&s.tickers, t.index)
	}
	t.period = 0
}

// Run delivers ticks and checks for process pauses until ctx is done.
func (s *Service) Run(ctx context.Context) {
	wake := s.wakeChannel()
	for {
		check := s.checkClock()
		next, ok := s.Step(s.Time())
		if !ok || check.Before(next) {
			next = check
		}
		timer := time.NewTimer(max(next.Sub(s.Time()), 0))
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

// checkClock records the time of this check, and a process pause if the previous
// check is longer ago than pauseThreshold. It returns the time of the next check.
func (s *Service) checkClock() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Time()
	if !s.lastCheck.IsZero() && now.Sub(s.lastCheck) > pauseThreshold {
		s.lastPause, s.pausedAt = now, s.seriesStart()
	}
	s.lastCheck = now
	next := now.Add(1)
	return next.Add(s.untilGrid(next))
}

// PausedSince reports whether the process was paused at some time after since.
// Only the latest pause is known, and none before Run has first checked the
// clock.
func (s *Service) PausedSince(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastCheck.IsZero() {
		return false
	}
	return s.lastPause.After(since) || s.Time().Sub(s.lastCheck) > pauseThreshold
}

// seriesStart returns the start of the series of pauses that a pause after the last check
// belongs to. The caller holds the lock.
func (s *Service) seriesStart() time.Time {
	if !s.lastPause.IsZero() && s.lastCheck.Sub(s.lastPause) <= pauseSeriesGap {
		return s.pausedAt
	}
	return s.lastCheck
}

// EarliestArrival returns the earliest time at which a signal may have arrived that the
// process handles now: before a series of pauses that has just ended, or else now. Between
// two pauses the process may run without getting to the signal.
func (s *Service) EarliestArrival() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Time()
	switch {
	case s.lastCheck.IsZero():
		return now
	case now.Sub(s.lastCheck) > pauseThreshold: // the pause is not recorded yet
		return s.seriesStart()
	case !s.lastPause.IsZero() && now.Sub(s.lastPause) <= pauseThreshold:
		return s.pausedAt
	default:
		return now
	}
}

// Step delivers all ticks that are due at now. It returns the time of the next
// tick, and false if there are no subscriptions.
func (s *Service) Step(now time.Time) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.tickers) > 0 && !s.tickers[0].next.After(now) {
		t := s.tickers[0]
		select {
		case t.c <- now:
		default:
		}
		if t.period <= 0 {
			heap.Pop(&s.tickers)
			continue
		}
		t.next = s.nextTick(now, t)
		heap.Fix(&s.tickers, 0)
	}
	if len(s.tickers) == 0 {
		return time.Time{}, false
	}
	return s.tickers[0].next, true
}

// schedule adds a subscription that is due at the given time, and wakes Run if
// that is earlier than all others.
func (s *Service) schedule(t *Ticker, at time.Time) {
	wake := s.wakeChannel()
	s.mu.Lock()
	t.next = at
	heap.Push(&s.tickers, t)
	isNext := t.index == 0
	s.mu.Unlock()
	if !isNext {
		return
	}
	select {
	case wake <- struct{}{}:
	default:
	}
}

// wakeChannel returns the channel that wakes Run, and creates it on first use.
func (s *Service) wakeChannel() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	return s.wake
}

// withJitter returns d lengthened or shortened at random by up to jitter*d.
func (s *Service) withJitter(d time.Duration, jitter float64) time.Duration {
	if jitter <= 0 {
		return d
	}
	random := rand.Float64
	if s.Rand != nil {
		random = s.Rand
	}
	return time.Duration(float64(d) * (1 + jitter*(2*random()-1)))
}

// tickerHeap implements heap.Interface, ordered by the time of the next tick.
type tickerHeap []*Ticker

func (h tickerHeap) Len() int           { return len(h) }
func (h tickerHeap) Less(i, j int) bool { return h[i].next.Before(h[j].next) }
func (h tickerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *tickerHeap) Push(x any) {
	t := x.(*Ticker)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *tickerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
