package gtsummary

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtshard"
)

const (
	// maxInstances and maxZones bound the summaries that are kept in a shard.
	maxInstances, maxZones = 1024, 256
	// seqTTL is the time after which a lower sequence number is accepted: the sender has
	// started anew with its clock set back.
	seqTTL = 10 * time.Second
	// timeTTL is how long service times count. They hardly change, a server that is little
	// used does not repeat them, and the summary of a zone has one at a time. With 30 s,
	// the references lacked the servers that were little used, which were the slow ones.
	timeTTL = 10 * time.Minute
	// maxTimes bounds the routes for which the service times of a zone are kept.
	maxTimes = 64
)

// Table holds the summaries that a node has received, sharded by instance, and by zone and
// service.
type Table struct {
	// Now returns the time of the timer service. It is set before use.
	Now func() time.Time

	instances gtshard.Map[timedInstance]
	services  gtshard.Map[*timedService]
	senders   gtshard.Map[timedSeq]
}

type timedInstance struct {
	Instance
	at time.Time
}

type timedService struct {
	Service
	at time.Time
	// times has one entry for each route. A map takes ten times the memory of the one route
	// that most services have.
	times []timedTime
}

// setTime stores the service time of a route, unless there are too many routes.
func (s *timedService) setTime(r RouteTime, now time.Time) {
	i := slices.IndexFunc(s.times, func(known timedTime) bool { return known.route == r.route })
	switch {
	case i >= 0:
		s.times[i] = timedTime{r, now}
	case len(s.times) < maxTimes:
		s.times = append(s.times, timedTime{r, now})
	default:
	}
}

type timedTime struct {
	RouteTime
	at time.Time
}

type timedSeq struct {
	seq uint64
	at  time.Time
}

// isNewer reports whether a sequence number is newer than one received at a time.
func isNewer(seq, known uint64, at, now time.Time) bool {
	return seq > known || now.Sub(at) > seqTTL && seq != known
}

// MergeInstance stores the summary of an instance and reports whether it was new.
func (t *Table) MergeInstance(i Instance) bool {
	now, changed := t.Now(), false
	t.instances.Do(i.name, func(m map[string]timedInstance) {
		known, ok := m[i.name]
		if ok && !isNewer(i.seq, known.seq, known.at, now) || !ok && len(m) >= maxInstances {
			return
		}
		m[i.name], changed = timedInstance{i, now}, true
	})
	return changed
}

// Instance returns the summary of an instance, and false if there is none that counts.
func (t *Table) Instance(name string) (Instance, bool) {
	i, ok := t.instances.Get(name)
	return i.Instance, ok && t.Now().Sub(i.at) <= InstanceTTL
}

// MergeZone stores the summary of a zone and reports whether it was new.
func (t *Table) MergeZone(z Zone) bool {
	now, changed := t.Now(), false
	t.senders.Do(z.name, func(m map[string]timedSeq) {
		key := z.name + " " + strconv.FormatUint(uint64(z.sender), 10)
		known, ok := m[key]
		if ok && !isNewer(z.seq, known.seq, known.at, now) || !ok && len(m) >= maxZones {
			return
		}
		m[key], changed = timedSeq{z.seq, now}, true
	})
	if changed {
		for _, s := range z.services {
			t.mergeService(z.name, s, now)
		}
	}
	return changed
}

func (t *Table) mergeService(zone string, s Service, now time.Time) {
	key := serviceKey(zone, s.name)
	t.services.Do(key, func(m map[string]*timedService) {
		known := m[key]
		if known == nil {
			if len(m) >= maxInstances {
				return
			}
			known = &timedService{}
			m[key] = known
		}
		known.Service, known.at = s, now
		if r, ok := s.Time(); ok {
			known.setTime(r, now)
		}
	})
}

func serviceKey(zone, service string) string { return zone + "\x00" + service }

// Spare returns the spare capacity and the capacity of a service in a zone, and when it
// was received. It is false if there is none, or none within ZoneTTL.
func (t *Table) Spare(service, zone string) (spare, capacity float64, at time.Time, ok bool) {
	key := serviceKey(zone, service)
	t.services.Do(key, func(m map[string]*timedService) {
		if s := m[key]; s != nil && t.Now().Sub(s.at) <= ZoneTTL {
			spare, capacity, at, ok = s.spare, s.capacity, s.at, true
		}
	})
	return spare, capacity, at, ok
}

// IsUsed reports whether one of the zones has lately told that a service is in use there.
func (t *Table) IsUsed(service string, zones []string) bool {
	used := false
	for _, zone := range zones {
		key := serviceKey(zone, service)
		t.services.Do(key, func(m map[string]*timedService) {
			s := m[key]
			used = used || s != nil && t.Now().Sub(s.at) <= InstanceTTL && s.use() >= minUse
		})
	}
	return used
}

// ZoneServices returns the summaries of the services of a zone from those of its
// instances, ordered by name. Of the service times each has that of one route, which
// changes with turn. An instance without a summary that counts is taken for idle.
func (t *Table) ZoneServices(members []gtmember.Record, turn int) []Service {
	byName, now := map[string]*zoneService{}, t.Now()
	for _, r := range members {
		if r.State() != gtmember.Ready || r.Service() == "" {
			continue
		}
		s := byName[r.Service()]
		if s == nil {
			s = &zoneService{sums: timeSums{}}
			byName[r.Service()] = s
		}
		i, ok := t.instances.Get(r.Instance())
		switch age := now.Sub(i.at); {
		case !ok || age > timeTTL:
			i.Instance = NewInstance(r.Instance(), 0, 0, r.Slots())
		case age > InstanceTTL:
			i.busy = 0
		}
		s.capacity += i.capacity()
		s.spare += max(0, i.capacity()-i.busy)
		s.sums.add(i.times)
	}
	var list []Service
	for name, s := range byName {
		service := NewService(name, s.spare, s.capacity)
		if times := s.sums.means(); len(times) > 0 {
			service = service.WithTime(times[turn%len(times)])
		}
		list = append(list, service)
	}
	slices.SortFunc(list, func(a, b Service) int { return cmp.Compare(a.name, b.name) })
	return list
}

type zoneService struct {
	spare, capacity float64
	sums            timeSums
}

// References returns the mean service times of the routes of a service, from the summaries
// of its instances in the own zone and of the other zones. The mean is the harmonic one,
// so that the mean of the speeds is 1.
func (t *Table) References(service string, members []gtmember.Record, zones []string) map[uint32]time.Duration {
	sums, now := timeSums{}, t.Now()
	for _, r := range members {
		if r.Service() != service {
			continue
		}
		if i, ok := t.instances.Get(r.Instance()); ok && now.Sub(i.at) <= timeTTL {
			sums.add(i.times)
		}
	}
	for _, zone := range zones {
		key := serviceKey(zone, service)
		t.services.Do(key, func(m map[string]*timedService) {
			if s := m[key]; s != nil {
				for _, r := range s.times {
					if now.Sub(r.at) <= timeTTL {
						sums.add([]RouteTime{r.RouteTime})
					}
				}
			}
		})
	}
	out := map[uint32]time.Duration{}
	for _, r := range sums.means() {
		out[r.route] = r.time
	}
	return out
}

// Expire deletes what no longer counts.
func (t *Table) Expire() {
	now := t.Now()
	t.instances.Each(func(m map[string]timedInstance) {
		for name, i := range m {
			if now.Sub(i.at) > timeTTL {
				delete(m, name)
			}
		}
	})
	t.services.Each(func(m map[string]*timedService) {
		for key, s := range m {
			if now.Sub(s.at) > timeTTL {
				delete(m, key)
			}
		}
	})
	t.senders.Each(func(m map[string]timedSeq) {
		for key, s := range m {
			if now.Sub(s.at) > timeTTL {
				delete(m, key)
			}
		}
	})
}

// timeSums sums up rates, the inverse of service times, by route.
type timeSums map[uint32]*timeSum

type timeSum struct {
	rate      float64
	instances int
}

func (s timeSums) add(list []RouteTime) {
	for _, r := range list {
		if r.time <= 0 || r.instances < 1 {
			continue
		}
		sum := s[r.route]
		if sum == nil {
			sum = &timeSum{}
			s[r.route] = sum
		}
		sum.rate += float64(r.instances) / r.time.Seconds()
		sum.instances += r.instances
	}
}

// means returns the harmonic mean for each route, ordered by route.
func (s timeSums) means() []RouteTime {
	var out []RouteTime
	for route, sum := range s {
		out = append(out, NewRouteTime(route, time.Duration(float64(sum.instances)/sum.rate*float64(time.Second)), sum.instances))
	}
	slices.SortFunc(out, func(a, b RouteTime) int { return cmp.Compare(a.route, b.route) })
	return out
}
