// Package gtfetch decides from which peer a version that a peer has announced is
// fetched. A peer may stop responding after its announcement, so others are asked
// as well: those that announced the version first, then other linked peers.
//
// # Usage
//
//	fetches := &gtfetch.Fetches{Now: timer.Time}
//	fetches.Announced(peer, version)
//	if peer, ok := fetches.Next(active, linked); ok {
//		... // fetch from it, and call Next again after Patience
//		fetches.Ended(peer)
//	}
package gtfetch

import (
	"slices"
	"sync"
	"time"
)

const (
	// Patience is how long a fetch may take before another peer is asked as well.
	Patience = 400 * time.Millisecond
	// maxRunning is the maximum number of fetches at a time.
	maxRunning = 3
)

// Fetches is the state of the fetches of a node. Now is set before use.
type Fetches struct {
	// Now reads the timer service's clock.
	Now func() time.Time

	mu         sync.Mutex
	wanted     int64
	heard      time.Time // when the wanted version was first announced
	announcers []string  // of the wanted version, that have not been asked
	asked      []string  // for the wanted version, since its last announcement by them
	running    map[string]time.Time
}

// Announced records that a peer has announced a version.
func (f *Fetches) Announced(peer string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.wanted {
		return
	}
	if version > f.wanted {
		f.wanted, f.heard, f.announcers, f.asked = version, f.Now(), nil, nil
	}
	f.asked = slices.DeleteFunc(f.asked, func(p string) bool { return p == peer })
	if !slices.Contains(f.announcers, peer) {
		f.announcers = append(f.announcers, peer)
	}
}

// Next returns the peer to fetch from now, given the active version and the linked
// peers, and false if there is none: no higher version has been announced, a fetch has
// begun within Patience, or all have been asked.
func (f *Fetches) Next(active int64, linked []string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wanted <= active || len(f.running) >= maxRunning {
		return "", false
	}
	now := f.Now()
	for _, begun := range f.running {
		if now.Sub(begun) < Patience {
			return "", false
		}
	}
	for _, peer := range append(slices.Clone(f.announcers), linked...) {
		if _, runs := f.running[peer]; runs || slices.Contains(f.asked, peer) {
			continue
		}
		f.begin(peer, now)
		return peer, true
	}
	return "", false
}

// begin records that a fetch from a peer begins. The caller holds the lock.
func (f *Fetches) begin(peer string, now time.Time) {
	if f.running == nil {
		f.running = map[string]time.Time{}
	}
	f.running[peer] = now
	f.asked = append(f.asked, peer)
	f.announcers = slices.DeleteFunc(f.announcers, func(p string) bool { return p == peer })
}

// Heard returns when the version to fetch was first announced.
func (f *Fetches) Heard() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard
}

// Ended records that the fetch from a peer has ended.
func (f *Fetches) Ended(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, peer)
}
