// Package gtroute selects the backend server for a request: first the version,
// then the availability zone, then the instance.
//
// # Usage
//
//	router := &gtroute.Router{Now: timer.Time, Rand: rand.Float64, Zone: "z1", Instances: table.ServiceMembers, MoveShare: moves.Share}
//	target, err := router.Pick(cfg, gtroute.NewQuery("lending").WithRoute("hold").WithKey(key))
//	router.Begin(target.Instance())
//	defer router.End(target.Instance(), "hold", gtkind.None, load)
//
// Requests with an idempotency key go to the instance given by rendezvous hashing
// of the key, so that a resend reaches the node that knows the first outcome. All
// others go to the better of two random instances in the local zone, by load,
// error rate and service time. They spill over to other zones if the local one is
// overloaded or much worse.
package gtroute

import (
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtshard"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

// Query holds the properties of a request by which Router selects an instance.
type Query struct {
	service string
	route   string
	key     string
	tried   []string
}

// NewQuery returns a query for a service.
func NewQuery(service string) Query { return Query{service: service} }

// WithRoute returns a copy with the name of the request's route.
func (q Query) WithRoute(route string) Query {
	q.route = route
	return q
}

// WithKey returns a copy with the caller's idempotency key.
func (q Query) WithKey(key string) Query {
	q.key = key
	return q
}

// WithTried returns a copy that excludes the instances tried so far.
func (q Query) WithTried(tried []string) Query {
	q.tried = tried
	return q
}

// Router selects backend servers. Its fields are set before use.
type Router struct {
	// Now returns the time of the timer service's clock.
	Now func() time.Time
	// Rand returns a random number in [0,1).
	Rand func() float64
	// Zone is the availability zone of this node.
	Zone string
	// Instances returns the known instances of a service.
	Instances func(name string) []gtmember.Record
	// MoveShare returns the current share of traffic, 0 to 1, of the new version
	// in a move.
	MoveShare func(m gtconfig.Move) float64
	// OnMovePick is called with the service, the version of the instance and the
	// reason each time an instance is picked for a service that has a move. It may be
	// nil.
	OnMovePick func(service, version string, reason Reason)

	peers gtshard.Map[*peer]
}

// Pick returns the instance for a request. The error kind is NoRoute for an unknown
// service, NoBackend if no instance is eligible or if they are unreachable and
// another request is probing them, and Full if the request has been tried before
// and the other instances have a full queue.
func (rt *Router) Pick(cfg *gtconfig.Config, q Query) (gtmember.Record, error) {
	service, ok := cfg.Service(q.service)
	if !ok {
		return gtmember.Record{}, gtkind.New(gtkind.NoRoute, "service %q is not configured", q.service)
	}
	eligible := rt.eligible(cfg, q)
	if len(eligible) == 0 {
		return gtmember.Record{}, gtkind.New(gtkind.NoBackend, "service %q has no ready backend server", q.service)
	}
	versions := rt.versions(cfg, service, q)
	for i, v := range versions {
		list := ofVersion(eligible, v, moveTarget(cfg, service))
		if len(list) == 0 {
			continue
		}
		if q.key != "" {
			return rt.picked(cfg, q, rt.keyOwner(list, q), i), nil
		}
		best := rt.balance(list, q.route)
		if best.probing {
			return gtmember.Record{}, gtkind.New(gtkind.NoBackend, "backend servers of service %q are unreachable and being probed by another request", q.service)
		}
		if len(q.tried) > 0 && best.load >= queueFullLoad {
			return gtmember.Record{}, gtkind.New(gtkind.Full, "all other known backend servers of service %q are full", q.service)
		}
		return rt.picked(cfg, q, best.record, i), nil
	}
	return gtmember.Record{}, gtkind.New(gtkind.NoBackend, "service %q has no ready backend server of version %q", q.service, versions[0])
}

// picked reports to OnMovePick that r, of the version with the given index in the
// order of preference, was picked, and returns r.
func (rt *Router) picked(cfg *gtconfig.Config, q Query, r gtmember.Record, index int) gtmember.Record {
	if _, ok := cfg.Move(q.service); ok && rt.OnMovePick != nil {
		rt.OnMovePick(q.service, r.Version(), q.reason(index))
	}
	return r
}

// InstancesForKey returns up to n instances for a request's idempotency key, in
// the order in which they are tried.
func (rt *Router) InstancesForKey(cfg *gtconfig.Config, q Query, n int) []gtmember.Record {
	var ranked []gtmember.Record
	for range n {
		r, err := rt.Pick(cfg, q)
		if err != nil {
			break
		}
		ranked = append(ranked, r)
		q = q.WithTried(append(append([]string(nil), q.tried...), r.Instance()))
	}
	return ranked
}

// versions returns the versions to try, in order of preference. During a move the
// other version is a fallback, except while the new version has no share of
// traffic.
func (rt *Router) versions(cfg *gtconfig.Config, s gtconfig.Service, q Query) []string {
	m, ok := cfg.Move(s.Name())
	if !ok {
		return []string{s.Version()}
	}
	share := rt.MoveShare(m)
	if share <= 0 {
		return []string{m.From()}
	}
	if rt.versionDraw(m, q.key) < share {
		return []string{m.To(), m.From()}
	}
	return []string{m.From(), m.To()}
}

// versionDraw returns a number in [0,1) that decides between the versions of a
// move. It is random for requests without a key. With one it is a hash of the key,
// so that resends go to the same version as long as the share is unchanged.
func (rt *Router) versionDraw(m gtconfig.Move, key string) float64 {
	if key == "" {
		return rt.Rand()
	}
	return float64(gtshard.Hash("version", m.ID(), key)>>11) / (1 << 53)
}

// eligible returns the ready instances of the service that are not in a drained
// zone and have not been tried yet.
func (rt *Router) eligible(cfg *gtconfig.Config, q Query) []gtmember.Record {
	all := rt.Instances(q.service)
	ready := make([]gtmember.Record, 0, len(all))
	for _, r := range all {
		if r.State() == gtmember.Ready && !cfg.IsZoneDrained(r.Zone()) && !contains(q.tried, r.Instance()) {
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

// moveTarget returns the version that the service is moving to, or "" if there is
// no move.
func moveTarget(cfg *gtconfig.Config, s gtconfig.Service) string {
	m, _ := cfg.Move(s.Name())
	return m.To()
}

// ofVersion returns the instances of a version. An empty version means all, and
// gtconfig.OtherVersions all but those of target.
func ofVersion(list []gtmember.Record, version, target string) []gtmember.Record {
	if version == "" {
		return list
	}
	var out []gtmember.Record
	for _, r := range list {
		if r.Version() == version || version == gtconfig.OtherVersions && r.Version() != target {
			out = append(out, r)
		}
	}
	return out
}

// splitByZone returns the instances in the local zone and those in other zones.
func (rt *Router) splitByZone(list []gtmember.Record) (local, remote []gtmember.Record) {
	for _, r := range list {
		if r.Zone() == rt.Zone {
			local = append(local, r)
		} else {
			remote = append(remote, r)
		}
	}
	return local, remote
}

// keyOwner returns the instance with the highest rendezvous hash for the key, in
// the local zone unless that has none.
func (rt *Router) keyOwner(list []gtmember.Record, q Query) gtmember.Record {
	local, remote := rt.splitByZone(list)
	if len(local) == 0 {
		local = remote
	}
	best, maxScore := local[0], uint64(0)
	for _, r := range local {
		if score := gtshard.Hash("home", q.service, q.key, r.Instance()); score >= maxScore {
			best, maxScore = r, score
		}
	}
	return best
}

// balance returns the better of two random instances in the local zone, or the
// better of two in other zones if the local one is full, ejected or much worse and
// the other has room or a much lower load.
func (rt *Router) balance(list []gtmember.Record, route string) candidate {
	local, remote := rt.splitByZone(list)
	if len(local) == 0 {
		return rt.betterOfTwo(remote, route)
	}
	localBest := rt.betterOfTwo(local, route)
	if len(remote) == 0 || localBest.load < fullLoad && !localBest.mayBeMuchWorse() {
		return localBest
	}
	remoteBest := rt.betterOfTwo(remote, route)
	switch {
	case localBest.load < fullLoad && remoteBest.load < fullLoad && localBest.muchWorseThan(remoteBest):
		return remoteBest
	case localBest.load < fullLoad:
		return localBest
	case remoteBest.load < fullLoad, localBest.load-remoteBest.load >= minSpillGain:
		return remoteBest
	default:
		return localBest
	}
}

// betterOfTwo returns the better of two random instances, or the least loaded of
// all if both are ejected.
func (rt *Router) betterOfTwo(list []gtmember.Record, route string) candidate {
	i := rt.randomIndex(len(list))
	a := rt.candidate(list[i], route)
	if len(list) == 1 {
		return a
	}
	j := rt.randomIndex(len(list) - 1)
	if j >= i {
		j++
	}
	b := rt.candidate(list[j], route)
	if min(a.load, b.load) >= ejectedLoad {
		return rt.leastLoaded(list, route)
	}
	if b.preferredTo(a) {
		return b
	}
	return a
}

// leastLoaded returns the instance with the lowest load.
func (rt *Router) leastLoaded(list []gtmember.Record, route string) candidate {
	best := rt.candidate(list[0], route)
	for _, r := range list[1:] {
		if c := rt.candidate(r, route); c.load < best.load {
			best = c
		}
	}
	return best
}

// randomIndex returns a random index in [0,n).
func (rt *Router) randomIndex(n int) int {
	return min(int(rt.Rand()*float64(n)), n-1)
}
