package gtroute

import (
	"time"
)

const (
	// viewPeriod is how long what is known of a service as a whole is used before it is
	// computed anew, at the cost of a look at each instance.
	viewPeriod = time.Second
	// sameSpeedRatio is the ratio of the speeds of the fastest and the slowest instance up
	// to which the instances count as equally fast.
	sameSpeedRatio = 1.2
	// shortUse is the share of its capacity from which a zone is short of capacity, and
	// minUseGain how much lower that share must be in another zone.
	shortUse, minUseGain = 0.7, 0.1
	// maxZoneSlots is the factor of the slots of a zone's instances up to which a summary
	// can be right about its capacity.
	maxZoneSlots = 1.5
	// roundTripRise is the weight of a longer time in the round trip to a zone, and
	// maxRoundTripRise the multiple of it up to which one counts.
	roundTripRise, maxRoundTripRise = 0.02, 4
	// loadMemory is how long a reported load counts in the mean load of a service.
	loadMemory = 10 * time.Second
)

// view is what is known of a service as a whole, for the requests on one route. It isn't
// changed once made, but for usedAt, which the lock of its shard guards.
type view struct {
	at     time.Time
	usedAt time.Time
	// mixed reports whether some instances are faster than others.
	mixed bool
	// work is the service time of the route at speed 1, or 0 if it is unknown.
	work time.Duration
	// use is the mean share of the concurrency limits in use.
	use float64
	// localUse is the same in the local zone.
	localUse float64
	// zones are all zones with instances of the service. The slice is not changed.
	zones []zoneView
	// maxSpare is the largest spare capacity of these zones.
	maxSpare float64
}

// Spare is the spare capacity of a service in another zone, as a summary tells it.
type Spare struct {
	spare, capacity float64
	validUntil      time.Time
}

// NewSpare returns a spare capacity, as a number of requests at once, out of a capacity.
// It is used until the given time.
func NewSpare(spare, capacity float64, validUntil time.Time) Spare {
	return Spare{spare: spare, capacity: capacity, validUntil: validUntil}
}

// zoneView is a zone with the spare capacity of the service there, if there is a summary,
// and the measured round trip.
type zoneView struct {
	zone      string
	spare     Spare
	roundTrip time.Duration
}

// zone returns what is known of a zone.
func (v *view) zone(name string) zoneView {
	for i := range v.zones {
		if v.zones[i].zone == name {
			return v.zones[i]
		}
	}
	return zoneView{}
}

// isValid reports whether there is a spare capacity that may be used.
func (s Spare) isValid(now time.Time) bool { return now.Before(s.validUntil) }

// hasZone reports whether there is a valid summary of another zone.
func (v *view) hasZone(now time.Time) bool {
	for _, z := range v.zones {
		if z.spare.isValid(now) {
			return true
		}
	}
	return false
}

// use returns the share of the capacity in use.
func (s Spare) use() float64 { return 1 - s.spare/s.capacity }

// isShort reports whether the local zone is short of capacity and another one is not.
func (v *view) isShort(now time.Time) bool {
	if v.localUse < shortUse {
		return false
	}
	for _, z := range v.zones {
		if z.spare.isValid(now) && z.spare.use() < v.localUse-minUseGain {
			return true
		}
	}
	return false
}

// comparesByEstimate reports whether the instances in the buffers are compared by estimate:
// their speeds differ, or the own zone is short of capacity.
func (v *view) comparesByEstimate(buf *buffers, now time.Time) bool {
	if len(buf.remote) > 0 && len(buf.list) < minEstimated {
		return false
	}
	return v.mixed || v.isShort(now)
}

// otherZoneCost returns the cost of an instance in another zone. It falls gradually as the
// own zone fills, so that its senders don't all begin to leave it at the same use.
func (v *view) otherZoneCost() float64 {
	fall := (crossZoneCost - fullZoneCost) * (v.localUse - easyUse) / (shortUse - easyUse)
	return min(max(crossZoneCost-fall, fullZoneCost), crossZoneCost)
}

// view returns what is known of the service and route of a query, from the instances in
// list. It is computed at most once in viewPeriod, and not from the few instances that
// are left for a retry.
func (rt *Router) view(list refs, q Query, now time.Time) *view {
	var v *view
	rt.views.Do(q.route, func(m map[string]map[string]*view) {
		if v = m[q.route][q.service]; v != nil {
			v.usedAt = now
		}
	})
	if v != nil && (now.Sub(v.at) < viewPeriod || len(q.tried) > 0) {
		return v
	}
	v = rt.newView(list, q, rt.Zone, now)
	rt.views.Do(q.route, func(m map[string]map[string]*view) {
		if m[q.route] == nil {
			m[q.route] = map[string]*view{}
		}
		m[q.route][q.service] = v
	})
	return v
}

// newView computes the view of the instances in list from the given zone.
func (rt *Router) newView(list refs, q Query, local string, now time.Time) *view {
	v := &view{at: now, usedAt: now}
	slowest, fastest := 0.0, 0.0
	var work, use, works, uses, localUse, localUses float64
	slots := map[string]float64{}
	for _, r := range list {
		speed := 1.0
		slots[r.Zone()] += float64(r.Slots())
		rt.peers.Do(r.Instance(), func(m map[string]*peer) {
			p := m[r.Instance()]
			if p == nil {
				return
			}
			speed = p.capacity.speedOrOne()
			if st, ok := p.serviceTimes[q.route]; ok && st.learned > 0 {
				work += st.learned.Seconds() * speed
				works++
			}
			if limit := max(p.load.limit, p.reportedLimit); limit > 0 && now.Sub(later(p.loadAt, p.reportedAt)) < loadMemory {
				use += p.meanBusy / float64(limit)
				uses++
				if r.Zone() == local {
					localUse += p.meanBusy / float64(limit)
					localUses++
				}
			}
		})
		if slowest == 0 || speed < slowest {
			slowest = speed
		}
		fastest = max(fastest, speed)
	}
	v.mixed = fastest > sameSpeedRatio*slowest
	if works > 0 {
		v.work = time.Duration(work / works * float64(time.Second))
	}
	if uses > 0 {
		v.use = min(use/uses, 1)
	}
	if localUses > 0 {
		v.localUse = min(localUse/localUses, 1)
	}
	rt.addZones(v, q.service, local, slots)
	return v
}

// addZones adds the zones in slots, the number of slots by zone, with the summaries of those
// other than the local one. It leaves out summaries that can't be right.
func (rt *Router) addZones(v *view, service, local string, slots map[string]float64) {
	for zone, n := range slots {
		z := zoneView{zone: zone}
		z.roundTrip, _ = rt.roundTrips.Get(zone)
		if zone != local && rt.Spare != nil {
			s, ok := rt.Spare(service, zone)
			if ok && s.capacity > 0 && s.capacity <= maxZoneSlots*n && s.spare >= 0 && s.spare <= s.capacity {
				z.spare = s
				v.maxSpare = max(v.maxSpare, s.spare)
			}
		}
		v.zones = append(v.zones, z)
	}
}

// expireViews drops the views that have not been used for peerTTL.
func (rt *Router) expireViews(now time.Time) {
	rt.views.Each(func(m map[string]map[string]*view) {
		for route, services := range m {
			for service, v := range services {
				if now.Sub(v.usedAt) > peerTTL {
					delete(services, service)
				}
			}
			if len(services) == 0 {
				delete(m, route)
			}
		}
	})
}

// ObserveNetwork records the time that a request to a zone spent on the way, both ways.
// The least of them approaches the round trip, as others waited for processor time; it
// rises slowly, should the way have become longer.
func (rt *Router) ObserveNetwork(zone string, d time.Duration) {
	if d < 0 {
		return
	}
	rt.roundTrips.Do(zone, func(m map[string]time.Duration) {
		known, ok := m[zone]
		if !ok || d < known {
			m[zone] = d
			return
		}
		m[zone] = known + time.Duration(roundTripRise*float64(min(d, maxRoundTripRise*known)-known))
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
