package gtdelta

import (
	"sync"
	"sync/atomic"
	"time"

	"godwittide/core/version/gtconfig"
)

// LogLength is the number of past deltas that a node keeps for its peers.
const LogLength = 32

// Applied is a version in force: the files and their merged result, swapped
// in as one.
type Applied struct {
	set Set
	cfg *gtconfig.Config
	at  time.Time
}

// Set returns the files.
func (a *Applied) Set() Set { return a.set }

// Config returns the merged result.
func (a *Applied) Config() *gtconfig.Config { return a.cfg }

// At returns when the version came into force on this node.
func (a *Applied) At() time.Time { return a.at }

// Holder keeps the version in force on a node. It moves only upwards.
type Holder struct {
	// Now reads the timer service's clock. It is set before use.
	Now func() time.Time

	mu      sync.Mutex
	log     []Delta
	current atomic.Pointer[Applied]
}

// Current returns the version in force; before the first, an empty one with
// version 0.
func (h *Holder) Current() *Applied {
	if a := h.current.Load(); a != nil {
		return a
	}
	return &Applied{set: NewSet(0, 0, nil), cfg: gtconfig.Empty()}
}

// Offer puts a version in force if it is higher than the one in force, and
// says whether it did.
func (h *Holder) Offer(set Set, cfg *gtconfig.Config) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.Current()
	if set.Version() <= old.set.Version() {
		return false
	}
	h.log = append(h.log, Diff(old.set, set))
	if len(h.log) > LogLength {
		h.log = append([]Delta(nil), h.log[1:]...)
	}
	h.current.Store(&Applied{set: set, cfg: cfg, at: h.Now()})
	return true
}

// Since returns the deltas that lead a peer from the given version to the one
// in force, oldest first, and false if the peer needs a full snapshot.
func (h *Holder) Since(version int64, sum string) ([]Delta, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, d := range h.log {
		if d.base == version && d.baseSum == sum {
			return append([]Delta(nil), h.log[i:]...), true
		}
	}
	return nil, false
}
