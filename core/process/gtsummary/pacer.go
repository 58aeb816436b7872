package gtsummary

import (
	"math"
	"time"
)

const (
	// minInstancePeriod is the least time between two summaries of an instance.
	minInstancePeriod = time.Second
	// perInstance is how much longer that time is for each instance of the zone, so that a
	// zone has at most four summaries a second, whatever its size.
	perInstance = 250 * time.Millisecond
	// repeatPeriod is the time after which a summary of a server in use is repeated
	// without news, and quietRepeatPeriod that of a server that is little used, so that
	// its service times still count.
	repeatPeriod, quietRepeatPeriod = InstanceTTL / 3, timeTTL / 4
	// minQuietUse is the share of the limit in use below which a server counts as unused.
	minQuietUse = 0.01
	// minBusyChange is the change of the load, as a part of the limit, and minSpeedChange
	// that of the speed, from which a summary has news.
	minBusyChange, minSpeedChange = 0.1, 0.05
)

// Pacer decides when the summary of the own instance is sent. It is used by one goroutine.
type Pacer struct {
	last   Instance
	lastAt time.Time
}

// Due reports whether a summary is to be sent in a zone with the given number of instances,
// and takes it as sent. A server that nobody uses has nothing to tell: others take
// instances without a summary for idle.
func (p *Pacer) Due(i Instance, zoneSize int, now time.Time) bool {
	period := max(minInstancePeriod, time.Duration(zoneSize)*perInstance)
	age := now.Sub(p.lastAt)
	if !p.lastAt.IsZero() && age < period {
		return false
	}
	repeat := age >= repeatPeriod && i.busy >= minBusyChange*float64(i.limit) ||
		age >= quietRepeatPeriod && i.busy >= minQuietUse*float64(i.limit)
	if !repeat && !p.hasNews(i) {
		return false
	}
	p.last, p.lastAt = i, now
	return true
}

// hasNews reports whether a summary differs from the last one that was sent.
func (p *Pacer) hasNews(i Instance) bool {
	last := p.last
	if last.limit == 0 {
		return i.busy >= minBusyChange*float64(i.limit) || len(i.times) > 0
	}
	return last.limit != i.limit || len(last.times) < len(i.times) ||
		math.Abs(i.busy-last.busy) >= minBusyChange*float64(i.limit) ||
		math.Abs(i.speed-last.speed) >= minSpeedChange ||
		math.Abs(i.concurrency-last.concurrency) >= 1
}

const (
	// minZonePeriod is the least time between two summaries of a zone by one sender.
	minZonePeriod = 1400 * time.Millisecond
	// maxPairBytes is the bound of the bytes a second for each pair of zone and service
	// across a zone boundary, and ZoneSenders the number of nodes that share it.
	maxPairBytes = 64
	// ZoneSenders is the number of nodes of a zone that send its summaries.
	ZoneSenders = 2
	// maxSenderBytes bounds the bytes a second that a node sends for all zones.
	maxSenderBytes = 2000
	// entryBytes is the usual size of a service in a summary.
	entryBytes = 36
	// minUse is the share of a service's capacity in use from which it is in a summary.
	minUse = 0.05
	// urgentUse is the share from which a service goes before others if not all have room.
	urgentUse = 0.6
)

// ZonePacer decides when the summary of the own zone is sent, and of which services. It is
// used by one goroutine.
type ZonePacer struct {
	next time.Time
	turn int
}

// Due returns the services to send to a number of other zones, or none if nothing is due.
// Services that neither the own zone nor another one uses, as isUsed tells, are left out:
// an idle fleet sends no summaries. If there are too many for the bound of a node, the
// most used go first and the others take turns.
func (p *ZonePacer) Due(list []Service, isUsed func(service string) bool, zones int, now time.Time) []Service {
	if zones == 0 || !p.Ready(now) {
		return nil
	}
	var urgent, rest []Service
	for _, s := range list {
		switch {
		case s.use() >= urgentUse:
			urgent = append(urgent, s)
		case s.use() >= minUse || isUsed(s.name):
			rest = append(rest, s)
		}
	}
	p.turn++
	room := max(1, int(ZoneTTL.Seconds()/ZoneSenders*maxSenderBytes)/(entryBytes*zones))
	if n := len(rest); n > 0 && len(urgent) < room {
		first := p.turn * max(1, room-len(urgent)) % n
		rest = append(rest[first:n:n], rest[:first]...)
		urgent = append(urgent, rest[:min(n, room-len(urgent))]...)
	}
	return urgent[:min(len(urgent), room)]
}

// Ready reports whether the time of the next summary has come.
func (p *ZonePacer) Ready(now time.Time) bool { return !now.Before(p.next) }

// Turn returns a number that rises with each summary.
func (p *ZonePacer) Turn() int { return p.turn }

// Sent records that a summary of the given size, with a number of services, was sent to a
// number of zones.
func (p *ZonePacer) Sent(bytes, services, zones int, now time.Time) {
	seconds := math.Max(
		ZoneSenders*float64(bytes)/float64(max(services, 1))/maxPairBytes,
		float64(bytes*zones)/maxSenderBytes,
	)
	p.next = now.Add(max(minZonePeriod, time.Duration(seconds*float64(time.Second))))
}

// use returns the share of the capacity in use.
func (s Service) use() float64 {
	if s.capacity <= 0 {
		return 0
	}
	return 1 - s.spare/s.capacity
}
