package gtroute

import (
	"math"
	"time"

	"godwittide/core/process/gtmember"
)

const (
	// localSamples and remoteSamples are the numbers of random instances that are
	// compared in the local zone and in the others.
	localSamples, remoteSamples = 5, 3
	// defaultTargetFactor gives the target of a request without one, as a multiple of
	// the service time at speed 1.
	defaultTargetFactor = 3.0
	// maxRemoteDraws is the number of instances of other zones that are drawn to find
	// remoteSamples in zones with spare capacity.
	maxRemoteDraws = 15
	// loadDecay is the time constant by which a reported load approaches the mean load of
	// the instance: what ran then has ended, and others have decided on the same report.
	loadDecay = time.Second
	// errorMemory is the time constant by which a reported error rate is forgotten.
	errorMemory = 4 * time.Second
	// useCost is the cost of an instance that is in full use, in the probability of being
	// late that it outweighs. It grows with the fourth power of the share in use, so that
	// it spreads requests without moving them from fast instances that have room.
	useCost = 0.1
	// fullCost is the cost of meeting no free slot, beside the wait: the request may be
	// refused.
	fullCost = 0.3
	// minVariance is the variance of the number of requests ahead for a new report.
	// Requests of other nodes are on their way.
	minVariance = 0.3
	// negligible is the probability of meeting no free slot below which it is neglected.
	negligible = 0.001
	// minEstimated is the number of instances from which those of several zones are
	// compared by estimate. With one or two in each zone most requests would leave it.
	minEstimated = 6
	// crossZoneCost is the cost of an instance in another zone: bytes between zones cost, so
	// a request leaves its zone only if it is clearly more likely in time elsewhere.
	// It falls to fullZoneCost from easyUse to shortUse of the own zone.
	crossZoneCost, fullZoneCost = 0.12, 0.05
	easyUse                     = 0.4
	// explorePart is the part of the requests that go to one of two random instances
	// whatever their speed, so that slow ones get some requests, too.
	explorePart = 0.02
	// newcomerPart is the part of the requests that go to an instance that has not responded
	// to this node yet, if there is one among the samples. Instances of other zones count
	// only while the own zone is short of capacity: their own zone sends them requests, and
	// most of them have not responded to this node.
	newcomerPart = 0.1
)

// estimate is a candidate with the estimate of what a request meets there.
type estimate struct {
	candidate
	// late is the probability that the response comes later than the target.
	late float64
	// use is the share of the concurrency that is in use.
	use float64
	// full is the probability that the request meets no free slot.
	full float64
	// failure is the probability that the response is an error.
	failure  float64
	newcomer bool
	remote   bool
	// zoneCost is the cost of another zone, or 0.
	zoneCost float64
}

// cost is what estimates are compared by, less being better.
func (e estimate) cost() float64 {
	square := e.use * e.use
	return e.failure + (1-e.failure)*e.late + fullCost*e.full + useCost*square*square + e.zoneCost
}

// choose returns the instance for a request among those in the buffers. If the speeds of
// the instances differ, or the local zone is short of capacity, it is the one of a few
// random ones at which the request is most likely in time for its target, at a cost for
// those that are much in use. Otherwise it is chosen by load.
func (rt *Router) choose(buf *buffers, q Query) candidate {
	now := rt.Now()
	v := rt.view(buf.list, q, now)
	if !v.comparesByEstimate(buf, now) || rt.Rand() < explorePart {
		return rt.chooseByLoad(buf, q)
	}
	best, ok := rt.bestOf(buf, q, v, now)
	if !ok {
		return rt.chooseByLoad(buf, q)
	}
	rt.byEstimate.Add(1)
	if best.remote {
		rt.otherZone.Add(1)
	}
	return best.candidate
}

func (rt *Router) chooseByLoad(buf *buffers, q Query) candidate {
	rt.byLoad.Add(1)
	return rt.balance(buf.local, buf.remote, q.route)
}

// Choices returns how many choices were made by load and by estimate, and how many of the
// latter went to another zone although there was an instance in the own one.
func (rt *Router) Choices() (byLoad, byEstimate, otherZone uint64) {
	return rt.byLoad.Load(), rt.byEstimate.Load(), rt.otherZone.Load()
}

// bestOf returns the best of a few random instances, and false if the choice by load
// decides: all are ejected, or they are in full use and the summaries tell of no other
// zone.
func (rt *Router) bestOf(buf *buffers, q Query, v *view, now time.Time) (estimate, bool) {
	var samples [localSamples + remoteSamples]estimate
	list := samples[:0]
	for i := range min(localSamples, len(buf.local)) {
		list = append(list, rt.estimate(rt.sample(buf.local, i), false, q, v, now))
	}
	list = rt.addRemote(list, buf.remote, len(buf.local) == 0, q, v, now)
	short := v.isShort(now)
	var best *estimate
	least := 0.0
	for i := range list {
		e := &list[i]
		if e.load >= ejectedLoad {
			continue
		}
		if e.newcomer && (!e.remote || short) && rt.Rand() < newcomerPart {
			return *e, true
		}
		if cost := e.cost(); best == nil || cost < least {
			best, least = e, cost
		}
	}
	if best == nil || len(buf.local) > 0 && best.load >= fullLoad && !v.hasZone(now) {
		return estimate{}, false
	}
	return *best, true
}

// sample returns a random one of the places from i on of a list, and swaps it to place i,
// so that further samples are others.
func (rt *Router) sample(list refs, i int) *gtmember.Record {
	j := i + rt.randomIndex(len(list)-i)
	list[i], list[j] = list[j], list[i]
	return list[i]
}

// addRemote adds up to remoteSamples random instances of other zones, as many of each as
// is in proportion to its spare capacity. Zones without a valid summary are left out,
// unless there is no local instance.
func (rt *Router) addRemote(out []estimate, list refs, all bool, q Query, v *view, now time.Time) []estimate {
	if !all && !v.hasZone(now) {
		return out
	}
	added := 0
	for i := 0; i < min(maxRemoteDraws, len(list)) && added < remoteSamples; i++ {
		r := rt.sample(list, i)
		spare := v.zone(r.Zone()).spare
		valid := spare.isValid(now)
		if !valid && !all || valid && rt.Rand()*v.maxSpare > spare.spare {
			continue
		}
		out = append(out, rt.estimate(r, !all, q, v, now))
		added++
	}
	return out
}

// estimate returns an instance with the estimate for a request.
func (rt *Router) estimate(r *gtmember.Record, remote bool, q Query, v *view, now time.Time) estimate {
	e := estimate{candidate: candidate{record: r}, remote: remote, newcomer: true}
	if remote {
		e.zoneCost = v.otherZoneCost()
	}
	serviceTime := v.work
	limit, meanUse, zone := float64(r.Slots()), v.use, v.zone(r.Zone())
	if zone.spare.isValid(now) {
		meanUse = zone.spare.use()
	}
	busy, variance := meanUse*limit, meanUse*limit
	capacity := Capacity{}
	rt.peers.Do(r.Instance(), func(m map[string]*peer) {
		p := m[r.Instance()]
		if p == nil {
			return
		}
		learned := e.describe(p, q.route, now)
		e.failure = p.load.errorRate * math.Exp(-now.Sub(p.loadAt).Seconds()/errorMemory.Seconds())
		e.newcomer = p.load.limit == 0 && p.inflight == 0
		capacity = p.capacity
		busy, variance, limit = p.ahead(meanUse, limit, now)
		if learned > 0 {
			serviceTime = learned
		} else {
			serviceTime = time.Duration(float64(v.work) / capacity.speedOrOne())
		}
	})
	if serviceTime <= 0 {
		serviceTime = e.serviceTime
	}
	// A service time that is much longer now than it usually is means a slow phase.
	if float64(e.serviceTime) > slowRatio*float64(serviceTime) {
		serviceTime = e.serviceTime
	}
	e.use = busy / limit
	target := q.target
	if target == 0 {
		target = time.Duration(defaultTargetFactor * float64(v.work))
	}
	e.late, e.full = lateness(serviceTime.Seconds(), busy, variance, limit, capacity, (target - zone.roundTrip).Seconds())
	return e
}

// ahead returns the number of requests that a new one meets at the instance, its
// variance, and the concurrency limit. A report approaches the mean of the instance's
// reports with its age. The requests that this node has begun since count in full.
func (p *peer) ahead(meanUse, slots float64, now time.Time) (busy, variance, limit float64) {
	if p.load.limit == 0 {
		busy, limit = meanUse*slots, slots
		if p.reportedLimit > 0 {
			busy, limit = p.meanBusy, float64(p.reportedLimit)
		}
		busy = max(busy, float64(p.inflight))
		return busy, busy, limit
	}
	weight := math.Exp(-now.Sub(p.loadAt).Seconds() / loadDecay.Seconds())
	busy = p.meanBusy + weight*(float64(p.load.busy)-p.meanBusy)
	busy += max(0, float64(p.inflight-p.inflightThen))
	return max(busy, float64(p.inflight)), p.meanBusy * (1 - weight*weight), float64(p.load.limit)
}

// lateness returns the probability that a request takes longer than the target, in
// seconds, at an instance with the given mean service time, and the probability that it
// meets no free slot. Service times are taken to be exponentially distributed, the
// requests ahead to be normally distributed, and to leave at the rate of the limit.
func lateness(serviceTime, busy, variance, limit float64, c Capacity, target float64) (late, full float64) {
	deviation := math.Sqrt(variance + minVariance)
	z := (busy + 0.5 - limit) / deviation
	full = 1 / (1 + math.Exp(-1.702*z))
	if serviceTime <= 0 {
		return 0, full
	}
	if c.concurrency > 0 {
		serviceTime *= 1 + c.slowdown*max(0, min(busy+1, limit)-c.concurrency)
	}
	wait := (1 + max(0, busy-limit)) * serviceTime / limit
	late = tail(target / serviceTime)
	if full >= negligible {
		late = (1-full)*late + full*tail((target-wait)/serviceTime)
	}
	return late, full
}

// tail returns the probability that an exponentially distributed value exceeds x times its
// mean.
func tail(x float64) float64 {
	if x <= 0 {
		return 1
	}
	return math.Exp(-x)
}
