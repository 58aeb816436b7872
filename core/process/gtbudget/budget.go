// Package gtbudget decides how many bytes of memory a process holds for callers, peers and the
// backend server: what may be reserved, what waits, and who is dropped when memory is short.
//
// # Usage
//
//	h := budget.Join(func() { interruptRead() })
//	defer h.Leave()
//	switch h.Reserve(n) {
//	case gtbudget.Granted: // read up to n bytes, then h.Moved(bytes)
//	case gtbudget.Short:   // wait for h.Freed() with the socket unread, then reserve again
//	case gtbudget.Dropped: // refuse the request
//	}
//
// A holder is one request body that is read, or one response that is written. A holder that is
// alone, but for small ones, always gets its reservation, so that a single request inside the
// limits is served whatever the size of the budget.
package gtbudget

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// SmallBytes is the size up to which a holder may also use the part of the budget that is
	// kept for small ones, so that ordinary requests are served while large ones wait.
	SmallBytes = 64 << 10
	// smallShare is the share of the budget that is kept for small holders, as its divisor.
	smallShare = 8
	// responseShare is the share of the budget that is kept for responses, as its divisor. While
	// a response finds no room it holds a slot at its backend server; a body that waits holds
	// none.
	responseShare = 4
	// heldShare is the share of the budget that Hold may take from bodies and responses, in
	// eighths: what it counts can't wait or be dropped, and must not keep out every body.
	heldShare = 3
	// StallTime is the time in which a holder that is not to be dropped moves minMoved bytes.
	StallTime = time.Second
	minMoved  = 4 << 10
	// scanPeriod is the least time between two searches for holders to drop, as each looks at
	// all of them.
	scanPeriod = 50 * time.Millisecond
)

// Verdict is what becomes of a reservation.
type Verdict int

// The verdicts.
const (
	// Granted means that the bytes are reserved.
	Granted Verdict = iota
	// Short means that there is no room now.
	Short
	// Dropped means that the holder has been dropped and gets nothing any more.
	Dropped
)

// Budget is the budget of a process. Its fields are set before use. It is one shard, as each
// decision depends on the sum of all holders.
type Budget struct {
	// Bytes is the size of the budget.
	Bytes int64
	// Now reads the timer service's clock.
	Now func() time.Time

	held atomic.Int64 // by Hold

	mu       sync.Mutex
	used     int64
	wanted   int64 // by holders that wait
	leaving  int64 // held by holders that were dropped and have not left yet
	dropped  int64 // number of holders dropped so far
	lastScan time.Time
	holders  map[*Holder]struct{}
	waiting  map[*Holder]struct{}
}

// Holder holds bytes of a budget. A nil Holder holds without a bound.
type Holder struct {
	budget *Budget
	onDrop func()
	freed  chan struct{}

	// The rest is guarded by the lock of the budget.
	held       int64
	wants      int64
	moved      int64
	markMoved  int64 // moved at the time of mark
	mark       time.Time
	completeAt time.Time
	isResponse bool
	isComplete bool
	isDropped  bool
}

// Join adds a holder. onDrop is called, in any goroutine, when the holder is dropped. It must
// not block or call the budget. A nil Budget returns a nil Holder.
func (b *Budget) Join(onDrop func()) *Holder { return b.join(onDrop, false) }

// JoinResponse adds a holder for a response that is written. It moves bytes when they have been
// written. Its size has no bound, so that it gets no more than the budget even if it is alone,
// and it counts as stalled also while it waits for room.
func (b *Budget) JoinResponse(onDrop func()) *Holder { return b.join(onDrop, true) }

func (b *Budget) join(onDrop func(), isResponse bool) *Holder {
	if b == nil {
		return nil
	}
	h := &Holder{budget: b, onDrop: onDrop, isResponse: isResponse, freed: make(chan struct{}, 1), mark: b.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holders == nil {
		b.holders, b.waiting = map[*Holder]struct{}{}, map[*Holder]struct{}{}
	}
	b.holders[h] = struct{}{}
	return h
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used + b.held.Load()
}

// Hold counts n bytes that are held whether there is room or not, such as heads and the buffers
// of connections. A negative n gives them back. It takes no lock. A nil Budget counts nothing.
func (b *Budget) Hold(n int64) {
	if b != nil {
		b.held.Add(n)
	}
}

// reservable returns the size of the part of the budget that can be reserved.
func (b *Budget) reservable() int64 { return b.Bytes - min(b.held.Load(), b.Bytes*heldShare/8) }

// DroppedCount returns how many holders have been dropped.
func (b *Budget) DroppedCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// TryReserve reserves bytes without a holder, and reports whether there is room for them.
func (b *Budget) TryReserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.reservable() {
		return false
	}
	b.used += n
	return true
}

// Release gives back bytes that TryReserve has reserved.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(n)
}

// Reserve reserves n bytes for the holder. If there is no room, it may drop holders that make
// the least progress, this one among them.
func (h *Holder) Reserve(n int64) Verdict {
	if h == nil {
		return Granted
	}
	b := h.budget
	drop, verdict := b.reserve(h, n)
	for _, other := range drop {
		other.onDrop()
	}
	return verdict
}

func (b *Budget) reserve(h *Holder, n int64) ([]*Holder, Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopWaitingLocked(h)
	switch {
	case h.isDropped:
		return nil, Dropped
	case b.fitsLocked(h, n):
		b.used += n
		h.held += n
		return nil, Granted
	}
	h.wants = n
	b.wanted += n
	b.waiting[h] = struct{}{}
	drop := b.pickLocked()
	if h.isDropped {
		return drop, Dropped
	}
	return drop, Short
}

// fitsLocked reports whether n more bytes may be reserved for the holder.
func (b *Budget) fitsLocked(h *Holder, n int64) bool {
	reserve := b.Bytes / smallShare
	small := h.held+n <= SmallBytes
	all := b.reservable()
	large := all - reserve
	if !h.isResponse {
		large -= b.Bytes / responseShare
	}
	return b.used+n <= large || small && b.used+n <= all || !h.isResponse && b.used-h.held <= reserve
}

// pickLocked drops the holders with the least progress, until what they hold covers what is
// wanted. Those that stall by themselves go first. Holders that wait for room are dropped only
// if no other holds anything that it will give back: those that have moved least, and not the
// last one.
func (b *Budget) pickLocked() []*Holder {
	now := b.Now()
	if now.Sub(b.lastScan) < scanPeriod {
		return nil
	}
	b.lastScan = now
	var stalled, waiting []*Holder
	returning := false
	for h := range b.holders {
		_, waits := b.waiting[h]
		switch {
		case h.isDropped || h.held == 0:
		case waits && !h.isResponse:
			waiting = append(waiting, h)
		case !h.isComplete && now.Sub(h.mark) >= StallTime:
			stalled = append(stalled, h)
		default:
			returning = true
		}
	}
	slices.SortFunc(stalled, func(a, c *Holder) int { return a.mark.Compare(c.mark) })
	if !returning && len(stalled) == 0 && b.leaving == 0 && len(waiting) > 1 {
		slices.SortFunc(waiting, func(a, c *Holder) int { return cmp.Compare(a.moved, c.moved) })
		stalled = waiting[:len(waiting)-1]
	}
	var drop []*Holder
	for _, h := range stalled {
		if b.leaving >= b.wanted {
			break
		}
		b.stopWaitingLocked(h)
		h.isDropped = true
		b.leaving += h.held
		b.dropped++
		drop = append(drop, h)
	}
	return drop
}

// stopWaitingLocked tells that a holder doesn't wait any more.
func (b *Budget) stopWaitingLocked(h *Holder) {
	if _, ok := b.waiting[h]; ok {
		delete(b.waiting, h)
		b.wanted -= h.wants
	}
}

// Charge reserves n bytes that are held already, whether there is room or not.
func (h *Holder) Charge(n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.used += n
	h.held += n
}

// Freed returns the channel that gets a value when a holder that waits may reserve again.
func (h *Holder) Freed() <-chan struct{} { return h.freed }

// Moved tells that n bytes have been received from, or delivered to, the other end.
func (h *Holder) Moved(n int) {
	if h == nil || n == 0 {
		return
	}
	now := h.budget.Now()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.moved += int64(n)
	if h.moved-h.markMoved >= minMoved {
		h.mark, h.markMoved = now, h.moved
	}
}

// Complete tells that the other end has nothing more to do, so that the holder is not dropped.
func (h *Holder) Complete() {
	if h == nil {
		return
	}
	now := h.budget.Now()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.isComplete, h.completeAt = true, now
	h.budget.stopWaitingLocked(h)
}

// Resume tells that the other end has to send, or take, more after Complete. The time
// since then doesn't count as stalled.
func (h *Holder) Resume() {
	if h == nil {
		return
	}
	now := h.budget.Now()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.isComplete {
		h.isComplete = false
		h.mark = h.mark.Add(max(0, now.Sub(h.completeAt)))
	}
}

// IsDropped reports whether the holder has been dropped.
func (h *Holder) IsDropped() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.isDropped
}

// Release gives back n bytes.
func (h *Holder) Release(n int64) {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseHeldLocked(h, n)
}

// Leave gives back all bytes. Further calls have no effect.
func (h *Holder) Leave() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopWaitingLocked(h)
	delete(b.holders, h)
	b.releaseHeldLocked(h, h.held)
}

func (b *Budget) releaseHeldLocked(h *Holder, n int64) {
	h.held -= n
	if h.isDropped {
		b.leaving -= n
	}
	b.releaseLocked(n)
}

// releaseLocked gives back bytes and wakes as many waiting holders as there is room for.
func (b *Budget) releaseLocked(n int64) {
	b.used -= n
	if n == 0 {
		return
	}
	room := b.reservable() - b.used
	for h := range b.waiting {
		if room <= 0 {
			return
		}
		room -= h.wants
		select {
		case h.freed <- struct{}{}:
		default:
		}
	}
}
