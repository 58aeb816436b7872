package gtnode

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtrank"
	"godwittide/core/process/gtshard"
	"godwittide/core/process/gtsummary"
	"godwittide/core/request/gtroute"
	"godwittide/io/connection/gtwire"
)

const (
	// summaryPeriod is the period in which the load is sampled and summaries may be sent.
	summaryPeriod = 500 * time.Millisecond
	// referencePeriod is the period in which the references are computed.
	referencePeriod = 2 * time.Second
	// busyWeight is the weight of a sample in the mean load.
	busyWeight = 0.2
	// envelopeBytes is the size of a message around the summary of a zone.
	envelopeBytes = 64
	// summaryTask is the task by which the senders of the zone's summary are ranked.
	summaryTask = "summary"
	// logSpeedRatio is the change of the learned speed from which it is logged.
	logSpeedRatio = 1.2
)

// summarizer sends the summaries of the own instance and, if this node ranks among the
// first of its zone, of the zone. One goroutine uses it.
type summarizer struct {
	busy      float64
	pacer     gtsummary.Pacer
	zonePacer gtsummary.ZonePacer
	// loggedSpeed and loggedCapacity are what was last logged of the backend server.
	loggedSpeed, loggedCapacity float64
}

// sendSummaries samples the load and sends summaries until ctx ends.
func (n *Node) sendSummaries(ctx context.Context) {
	ticker := n.timer.Every(summaryPeriod, 0.2)
	defer ticker.Stop()
	n.summarizer.loggedSpeed = 1
	var referencesAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C():
			n.summarizer.busy += busyWeight * (float64(n.gate.Load("").Busy()) - n.summarizer.busy)
			if now.Sub(referencesAt) >= referencePeriod {
				referencesAt = now
				n.updateReferences()
				n.logCapacity()
			}
			n.sendInstanceSummary(now)
			n.sendZoneSummary(ctx, now)
		}
	}
}

// routeHash returns the hash that names a route in summaries.
func routeHash(route string) uint32 { return uint32(gtshard.Hash("route", route)) % (1 << 20) }

// updateReferences sets the mean service times of the service at the estimator.
func (n *Node) updateReferences() {
	self := n.table.Self()
	local := slices.DeleteFunc(slices.Clone(n.table.ServiceMembers(self.Service())), func(r gtmember.Record) bool { return r.Zone() != self.Zone() })
	references := n.summaries.References(self.Service(), local, n.otherZones())
	var routes []string
	n.capacity.Routes(func(name string, _ time.Duration, _ int) { routes = append(routes, name) })
	for _, name := range routes {
		n.capacity.SetReference(name, references[routeHash(name)])
	}
}

// otherZones returns the other zones that have members, ordered by name.
func (n *Node) otherZones() []string {
	sizes := n.table.ZoneSizes()
	delete(sizes, n.table.Self().Zone())
	maps.DeleteFunc(sizes, func(_ string, size int) bool { return size == 0 })
	return slices.Sorted(maps.Keys(sizes))
}

// logCapacity logs what has been learned of the backend server if it has changed much.
func (n *Node) logCapacity() {
	speed, capacity := n.capacity.Speed(), n.capacity.Capacity()
	s := &n.summarizer
	speedChanged := math.Max(speed/s.loggedSpeed, s.loggedSpeed/speed) >= logSpeedRatio
	capacityChanged := (capacity == 0) != (s.loggedCapacity == 0) || math.Abs(capacity-s.loggedCapacity) >= math.Max(1, s.loggedCapacity/5)
	if !speedChanged && !capacityChanged {
		return
	}
	s.loggedSpeed, s.loggedCapacity = speed, capacity
	n.Log.Info().Float64("speed", speed).Float64("capacity", capacity).Float64("slowdown", n.capacity.Slowdown()).
		Int("changes", n.capacity.Changes()).Msg("capacity: learned of the backend server")
}

// sendInstanceSummary sends the summary of the own instance within the zone if it is due.
func (n *Node) sendInstanceSummary(now time.Time) {
	self := n.table.Self()
	if self.State() != gtmember.Ready || !n.Settings.Backend.Learn {
		return
	}
	i := n.instanceSummary(self)
	if n.summarizer.pacer.Due(i, n.table.ZoneSizes()[self.Zone()], now) {
		n.overlay.AnnounceInstance(i)
		n.summaryCounter("instance").Inc(1)
	}
}

func (n *Node) instanceSummary(self gtmember.Record) gtsummary.Instance {
	type timed struct {
		gtsummary.RouteTime
		samples int
	}
	var list []timed
	n.capacity.Routes(func(name string, d time.Duration, samples int) {
		list = append(list, timed{gtsummary.NewRouteTime(routeHash(name), d, 1), samples})
	})
	slices.SortFunc(list, func(a, b timed) int {
		return cmp.Or(cmp.Compare(b.samples, a.samples), cmp.Compare(a.Route(), b.Route()))
	})
	var times []gtsummary.RouteTime
	for _, t := range list[:min(len(list), gtsummary.MaxRoutes)] {
		times = append(times, t.RouteTime)
	}
	return gtsummary.NewInstance(self.Instance(), n.summarySeq(), n.summarizer.busy, n.gate.Load("").Limit()).
		WithLearned(n.capacity.Speed(), n.capacity.Capacity(), n.capacity.Slowdown()).WithTimes(times)
}

// summarySeq returns a number that rises with time, also over restarts of the node.
func (n *Node) summarySeq() uint64 {
	return uint64(n.startTime.UnixMilli() + n.timer.Time().Sub(n.startTime).Milliseconds())
}

// sendZoneSummary sends the summary of the own zone to the others if this node is one of
// its senders and it is due. Each sender has a receiver of its own in each zone, which
// passes it on there.
func (n *Node) sendZoneSummary(ctx context.Context, now time.Time) {
	pacer := &n.summarizer.zonePacer
	if !n.Settings.Backend.Learn || !pacer.Ready(now) {
		return
	}
	self := n.table.Self()
	members := n.table.ZoneMembers(self.Zone())
	rank := gtrank.Rank(summaryTask, self.Instance(), members)
	if rank >= gtsummary.ZoneSenders {
		return
	}
	zones := n.otherZones()
	isUsed := func(service string) bool { return n.summaries.IsUsed(service, zones) }
	services := pacer.Due(n.summaries.ZoneServices(members, pacer.Turn()), isUsed, len(zones), now)
	if len(services) == 0 {
		return
	}
	text := gtwire.EncodeZone(gtsummary.NewZone(self.Zone(), uint32(gtshard.Hash(self.Instance()))%(1<<20), n.summarySeq(), services))
	pacer.Sent(len(text)+envelopeBytes, len(services), len(zones), now)
	n.summaryCounter("zone").Inc(int64(len(zones)))
	for _, zone := range zones {
		receivers := gtrank.Ranked(summaryTask, n.table.ZoneMembers(zone))
		if len(receivers) == 0 {
			continue
		}
		to := receivers[min(rank, len(receivers)-1)]
		n.wg.Go(func() {
			if err := n.overlay.SendZone(ctx, to, text); err != nil {
				n.Log.Debug().Err(err).Str("instance", to.Instance()).Msg("overlay: sending the summary of the zone failed")
			}
		})
	}
}

// spare returns the spare capacity of a service in another zone, for the router.
func (n *Node) spare(service, zone string) (gtroute.Spare, bool) {
	spare, capacity, at, ok := n.summaries.Spare(service, zone)
	return gtroute.NewSpare(spare, capacity, at.Add(gtsummary.ZoneTTL)), ok
}

// mergeSummary passes the summary of another instance to the router.
func (n *Node) mergeSummary(i gtsummary.Instance) {
	n.router.Report(i.Name(), i.Busy(), i.Limit(), gtroute.NewCapacity(i.Speed(), i.Concurrency(), i.Slowdown()))
}
