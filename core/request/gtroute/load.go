package gtroute

import (
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
)

const (
	// loadFresh is how long a load that an answer told counts.
	loadFresh = 2 * time.Second
	// paceFresh is how long a pace that an answer told counts.
	paceFresh = 3 * time.Second
	// slowPace is how many times slower than another one an instance must be to
	// count as slow.
	slowPace = 3.0
	// slowGain is the least time that a request must gain by going to the other.
	slowGain = 100 * time.Millisecond
	// faultGain is how much larger a share of its answers an instance must fail
	// than another one for requests to go to the other.
	faultGain = 0.2
	// maxPaces bounds the routes whose pace is known of an instance.
	maxPaces = 64
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
	// queueLoad is the load from which an instance has no place in its queue.
	queueLoad = 1.5
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
	pace  time.Duration
	fault float64
}

// NewLoad returns a load: requests that run or wait, and how many may run.
func NewLoad(busy, limit int) Load { return Load{busy: busy, limit: limit} }

// WithPace returns a copy with the time that requests of the route at hand take
// there now, once they run.
func (l Load) WithPace(d time.Duration) Load {
	l.pace = d
	return l
}

// Pace returns that time, or 0 if it is not known.
func (l Load) Pace() time.Duration { return l.pace }

// WithFault returns a copy with the share of its answers, 0 to 1, that the
// backend server has lately failed.
func (l Load) WithFault(share float64) Load {
	l.fault = share
	return l
}

// Fault returns that share.
func (l Load) Fault() float64 { return l.fault }

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
	unreached bool // the last failure was to get there at all
	used      time.Time
	paces     map[string]pace
}

// pace is what an answer told of the time that a route's requests take.
type pace struct {
	d  time.Duration
	at time.Time
}

// tell notes a route's pace. Of a peer with too many routes it forgets some.
func (p *peer) tell(route string, d time.Duration, now time.Time) {
	if d <= 0 {
		return
	}
	if p.paces == nil {
		p.paces = map[string]pace{}
	}
	if _, ok := p.paces[route]; !ok && len(p.paces) >= maxPaces {
		for r := range p.paces {
			delete(p.paces, r)
			break
		}
	}
	p.paces[route] = pace{d, now}
}

// Begin counts a request that is being sent to the instance.
func (rt *Router) Begin(instance string) {
	rt.with(instance, func(p *peer) { p.inflight++ })
}

// End takes back what Begin counted and learns from the outcome of a request on
// a route: from the load that the answer told, and from failures in a row, which
// eject the instance for a time.
func (rt *Router) End(instance, route string, k gtkind.Kind, told Load) {
	now := rt.Now()
	rt.with(instance, func(p *peer) {
		p.inflight--
		if told.limit > 0 {
			p.told, p.toldAt = told, now
			p.tell(route, told.pace, now)
		}
		if !blames(k) {
			p.failures = 0
			p.ejectedTo = time.Time{}
			return
		}
		p.failures++
		p.unreached = unreachable(k)
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

// unreachable says whether a kind shows that the instance could not be reached,
// which takes a caller long to find out.
func unreachable(k gtkind.Kind) bool {
	return k == gtkind.Refused || k == gtkind.NotAlive || k == gtkind.Silent
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

// state is what a choice between instances depends on.
type state struct {
	r gtmember.Record
	// load is the share of its limit that the instance has in use.
	load float64
	// pace is the time that a request takes there, or 0.
	pace time.Duration
	// fault is the share of its answers that it fails.
	fault float64
	// shut says that it could not be reached, and that a request is on its way
	// to find out whether it can be again.
	shut bool
}

// before says whether s is to be preferred to o: by load, unless both have room
// and one is far worse.
func (s state) before(o state) bool {
	if max(s.load, o.load) < fullLoad && s.worse(o) != o.worse(s) {
		return o.worse(s)
	}
	return s.load < o.load
}

// worse says whether a request had better go to o, also in another zone: s fails
// far more of its answers, or fails no fewer and is far slower.
func (s state) worse(o state) bool {
	if s.fault-o.fault >= faultGain {
		return true
	}
	return o.fault-s.fault < faultGain && s.slower(o)
}

// suspect says whether s could be worse than any other at all.
func (s state) suspect() bool { return s.fault >= faultGain || s.pace >= slowGain }

// slower says whether s is far slower than o.
func (s state) slower(o state) bool {
	return o.pace > 0 && float64(s.pace) > slowPace*float64(o.pace) && s.pace-o.pace >= slowGain
}

// state returns what is known of an instance.
func (rt *Router) state(r gtmember.Record, route string) state {
	now := rt.Now()
	s := state{r: r}
	rt.peers.Do(r.Instance(), func(m map[string]*peer) {
		p := m[r.Instance()]
		if p == nil {
			return
		}
		limit := r.Slots()
		busy := p.inflight
		if p.told.limit > 0 && now.Sub(p.toldAt) < loadFresh {
			limit = p.told.limit
			s.fault = p.told.fault
			busy = max(busy, p.told.busy)
		}
		s.load = float64(busy) / float64(limit)
		if now.Before(p.ejectedTo) {
			s.load += ejectedLoad
			s.shut = p.unreached && p.inflight > 0
		}
		if told, ok := p.paces[route]; ok && now.Sub(told.at) < paceFresh {
			s.pace = told.d
		}
	})
	return s
}
