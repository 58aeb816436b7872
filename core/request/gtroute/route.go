// Package gtroute picks the backend server for a request: first the version,
// then the availability zone, then the instance.
//
// # Usage
//
//	router := &gtroute.Router{Now: timer.Time, Rand: rand.Float64, Zone: "z1", Service: table.Service, Share: shares.Share}
//	target, err := router.Pick(cfg, gtroute.NewQuery("lending").WithKey(key))
//	router.Begin(target.Instance())
//	defer router.End(target.Instance(), gtkind.None, load)
//
// Requests with a key go to the instance that the key hashes to, so that a
// resend meets the first outcome. All others go to the less loaded of two
// random instances of the own zone; other zones take what the own can't.
package gtroute

import (
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtshard"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

// Query is what the choice depends on.
type Query struct {
	service string
	route   string
	key     string
	tried   []string
}

// NewQuery returns a query for a service.
func NewQuery(service string) Query { return Query{service: service} }

// WithRoute returns a copy with the route that the request came by.
func (q Query) WithRoute(route string) Query {
	q.route = route
	return q
}

// WithKey returns a copy with the caller's key.
func (q Query) WithKey(key string) Query {
	q.key = key
	return q
}

// WithTried returns a copy that leaves out the instances tried so far.
func (q Query) WithTried(tried []string) Query {
	q.tried = tried
	return q
}

// Router chooses backend servers. Its fields are set before use.
type Router struct {
	// Now reads the timer service's clock.
	Now func() time.Time
	// Rand draws from [0,1).
	Rand func() float64
	// Zone is the availability zone of this node.
	Zone string
	// Service returns the known instances of a service.
	Service func(name string) []gtmember.Record
	// Share returns the share of requests, 0 to 1, that the new version of a
	// move gets now.
	Share func(m gtconfig.Move) float64

	peers gtshard.Map[*peer]
}

// Pick returns the instance for a request. It fails with NoBackend when no
// instance of the right version may take it.
func (rt *Router) Pick(cfg *gtconfig.Config, q Query) (gtmember.Record, error) {
	service, ok := cfg.Service(q.service)
	if !ok {
		return gtmember.Record{}, gtkind.New(gtkind.NoRoute, "service %q is not in the configuration", q.service)
	}
	usable := rt.usable(cfg, q)
	if len(usable) == 0 {
		return gtmember.Record{}, gtkind.New(gtkind.NoBackend, "service %q has no ready backend server", q.service)
	}
	versions := rt.versions(cfg, service, q)
	for _, v := range versions {
		list := ofVersion(usable, v, newVersion(cfg, service))
		if len(list) == 0 {
			continue
		}
		if q.key != "" {
			return rt.home(list, q), nil
		}
		best := rt.balance(list, q.route)
		if best.shut {
			return gtmember.Record{}, gtkind.New(gtkind.NoBackend, "no backend server of %q can be reached, another request is trying", q.service)
		}
		if len(q.tried) > 0 && best.load >= queueLoad {
			return gtmember.Record{}, gtkind.New(gtkind.Full, "every other backend server of %q that is known is full", q.service)
		}
		return best.r, nil
	}
	return gtmember.Record{}, gtkind.New(gtkind.NoBackend, "service %q has no ready backend server of version %q", q.service, versions[0])
}

// Homes returns the instances that may run a request with a key, in the order
// in which they are asked.
func (rt *Router) Homes(cfg *gtconfig.Config, q Query, n int) []gtmember.Record {
	var homes []gtmember.Record
	for range n {
		r, err := rt.Pick(cfg, q)
		if err != nil {
			break
		}
		homes = append(homes, r)
		q = q.WithTried(append(append([]string(nil), q.tried...), r.Instance()))
	}
	return homes
}

// versions returns the versions to look for in turn. During a move the other
// version may stand in only while the new one has a share at all.
func (rt *Router) versions(cfg *gtconfig.Config, s gtconfig.Service, q Query) []string {
	m, ok := cfg.Move(s.Name())
	if !ok {
		return []string{s.Version()}
	}
	share := rt.Share(m)
	if share <= 0 {
		return []string{m.From()}
	}
	if rt.draw(m, q.key) < share {
		return []string{m.To(), m.From()}
	}
	return []string{m.From(), m.To()}
}

// draw is random, but for requests with a key it is the key's own, so that
// resends meet the same version while the share stands.
func (rt *Router) draw(m gtconfig.Move, key string) float64 {
	if key == "" {
		return rt.Rand()
	}
	return float64(gtshard.Hash("version", m.ID(), key)>>11) / (1 << 53)
}

func (rt *Router) usable(cfg *gtconfig.Config, q Query) []gtmember.Record {
	all := rt.Service(q.service)
	ready := make([]gtmember.Record, 0, len(all))
	for _, r := range all {
		if r.State() == gtmember.Ready && !cfg.ZoneOut(r.Zone()) && !contains(q.tried, r.Instance()) {
			ready = append(ready, r)
		}
	}
	return ready
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// newVersion returns the version that the service moves to, or "".
func newVersion(cfg *gtconfig.Config, s gtconfig.Service) string {
	m, _ := cfg.Move(s.Name())
	return m.To()
}

// ofVersion returns the instances of a version; for gtconfig.Others those of
// any but the new one.
func ofVersion(list []gtmember.Record, version, to string) []gtmember.Record {
	if version == "" {
		return list
	}
	var out []gtmember.Record
	for _, r := range list {
		if r.Version() == version || version == gtconfig.Others && r.Version() != to {
			out = append(out, r)
		}
	}
	return out
}

func (rt *Router) byZone(list []gtmember.Record) (near, far []gtmember.Record) {
	for _, r := range list {
		if r.Zone() == rt.Zone {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	return near, far
}

// home returns the instance with the highest rendezvous score for the key, in
// the own zone while that has any.
func (rt *Router) home(list []gtmember.Record, q Query) gtmember.Record {
	near, far := rt.byZone(list)
	if len(near) == 0 {
		near = far
	}
	best, top := near[0], uint64(0)
	for _, r := range near {
		if score := gtshard.Hash("home", q.service, q.key, r.Instance()); score >= top {
			best, top = r, score
		}
	}
	return best
}

// balance prefers the own zone and spills to the others when the better of
// two own instances is full, ejected or far worse, and the other zones have
// room, or much shorter queues.
func (rt *Router) balance(list []gtmember.Record, route string) state {
	near, far := rt.byZone(list)
	if len(near) == 0 {
		return rt.better(far, route)
	}
	own := rt.better(near, route)
	if len(far) == 0 || own.load < fullLoad && !own.suspect() {
		return own
	}
	other := rt.better(far, route)
	switch {
	case own.load < fullLoad && other.load < fullLoad && own.worse(other):
		return other
	case own.load < fullLoad:
		return own
	case other.load < fullLoad, own.load-other.load >= spillGain:
		return other
	default:
		return own
	}
}

// better returns the better of two random instances.
func (rt *Router) better(list []gtmember.Record, route string) state {
	i := rt.index(len(list))
	a := rt.state(list[i], route)
	if len(list) == 1 {
		return a
	}
	j := rt.index(len(list) - 1)
	if j >= i {
		j++
	}
	b := rt.state(list[j], route)
	if min(a.load, b.load) >= ejectedLoad {
		return rt.least(list, route)
	}
	if b.before(a) {
		return b
	}
	return a
}

func (rt *Router) least(list []gtmember.Record, route string) state {
	best := rt.state(list[0], route)
	for _, r := range list[1:] {
		if s := rt.state(r, route); s.load < best.load {
			best = s
		}
	}
	return best
}

func (rt *Router) index(n int) int {
	return min(int(rt.Rand()*float64(n)), n-1)
}
