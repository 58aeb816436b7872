// Package gtlink decides which overlay links a node keeps. The number of links
// does not depend on the number of nodes.
//
// # Usage
//
//	plan := planner.Plan(self, links)
//	for _, r := range plan.Open() { dial(r) }
//	for _, name := range plan.Close() { drop(name) }
package gtlink

import (
	"slices"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gttimer"
)

const (
	// NearLinks is the number of links that a node opens in its own zone.
	NearLinks = 3
	// FarLinks is the number of links that a node opens to other zones.
	FarLinks = 2
	// MaxInbound is the number of links that a node accepts.
	MaxInbound = 16
	// Beat is the period of heartbeats on a link, in both directions.
	Beat = time.Second
	// Silence is how long a link may be silent before it is given up.
	Silence = 3 * time.Second
	// BackoffFirst is the longest wait after the first failed attempt.
	BackoffFirst = 200 * time.Millisecond
	// BackoffMax is the longest wait after any.
	BackoffMax = 5 * time.Second
)

// Link is an open overlay link as the planner sees it.
type Link struct {
	instance string
	zone     string
	outbound bool
}

// NewLink returns a link to the given instance.
func NewLink(instance, zone string, outbound bool) Link {
	return Link{instance: instance, zone: zone, outbound: outbound}
}

// Plan is what the planner wants changed.
type Plan struct {
	open  []gtmember.Record
	close []string
}

// Open returns the members to open a link to.
func (p Plan) Open() []gtmember.Record { return p.open }

// Close returns the instances whose outbound link is to be closed.
func (p Plan) Close() []string { return p.close }

// Planner chooses links. Its fields are set before use.
type Planner struct {
	// Shuffle puts n things in random order by calling swap.
	Shuffle func(n int, swap func(i, j int))
	// Zone returns the members of a zone that are not gone, ordered by instance.
	Zone func(name string) []gtmember.Record
	// Zones returns the number of such members by zone.
	Zones func() map[string]int
}

// Plan returns which links to open and close. It looks at no more than one
// other zone's members for each far link that is missing.
func (p *Planner) Plan(self gtmember.Record, links []Link) Plan {
	linked := map[string]bool{self.Instance(): true}
	near, far := 0, 0
	var plan Plan
	for _, l := range links {
		linked[l.instance] = true
		if !l.outbound {
			continue
		}
		count, limit := &near, NearLinks
		if l.zone != self.Zone() {
			count, limit = &far, FarLinks
		}
		if *count++; *count > limit {
			plan.close = append(plan.close, l.instance)
		}
	}
	if near < NearLinks {
		plan.open = append(plan.open, p.pick(p.Zone(self.Zone()), linked, NearLinks-near)...)
	}
	others := p.otherZones(self.Zone())
	for i := 0; far < FarLinks && i < len(others) && i < 2*FarLinks; i++ {
		picked := p.pick(p.Zone(others[i]), linked, 1)
		far += len(picked)
		plan.open = append(plan.open, picked...)
	}
	return plan
}

func (p *Planner) otherZones(own string) []string {
	var zones []string
	for zone, n := range p.Zones() {
		if zone != own && n > 0 {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	p.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	return zones
}

// pick returns up to n random members that are there and not linked.
func (p *Planner) pick(pool []gtmember.Record, linked map[string]bool, n int) []gtmember.Record {
	pool = slices.Clone(pool)
	p.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	var out []gtmember.Record
	for _, r := range pool {
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

// Backoff returns the wait before attempt n to open a link (1 is the first
// retry), spread by draw, from [0,1).
func Backoff(n int, draw float64) time.Duration {
	return gttimer.Backoff(n, BackoffFirst, BackoffMax, draw)
}
