package gtdelta

import (
	"sync"
	"sync/atomic"
	"time"

	"godwittide/core/version/gtconfig"
)

// DeltaLogLength is the maximum number of recent deltas that a node keeps for its
// peers.
const DeltaLogLength = 32

// ActiveVersion holds the files and the merged configuration of a version, which
// become active together. It is immutable.
type ActiveVersion struct {
	snapshot    Snapshot
	cfg         *gtconfig.Config
	activatedAt time.Time
}

// Snapshot returns the snapshot of the files.
func (a *ActiveVersion) Snapshot() Snapshot { return a.snapshot }

// Config returns the merged configuration.
func (a *ActiveVersion) Config() *gtconfig.Config { return a.cfg }

// ActivatedAt returns the time at which the version became active on this node,
// or the zero time before the first version.
func (a *ActiveVersion) ActivatedAt() time.Time { return a.activatedAt }

// Holder holds the active version of a node, whose number only increases, and
// the recent deltas up to it. It is safe for concurrent use.
type Holder struct {
	// Now returns the current time of the timer service. It is set before use.
	Now func() time.Time

	mu       sync.Mutex
	deltaLog []Delta
	current  atomic.Pointer[ActiveVersion]
}

// Current returns the active version, or an empty one with number 0 before the
// first.
func (h *Holder) Current() *ActiveVersion {
	if a := h.current.Load(); a != nil {
		return a
	}
	return &ActiveVersion{snapshot: NewSnapshot(0, 0, nil), cfg: gtconfig.Empty()}
}

// Offer activates a version if its number is above that of the active version,
// and reports whether it did.
func (h *Holder) Offer(snapshot Snapshot, cfg *gtconfig.Config) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.Current()
	if snapshot.Version() <= old.snapshot.Version() {
		return false
	}
	h.deltaLog = append(h.deltaLog, Diff(old.snapshot, snapshot))
	if len(h.deltaLog) > DeltaLogLength {
		h.deltaLog = append([]Delta(nil), h.deltaLog[1:]...)
	}
	h.current.Store(&ActiveVersion{snapshot: snapshot, cfg: cfg, activatedAt: h.Now()})
	return true
}

// DeltasSince returns the deltas from the given version to the active version,
// oldest first. It returns false if the delta log has no delta from a version
// with that number and checksum; a peer then needs a full snapshot.
func (h *Holder) DeltasSince(version int64, checksum string) ([]Delta, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, d := range h.deltaLog {
		if d.baseVersion == version && d.baseChecksum == checksum {
			return append([]Delta(nil), h.deltaLog[i:]...), true
		}
	}
	return nil, false
}

// RemovedFiles returns the names of the files that recent versions up to the active one have
// removed.
func (h *Holder) RemovedFiles() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for _, d := range h.deltaLog {
		names = append(names, d.removed...)
	}
	return names
}
