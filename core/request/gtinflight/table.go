// Package gtinflight keeps the requests that a process has in flight, so that they can be
// counted, and named when a shutdown waits for them.
//
// # Usage
//
//	requests := &gtinflight.Table{Now: timer.Time}
//	entry := requests.Begin(gtinflight.Caller, r.RemoteAddr)
//	defer entry.End()
//	entry.Identify(id, route, deadline)
//	ctx = gtinflight.NewContext(ctx, entry)
//	gtinflight.FromContext(ctx).MoveTo(gtinflight.Working, "lending-1")
//	entry.SetOutcome(gtinflight.Answered)
//	for _, r := range requests.Oldest(20) { log(r.ID(), r.Stage(), r.Began()) }
//
// Entries are in shards, each under its own lock. The methods of a nil Table or Entry do
// nothing, so that parts can be used without one.
package gtinflight

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// shardCount is the number of shards of a Table.
const shardCount = 16

// Table holds the requests in flight. Its exported field is set before use.
type Table struct {
	// Now reads the timer service's clock.
	Now func() time.Time

	next   atomic.Uint64
	shards [shardCount]shard
}

// shard is a part of the table under its own lock.
type shard struct {
	mu       sync.Mutex
	entries  map[*Entry]struct{}
	outcomes Outcomes
}

// Begin adds a request that a process of the given origin has sent from an address. Its
// stage is Reading. The entry must be ended.
func (t *Table) Begin(origin Origin, from string) *Entry {
	if t == nil {
		return nil
	}
	s := &t.shards[t.next.Add(1)%shardCount]
	e := &Entry{shard: s, request: Request{origin: origin, from: from, began: t.Now(), outcome: Cut}}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = map[*Entry]struct{}{}
	}
	s.entries[e] = struct{}{}
	return e
}

// Len returns the number of requests in flight. It locks one shard at a time.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	n := 0
	t.each(func(s *shard) { n += len(s.entries) })
	return n
}

// Oldest returns the n requests that have been in flight for longest, the oldest first.
func (t *Table) Oldest(n int) []Request {
	var all []Request
	t.each(func(s *shard) {
		for e := range s.entries {
			all = append(all, e.request)
		}
	})
	slices.SortFunc(all, func(a, b Request) int { return cmp.Or(a.began.Compare(b.began), cmp.Compare(a.id, b.id)) })
	return all[:min(n, len(all))]
}

// InterruptReading interrupts the requests whose body is being read and whose head was read
// before the given time.
func (t *Table) InterruptReading(before time.Time) {
	t.each(func(s *shard) {
		for e := range s.entries {
			if e.request.began.Before(before) {
				e.interruptLocked()
			}
		}
	})
}

// StopStreams stops the bodies that are being forwarded in windows.
func (t *Table) StopStreams() {
	var stops []func()
	t.each(func(s *shard) {
		for e := range s.entries {
			if e.stopStream != nil {
				stops = append(stops, e.stopStream)
			}
		}
	})
	for _, stop := range stops {
		stop()
	}
}

// Counts returns the number of requests in flight by origin and stage.
func (t *Table) Counts() Counts {
	var c Counts
	t.each(func(s *shard) {
		for e := range s.entries {
			c[e.request.origin][e.request.stage]++
		}
	})
	return c
}

// Outcomes returns how many requests have ended so far, by outcome.
func (t *Table) Outcomes() Outcomes {
	var sum Outcomes
	t.each(func(s *shard) {
		for i, n := range s.outcomes {
			sum[i] += n
		}
	})
	return sum
}

// each calls fn with each shard while holding its lock.
func (t *Table) each(fn func(s *shard)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		fn(s)
		s.mu.Unlock()
	}
}

// Entry is a request in a Table.
type Entry struct {
	shard   *shard
	request Request // guarded by the lock of the shard, as the following fields
	ended   bool

	stopStream  func() // of a body that is forwarded in windows
	interrupt   func() // while the body is read
	interrupted bool
}

// Identify sets the request's ID, route and deadline, once they are known. The deadline may
// be zero as long as it isn't.
func (e *Entry) Identify(id, route string, deadline time.Time) {
	e.update(func(r *Request) { r.id, r.route, r.deadline = id, route, deadline })
}

// MoveTo sets the request's stage, and the instance that it is at in that stage, if any.
func (e *Entry) MoveTo(stage Stage, instance string) {
	e.update(func(r *Request) { r.stage, r.instance = stage, instance })
}

// BeginReading tells that the request's body is read from now on, and how to interrupt that.
// The function must not block.
func (e *Entry) BeginReading(interrupt func()) {
	if e == nil {
		return
	}
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	e.interrupt = interrupt
}

// Interrupt interrupts the reading of the body, if it is being read.
func (e *Entry) Interrupt() {
	if e == nil {
		return
	}
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	e.interruptLocked()
}

// interruptLocked interrupts the reading of the body. The caller holds the lock of the shard.
func (e *Entry) interruptLocked() {
	if e.interrupt != nil {
		e.interrupted = true
		e.interrupt()
	}
}

// EndReading tells that the body is no longer read, and reports whether it could be read
// without an interruption.
func (e *Entry) EndReading() bool {
	if e == nil {
		return true
	}
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	e.interrupt = nil
	return !e.interrupted
}

// BeginStream tells that the request's body is forwarded in windows, and how to stop that. The
// function must not block, and may be called after the body has ended.
func (e *Entry) BeginStream(stop func()) {
	if e == nil {
		return
	}
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	e.stopStream = stop
}

// SetOutcome sets what the request ends with. Without one it ends as Cut.
func (e *Entry) SetOutcome(o Outcome) { e.update(func(r *Request) { r.outcome = o }) }

// update changes the request under the lock of its shard.
func (e *Entry) update(fn func(r *Request)) {
	if e == nil {
		return
	}
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	fn(&e.request)
}

// End removes the request from the table and counts its outcome. Further calls have no
// effect.
func (e *Entry) End() {
	if e == nil {
		return
	}
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	delete(e.shard.entries, e)
	e.shard.outcomes[e.request.outcome]++
}

// entryKey is the context key of a request's entry.
type entryKey struct{}

// NewContext returns a context that carries the entry of its request.
func NewContext(ctx context.Context, e *Entry) context.Context {
	if e == nil {
		return ctx
	}
	return context.WithValue(ctx, entryKey{}, e)
}

// FromContext returns the entry of the context's request, or nil.
func FromContext(ctx context.Context) *Entry {
	e, _ := ctx.Value(entryKey{}).(*Entry)
	return e
}
