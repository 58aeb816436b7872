// Package gtsummary holds what nodes tell each other of the capacity of backend servers:
// a summary of each instance, within its zone, and a summary of each service of a zone,
// between zones. It decides what is sent when, at a bounded rate, and which summaries may
// still be used.
//
// # Usage
//
//	table := &gtsummary.Table{Now: timer.Time}
//	pacer := &gtsummary.Pacer{}
//	if pacer.Due(own, zoneSize, now) { announce(own) }
//	table.MergeInstance(received)
//	list := table.ZoneServices(zone, members)
//	spare, ok := table.Spare("lending", "z2")
//
// Summaries are hints. One that is lost or late costs a worse choice of a server, so they
// are neither repeated nor repaired.
package gtsummary

import (
	"math"
	"time"
)

const (
	// InstanceTTL is how long the load in the summary of an instance counts. One of a
	// server in use is repeated within that time.
	InstanceTTL = 30 * time.Second
	// ZoneTTL is how long the spare capacity in the summary of a zone counts.
	ZoneTTL = 3 * time.Second
	// MaxRoutes is the number of routes whose service times a summary has.
	MaxRoutes = 4
)

// RouteTime is the service time of a route, which is named by a hash, as the mean over a
// number of instances.
type RouteTime struct {
	route     uint32
	time      time.Duration
	instances int
}

// NewRouteTime returns the service time of a route over a number of instances.
func NewRouteTime(route uint32, d time.Duration, instances int) RouteTime {
	return RouteTime{route, d, instances}
}

// Route returns the hash of the route's name.
func (r RouteTime) Route() uint32 { return r.route }

// Time returns the service time.
func (r RouteTime) Time() time.Duration { return r.time }

// Instances returns the number of instances.
func (r RouteTime) Instances() int { return r.instances }

// Instance is the summary of an instance.
type Instance struct {
	name        string
	seq         uint64
	busy        float64
	limit       int
	speed       float64
	concurrency float64
	slowdown    float64
	times       []RouteTime
}

// NewInstance returns the summary of an instance with the mean number of requests that ran
// or were queued, and the concurrency limit. Of two summaries the one with the higher
// sequence number is newer.
func NewInstance(name string, seq uint64, busy float64, limit int) Instance {
	return Instance{name: name, seq: seq, busy: busy, limit: limit, speed: 1}
}

// WithLearned returns a copy with the speed, the concurrency that is handled without
// slowing down, or 0, and the slow-down by each further request.
func (i Instance) WithLearned(speed, concurrency, slowdown float64) Instance {
	i.speed, i.concurrency, i.slowdown = speed, concurrency, slowdown
	return i
}

// WithTimes returns a copy with the service times of routes, not more than MaxRoutes. The
// slice must not be changed afterwards.
func (i Instance) WithTimes(list []RouteTime) Instance {
	i.times = list[:min(len(list), MaxRoutes)]
	return i
}

// Name returns the name of the instance.
func (i Instance) Name() string { return i.name }

// Seq returns the sequence number.
func (i Instance) Seq() uint64 { return i.seq }

// Busy returns the mean number of requests that ran or were queued.
func (i Instance) Busy() float64 { return i.busy }

// Limit returns the concurrency limit.
func (i Instance) Limit() int { return i.limit }

// Speed returns the speed; 1 is the mean of the service.
func (i Instance) Speed() float64 { return i.speed }

// Concurrency returns the concurrency that is handled without slowing down, or 0.
func (i Instance) Concurrency() float64 { return i.concurrency }

// Slowdown returns the slow-down by each further request.
func (i Instance) Slowdown() float64 { return i.slowdown }

// Times returns the service times of routes. The slice must not be changed.
func (i Instance) Times() []RouteTime { return i.times }

// capacity returns the number of requests that the instance handles at once.
func (i Instance) capacity() float64 {
	if i.concurrency > 0 {
		return math.Min(i.concurrency, float64(i.limit))
	}
	return float64(i.limit)
}

// Service is the summary of a service in a zone: its capacity, as a number of requests at
// once, how much of it is spare, and the service time of one of its routes or none.
type Service struct {
	name            string
	spare, capacity float64
	time            RouteTime
}

// NewService returns the summary of a service.
func NewService(name string, spare, capacity float64) Service {
	return Service{name: name, spare: spare, capacity: capacity}
}

// WithTime returns a copy with the service time of a route.
func (s Service) WithTime(t RouteTime) Service {
	s.time = t
	return s
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Spare returns the spare capacity.
func (s Service) Spare() float64 { return s.spare }

// Capacity returns the capacity.
func (s Service) Capacity() float64 { return s.capacity }

// Time returns the service time of a route, and false if there is none.
func (s Service) Time() (RouteTime, bool) { return s.time, s.time.instances > 0 }

// Zone is the summary of a zone by one of the nodes that send it.
type Zone struct {
	name     string
	sender   uint32
	seq      uint64
	services []Service
}

// NewZone returns the summary of a zone by a sender, which is named by a hash.
func NewZone(name string, sender uint32, seq uint64, services []Service) Zone {
	return Zone{name, sender, seq, services}
}

// Name returns the name of the zone.
func (z Zone) Name() string { return z.name }

// Sender returns the hash of the sender's name.
func (z Zone) Sender() uint32 { return z.sender }

// Seq returns the sequence number, by sender.
func (z Zone) Seq() uint64 { return z.seq }

// Services returns the summaries of services. The slice must not be changed.
func (z Zone) Services() []Service { return z.services }
