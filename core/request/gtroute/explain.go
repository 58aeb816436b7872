package gtroute

import (
	"cmp"
	"slices"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtconfig"
)

// Exclusion tells why an instance gets no request, or gets one only if no other is left.
type Exclusion string

// The values of Exclusion, in the order in which they are checked.
const (
	NotExcluded     Exclusion = ""
	ExcludedDrain   Exclusion = "draining"
	ExcludedState   Exclusion = "not ready"
	ExcludedZone    Exclusion = "zone drained"
	ExcludedVersion Exclusion = "other version"
	ExcludedEjected Exclusion = "ejected"
	ExcludedFull    Exclusion = "full"
)

// isHard reports whether an instance gets no request even if no other is left.
func (x Exclusion) isHard() bool {
	return x != NotExcluded && x != ExcludedEjected && x != ExcludedFull
}

// Option is an instance of a service as a choice sees it.
type Option struct {
	record       gtmember.Record
	estimate     estimate
	busy, limit  int
	capacity     Capacity
	roundTrip    time.Duration
	isLocal      bool
	isBest       bool
	hasLate      bool
	exclusion    Exclusion
	ejectedUntil time.Time
}

// Record returns the instance.
func (o Option) Record() gtmember.Record { return o.record }

// Busy returns the number of requests that run or are queued there, as far as known.
func (o Option) Busy() int { return o.busy }

// Limit returns the concurrency limit.
func (o Option) Limit() int { return o.limit }

// ErrorRate returns the reported error rate, 0 to 1.
func (o Option) ErrorRate() float64 { return o.estimate.errorRate }

// ServiceTime returns the reported service time of the route, or 0 if it is unknown.
func (o Option) ServiceTime() time.Duration { return o.estimate.serviceTime }

// Capacity returns what the instance last reported to have learned.
func (o Option) Capacity() Capacity { return o.capacity }

// RoundTrip returns the measured round trip to the zone, or 0 if it is unknown.
func (o Option) RoundTrip() time.Duration { return o.roundTrip }

// IsLocal reports whether the instance is in the zone of the request.
func (o Option) IsLocal() bool { return o.isLocal }

// Late returns the estimated probability that a response is late for the target, and false
// for an instance that gets no request, or if no service time is known.
func (o Option) Late() (float64, bool) { return o.estimate.late, o.hasLate }

// IsBest reports whether the instance is the best one of its version. Choices compare a few
// random instances, so that others get requests as well.
func (o Option) IsBest() bool { return o.isBest }

// Exclusion returns what excludes the instance.
func (o Option) Exclusion() Exclusion { return o.exclusion }

// EjectedUntil returns the end of the ejection, or the zero time.
func (o Option) EjectedUntil() time.Time { return o.ejectedUntil }

// VersionShare is a version with the share of the requests that are drawn for it. The
// version is as in the configuration: empty for any.
type VersionShare struct {
	version string
	share   float64
}

// Version returns the version.
func (v VersionShare) Version() string { return v.version }

// Share returns the share, 0 to 1; 0 is that of a version that is only fallen back on.
func (v VersionShare) Share() float64 { return v.share }

// Explanation tells how an instance would be chosen for a request.
type Explanation struct {
	versions   []VersionShare
	options    []Option
	byEstimate bool
}

// Versions returns the versions that may be chosen.
func (x Explanation) Versions() []VersionShare { return x.versions }

// Options returns all known instances of the service, the best ones first and those that
// are excluded last.
func (x Explanation) Options() []Option { return x.options }

// IsByEstimate reports whether a choice compares the estimated time to completion, and not
// the load alone.
func (x Explanation) IsByEstimate() bool { return x.byEstimate }

// Explain tells how Pick would choose the instance for a request without a key from the
// given zone. It changes no state, counts nothing and draws no random number. For another
// zone than that of this node the loads are still those that this node knows, and the round
// trips are unknown. The error is that of Pick if no instance is eligible.
func (rt *Router) Explain(cfg *gtconfig.Config, q Query, zone string) (Explanation, error) {
	service, ok := cfg.Service(q.service)
	if !ok {
		return Explanation{}, gtkind.New(gtkind.NoRoute, "service %q is not configured", q.service)
	}
	now := rt.Now()
	all := rt.Instances(q.service)
	x := Explanation{versions: rt.versionShares(cfg, service)}
	buf := &buffers{}
	buf.addEligible(cfg, all, zone, q)
	options := map[string]Option{}
	for _, v := range x.versions {
		list := slices.Clone(rt.ofVersion(buf, q.service, v.version, moveTarget(cfg, service)))
		if len(list) == 0 {
			continue
		}
		buf.splitByZone(list, zone)
		x.byEstimate = rt.explainVersion(options, buf, q, zone, now) || x.byEstimate
		if v.share == 1 {
			break // further versions are tried only if this one has no instance
		}
	}
	for i := range all {
		o, ok := options[all[i].Instance()]
		if !ok {
			o = rt.option(&all[i], zone, now)
			o.exclusion = exclusionOf(cfg, all[i])
		}
		x.options = append(x.options, o)
	}
	slices.SortFunc(x.options, compareOptions)
	if len(options) == 0 {
		return x, gtkind.New(gtkind.NoBackend, "service %q has no ready backend server", q.service)
	}
	return x, nil
}

// versionShares returns the versions that versions may return for a request, each with its
// probability.
func (rt *Router) versionShares(cfg *gtconfig.Config, s gtconfig.Service) []VersionShare {
	m, ok := cfg.Move(s.Name())
	if !ok {
		return []VersionShare{{s.Version(), 1}}
	}
	share := min(max(rt.MoveShare(m), 0), 1)
	if share == 0 {
		return []VersionShare{{m.From(), 1}}
	}
	return []VersionShare{{m.To(), share}, {m.From(), 1 - share}}
}

// exclusionOf returns what excludes an instance that is not among those of a version.
func exclusionOf(cfg *gtconfig.Config, r gtmember.Record) Exclusion {
	switch {
	case r.State() == gtmember.Leaving:
		return ExcludedDrain
	case r.State() != gtmember.Ready:
		return ExcludedState
	case cfg.IsZoneDrained(r.Zone()):
		return ExcludedZone
	default:
		return ExcludedVersion
	}
}

// explainVersion adds the options of the version in the buffers, and reports whether they
// are compared by estimate.
func (rt *Router) explainVersion(options map[string]Option, buf *buffers, q Query, zone string, now time.Time) bool {
	v := rt.newView(buf.list, q, zone, now)
	if zone != rt.Zone {
		for i := range v.zones {
			v.zones[i].roundTrip = 0
		}
	}
	var list []Option
	for _, r := range buf.list {
		o := rt.option(r, zone, now)
		o.estimate = rt.estimate(r, !o.isLocal && len(buf.local) > 0, q, v, now)
		o.hasLate = v.work > 0 || q.target != 0 && o.estimate.serviceTime > 0
		switch {
		case o.estimate.load >= ejectedLoad:
			o.exclusion = ExcludedEjected
		case o.estimate.load >= fullLoad:
			o.exclusion = ExcludedFull
		}
		list = append(list, o)
	}
	byEstimate := v.comparesByEstimate(buf, now)
	best := -1
	if byEstimate {
		best = bestByEstimate(list, len(buf.local) > 0, v, now)
	}
	if best < 0 {
		best = bestByLoad(list)
	}
	list[best].isBest = true
	for _, o := range list {
		options[o.record.Instance()] = o
	}
	return byEstimate
}

// option returns an instance with what is known of it apart from the route.
func (rt *Router) option(r *gtmember.Record, zone string, now time.Time) Option {
	o := Option{record: *r, isLocal: r.Zone() == zone, limit: r.Slots()}
	if zone == rt.Zone {
		o.roundTrip, _ = rt.roundTrips.Get(r.Zone())
	}
	rt.peers.Do(r.Instance(), func(m map[string]*peer) {
		p := m[r.Instance()]
		if p == nil {
			return
		}
		o.busy, o.capacity = p.inflight, p.capacity
		if p.load.limit > 0 && now.Sub(p.loadAt) < loadTTL {
			o.busy, o.limit = max(o.busy, p.load.busy), p.load.limit
		}
		if now.Before(p.ejectedUntil) {
			o.ejectedUntil = p.ejectedUntil
		}
	})
	return o
}

// bestByEstimate returns the index of the option that bestOf would return if it compared
// all of them, or -1 if the choice by load decides.
func bestByEstimate(list []Option, hasLocal bool, v *view, now time.Time) int {
	leastErrors := 1.0
	for _, o := range list {
		leastErrors = min(leastErrors, o.estimate.errorRate)
	}
	best := -1
	for i, o := range list {
		e := o.estimate
		if e.load >= ejectedLoad || e.errorRate-leastErrors >= minErrorRateGain || e.remote && !v.zone(o.record.Zone()).spare.isValid(now) {
			continue
		}
		if best < 0 || e.cost() < list[best].estimate.cost() {
			best = i
		}
	}
	if best >= 0 && hasLocal && list[best].estimate.load >= fullLoad && !v.hasZone(now) {
		return -1
	}
	return best
}

// bestByLoad returns the index of the option that balance would return if it compared all
// of each zone.
func bestByLoad(list []Option) int {
	local, remote := -1, -1
	for i, o := range list {
		best := &remote
		if o.isLocal {
			best = &local
		}
		if *best < 0 || o.estimate.preferredTo(list[*best].estimate.candidate) {
			*best = i
		}
	}
	switch {
	case local < 0:
		return remote
	case remote >= 0 && list[local].estimate.mayLeaveZone() && list[local].estimate.spillsTo(list[remote].estimate.candidate):
		return remote
	default:
		return local
	}
}

// compareOptions orders options: the best, those that are not excluded, those that are.
func compareOptions(a, b Option) int {
	return cmp.Or(
		compareBool(b.isBest, a.isBest), compareBool(a.exclusion.isHard(), b.exclusion.isHard()),
		compareBool(a.exclusion != NotExcluded, b.exclusion != NotExcluded), compareBool(b.isLocal, a.isLocal),
		cmp.Compare(a.estimate.cost(), b.estimate.cost()), cmp.Compare(a.record.Instance(), b.record.Instance()),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
