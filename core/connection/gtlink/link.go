// Package gtlink decides which overlay links a node opens and closes. The number
// of links doesn't depend on the number of nodes.
//
// # Usage
//
//	plan := planner.Plan(self, links)
//	for _, r := range plan.Open() { dial(r) }
//	for _, name := range plan.Close() { disconnect(name) }
package gtlink

import (
	"slices"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gttimer"
)

const (
	// SameZoneLinks is the number of links that a node opens within its own zone.
	SameZoneLinks = 3
	// CrossZoneLinks is the number of links that a node opens to other zones.
	CrossZoneLinks = 2
	// MaxInbound is the maximum number of links that a node accepts.
	MaxInbound = 16
	// HeartbeatPeriod is the period of the heartbeats that both ends of a link send.
	HeartbeatPeriod = time.Second
	// HeartbeatTimeout is the time after which a link on which nothing was
	// received is closed.
	HeartbeatTimeout = 3 * time.Second
	// BackoffBase is the maximum delay after the first failed attempt.
	BackoffBase = 200 * time.Millisecond
	// BackoffMax is the maximum delay after any failed attempt.
	BackoffMax = 5 * time.Second
)

// Link is an open overlay link.
type Link struct {
	instance string
	zone     string
	outbound bool
}

// NewLink returns a link to the given instance in the given zone.
func NewLink(instance, zone string, outbound bool) Link {
	return Link{instance: instance, zone: zone, outbound: outbound}
}

// Plan lists the links to open and to close.
type Plan struct {
	open  []gtmember.Record
	close []string
}

// Open returns the members to open a link to.
func (p Plan) Open() []gtmember.Record { return p.open }

// Close returns the instances whose outbound link is to be closed.
func (p Plan) Close() []string { return p.close }

// Planner selects links at random. Its fields are set before use.
type Planner struct {
	// Shuffle shuffles n elements by calls of swap, as rand.Shuffle does.
	Shuffle func(n int, swap func(i, j int))
	// ZoneMembers returns the members of a zone that are not gone, ordered by
	// instance.
	ZoneMembers func(name string) []gtmember.Record
	// ZoneSizes returns the number of members that are not gone, by zone.
	ZoneSizes func() map[string]int
}

// Plan returns the links to open and to close. It reads the members of its own zone
// and of at most 2*CrossZoneLinks other zones.
func (p *Planner) Plan(self gtmember.Record, links []Link) Plan {
	linked := map[string]bool{self.Instance(): true}
	sameZone, crossZone := 0, 0
	var plan Plan
	for _, l := range links {
		linked[l.instance] = true
		if !l.outbound {
			continue
		}
		count, limit := &sameZone, SameZoneLinks
		if l.zone != self.Zone() {
			count, limit = &crossZone, CrossZoneLinks
		}
		if *count++; *count > limit {
			plan.close = append(plan.close, l.instance)
		}
	}
	if sameZone < SameZoneLinks {
		plan.open = append(plan.open, p.pick(p.ZoneMembers(self.Zone()), linked, SameZoneLinks-sameZone)...)
	}
	others := p.otherZones(self.Zone())
	for i := 0; crossZone < CrossZoneLinks && i < len(others) && i < 2*CrossZoneLinks; i++ {
		picked := p.pick(p.ZoneMembers(others[i]), linked, 1)
		crossZone += len(picked)
		plan.open = append(plan.open, picked...)
	}
	return plan
}

// otherZones returns the zones other than ownZone that have members, in random
// order.
func (p *Planner) otherZones(ownZone string) []string {
	var zones []string
	for zone, n := range p.ZoneSizes() {
		if zone != ownZone && n > 0 {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	p.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	return zones
}

// pick returns up to n random members that are neither linked nor leaving or gone.
func (p *Planner) pick(members []gtmember.Record, linked map[string]bool, n int) []gtmember.Record {
	members = slices.Clone(members)
	p.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var out []gtmember.Record
	for _, r := range members {
		if len(out) == n {
			break
		}
		if !linked[r.Instance()] && r.State() < gtmember.Leaving {
			linked[r.Instance()] = true
			out = append(out, r)
		}
	}
	return out
}

// Backoff returns the delay before attempt n to open a link, where 1 is the first
// retry; random, a number in [0,1), sets the jitter.
func Backoff(n int, random float64) time.Duration {
	return gttimer.Backoff(n, BackoffBase, BackoffMax, random)
}
