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
	"sync/atomic"
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
	// target is the time within which a response has its full value, or 0 if there is
	// none.
	target time.Duration
	// draw is the number in [0,1) that decides between the versions of a move, if
	// drawn is set.
	draw  float64
	drawn bool
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

// WithTarget returns a copy with the time that is left until a response loses value. Zero
// means that there is no target; a request that is late already has a negative one.
func (q Query) WithTarget(d time.Duration) Query {
	q.target = d
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
	// IsRolledBack reports whether a version of a service was rolled back. Such a version
	// is picked only as the new one of a move, by name, or if there is no other. Nil means
	// that none was.
	IsRolledBack func(service, version string) bool
	// Spare returns the spare capacity of a service in another zone, and false if there is
	// no summary of it. Nil means that there are none.
	Spare func(service, zone string) (Spare, bool)
	// OnMovePick is called with the service, the version of the instance and the
	// reason each time an instance is picked for a service that has a move. It may be
	// nil.
	OnMovePick func(service, version string, reason Reason)

	peers gtshard.Map[*peer]
	// views holds what is known of services as a whole, by route and service.
	views gtshard.Map[map[string]*view]
	// roundTrips holds the measured round trip to each zone.
	roundTrips gtshard.Map[time.Duration]

	byLoad, byEstimate, otherZone atomic.Uint64
}

// Pick returns the instance for a request. The error kind is NoRoute for an unknown
// service, NoBackend if no instance is eligible or if they are unreachable and
// another request is probing them, and Full if the request has been tried before
// and the other instances have a full queue.
func (rt *Router) Pick(cfg *gtconfig.Config, q Query) (gtmember.Record, error) {
	r, reason, err := rt.pick(cfg, q)
	if err == nil {
		rt.reportMovePick(cfg, q, r, reason)
	}
	return r, err
}

// CanPick reports whether Pick has an instance for the request.
func (rt *Router) CanPick(cfg *gtconfig.Config, q Query) bool {
	_, _, err := rt.pick(cfg, q)
	return err == nil
}

// InstancesForKey returns up to n instances for a request's idempotency key, in
// the order in which they are tried.
func (rt *Router) InstancesForKey(cfg *gtconfig.Config, q Query, n int) []gtmember.Record {
	var ranked []gtmember.Record
	for i := range n {
		r, reason, err := rt.pick(cfg, q)
		if err != nil {
			break
		}
		if i == 0 {
			rt.reportMovePick(cfg, q, r, reason)
		}
		ranked = append(ranked, r)
		q = q.WithTried(append(append([]string(nil), q.tried...), r.Instance()))
	}
	return ranked
}

// reportMovePick calls OnMovePick if the service has a move.
func (rt *Router) reportMovePick(cfg *gtconfig.Config, q Query, r gtmember.Record, reason Reason) {
	if _, ok := cfg.Move(q.service); ok && rt.OnMovePick != nil {
		rt.OnMovePick(q.service, r.Version(), reason)
	}
}

// pick returns the instance for a request and the reason for its version. The error
// is that of the preferred version.
func (rt *Router) pick(cfg *gtconfig.Config, q Query) (gtmember.Record, Reason, error) {
	service, ok := cfg.Service(q.service)
	if !ok {
		return gtmember.Record{}, Drawn, gtkind.New(gtkind.NoRoute, "service %q is not configured", q.service)
	}
	buf := buffersPool.Get().(*buffers)
	defer buf.release()
	buf.addEligible(cfg, rt.Instances(q.service), rt.Zone, q)
	if len(buf.eligible) == 0 {
		return gtmember.Record{}, Drawn, gtkind.New(gtkind.NoBackend, "service %q has no ready backend server", q.service)
	}
	var firstErr error
	for i, v := range rt.versions(cfg, service, q) {
		r, err := rt.pickOf(buf, rt.ofVersion(buf, q.service, v, moveTarget(cfg, service)), v, q)
		if err == nil {
			return r, q.reason(i), nil
		}
		if firstErr == nil {
			firstErr = err
		}
	}
	return gtmember.Record{}, Drawn, firstErr
}

// pickOf returns the instance for a request among those of a version.
func (rt *Router) pickOf(buf *buffers, list refs, version string, q Query) (gtmember.Record, error) {
	if len(list) == 0 {
		return gtmember.Record{}, gtkind.New(gtkind.NoBackend, "service %q has no ready backend server of version %q", q.service, version)
	}
	buf.splitByZone(list, rt.Zone)
	if q.key != "" {
		return *keyOwner(buf, q), nil
	}
	best := rt.choose(buf, q)
	if best.probing {
		return gtmember.Record{}, gtkind.New(gtkind.NoBackend, "backend servers of service %q are unreachable and being probed by another request", q.service)
	}
	if len(q.tried) > 0 && best.load >= queueFullLoad {
		return gtmember.Record{}, gtkind.New(gtkind.Full, "all other known backend servers of service %q are full", q.service)
	}
	return *best.record, nil
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// keyOwner returns the instance with the highest rendezvous hash for the key, in the
// local zone unless that has none.
func keyOwner(buf *buffers, q Query) *gtmember.Record {
	list := buf.local
	if len(list) == 0 {
		list = buf.remote
	}
	best, maxScore := list[0], uint64(0)
	for _, r := range list {
		if score := gtshard.Hash("home", q.service, q.key, r.Instance()); score >= maxScore {
			best, maxScore = r, score
		}
	}
	return best
}

// balance returns the better of two random instances in the local zone, or the
// better of two in other zones if the local one is full, ejected or much worse and
// the other has room or a much lower load.
func (rt *Router) balance(local, remote refs, route string) candidate {
	if len(local) == 0 {
		return rt.betterOfTwo(remote, route)
	}
	localBest := rt.betterOfTwo(local, route)
	if len(remote) == 0 || !localBest.mayLeaveZone() {
		return localBest
	}
	if remoteBest := rt.betterOfTwo(remote, route); localBest.spillsTo(remoteBest) {
		return remoteBest
	}
	return localBest
}

// mayLeaveZone reports whether a local instance can be worse than one of another zone.
func (c candidate) mayLeaveZone() bool { return c.load >= fullLoad || c.mayBeMuchWorse() }

// spillsTo reports whether a request goes to an instance of another zone rather than to c.
func (c candidate) spillsTo(remote candidate) bool {
	if c.load < fullLoad {
		return remote.load < fullLoad && c.muchWorseThan(remote)
	}
	return remote.load < fullLoad || c.load-remote.load >= minSpillGain
}

// betterOfTwo returns the better of two random instances, or the least loaded of
// all if both are ejected.
func (rt *Router) betterOfTwo(list refs, route string) candidate {
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
func (rt *Router) leastLoaded(list refs, route string) candidate {
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
