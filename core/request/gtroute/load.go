package gtroute

import (
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
)

const (
	// loadFresh is how long a load that an answer told counts.
	loadFresh = 2 * time.Second
	// ejectFirst and ejectMax bound how long an instance is left out after
	// failures in a row.
	ejectFirst = 500 * time.Millisecond
	ejectMax   = 8 * time.Second
	// ejectDown bounds it where the node itself answered that its backend server
	// is down: to ask again costs callers no time.
	ejectDown = time.Second
	// ejectedLoad is the load of an instance that is left out: above any that
	// is merely full.
	ejectedLoad = 1000
	// fullLoad is the load of an instance whose limit is in use.
	fullLoad = 1
	// spillGain is how much lower a load in another zone must be, where both are
	// full, for a request to leave its own.
	spillGain = 0.5
	// peerKept is how long the state of an instance that gets no requests is
	// kept.
	peerKept = 10 * time.Minute
)

// Load is what a node tells of its backend server with each answer.
type Load struct {
	busy  int
	limit int
}

// NewLoad returns a load: requests that run or wait, and how many may run.
func NewLoad(busy, limit int) Load { return Load{busy: busy, limit: limit} }

// Busy returns the number of requests that run or wait.
func (l Load) Busy() int { return l.busy }

// Limit returns how many requests may run at once.
func (l Load) Limit() int { return l.limit }

type peer struct {
	inflight  int
	told      Load
	toldAt    time.Time
	failures  int
	ejectedTo time.Time
	used      time.Time
}

// Begin counts a request that is being sent to the instance.
func (rt *Router) Begin(instance string) {
	rt.with(instance, func(p *peer) { p.inflight++ })
}

// End takes back what Begin counted and learns from the outcome: from the load
// that the answer told, and from failures in a row, which eject the instance
// for a time.
func (rt *Router) End(instance string, k gtkind.Kind, told Load) {
	now := rt.Now()
	rt.with(instance, func(p *peer) {
		p.inflight--
		if told.limit > 0 {
			p.told, p.toldAt = told, now
		}
		if !blames(k) {
			p.failures = 0
			p.ejectedTo = time.Time{}
			return
		}
		p.failures++
		p.ejectedTo = now.Add(min(ejectFirst<<min(p.failures-1, 10), ejectLimit(k)))
	})
}

// ejectLimit returns the longest time that a failure of the kind ejects for.
func ejectLimit(k gtkind.Kind) time.Duration {
	if k == gtkind.Down {
		return ejectDown
	}
	return ejectMax
}

// blames says whether a kind speaks against the instance itself.
func blames(k gtkind.Kind) bool {
	switch k {
	case gtkind.Refused, gtkind.Silent, gtkind.Cut, gtkind.Crossed, gtkind.Down, gtkind.NotAlive:
		return true
	default:
		return false
	}
}

// Sweep forgets instances that have had no requests for a time.
func (rt *Router) Sweep() {
	now := rt.Now()
	rt.peers.Each(func(m map[string]*peer) {
		for name, p := range m {
			if p.inflight == 0 && now.Sub(p.used) > peerKept {
				delete(m, name)
			}
		}
	})
}

func (rt *Router) with(instance string, fn func(*peer)) {
	now := rt.Now()
	rt.peers.Do(instance, func(m map[string]*peer) {
		p := m[instance]
		if p == nil {
			p = &peer{}
			m[instance] = p
		}
		p.used = now
		fn(p)
	})
}

// load returns the share of its limit that an instance has in use.
func (rt *Router) load(r gtmember.Record) float64 {
	now := rt.Now()
	load := 0.0
	rt.peers.Do(r.Instance(), func(m map[string]*peer) {
		p := m[r.Instance()]
		if p == nil {
			return
		}
		limit := r.Slots()
		busy := p.inflight
		if p.told.limit > 0 && now.Sub(p.toldAt) < loadFresh {
			limit = p.told.limit
			busy = max(busy, p.told.busy)
		}
		load = float64(busy) / float64(limit)
		if now.Before(p.ejectedTo) {
			load += ejectedLoad
		}
	})
	return load
}
