package gtstream

import "sync"

// permitShare is the share of the backend server's slots that bodies which are still on their
// way may hold, as its divisor. The rest is left to requests that have arrived.
const permitShare = 2

// Permits bounds how many requests of one backend server hold, or wait for, a slot while their
// bodies are still on their way. Without a bound a crowd that stops short of its bodies takes
// all slots, and complete requests find the queue full. A body without a permit is read whole
// before its request waits for a slot.
type Permits struct {
	mu   sync.Mutex
	used int
}

// TryAcquire takes a permit, of which there are a share of the given number of slots, and
// reports whether there was one.
func (p *Permits) TryAcquire(slots int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used >= slots/permitShare {
		return false
	}
	p.used++
	return true
}

// HasFree reports whether TryAcquire would find a permit now.
func (p *Permits) HasFree(slots int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used < slots/permitShare
}

// Release gives a permit back.
func (p *Permits) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used--
}
