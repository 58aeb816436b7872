package gtsummary

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
)

var start = time.Unix(1000, 0)

// The summaries of a zone must be bounded in number whatever its size, also if every
// instance always has news.
func TestInstanceSummariesOfAZoneAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, size := range []int{1, 4, 20, 100, 1100} {
		sent := 0
		const seconds = 600
		for n := range size {
			p := &Pacer{}
			for at := time.Duration(n) * time.Millisecond; at < seconds*time.Second; at += 500 * time.Millisecond {
				busy := float64(at / (500 * time.Millisecond) % 2 * 5)
				if p.Due(NewInstance("i", 1, busy, 10), size, start.Add(at)) {
					sent++
				}
			}
		}
		g.Expect(float64(sent)/seconds).To(gomega.BeNumerically("<=", 4+float64(size)/seconds), "%d instances", size)
		g.Expect(sent).To(gomega.BeNumerically(">", 0))
	}
}

// An idle server must send nothing, and one in use its summary before it expires.
func TestSummaryIsSentWhenThereIsNews(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &Pacer{}
	now := start
	due := func(i Instance) bool {
		now = now.Add(time.Second)
		return p.Due(i, 1, now)
	}
	for range 100 {
		g.Expect(due(NewInstance("i", 1, 0, 10))).To(gomega.BeFalse(), "idle from the start")
	}
	busy := NewInstance("i", 1, 5, 10)
	g.Expect(due(busy)).To(gomega.BeTrue())
	g.Expect(due(busy)).To(gomega.BeFalse(), "no news")
	g.Expect(due(busy.WithLearned(1.3, 0, 0))).To(gomega.BeTrue(), "another speed")
	last := now
	repeated := false
	for !repeated && now.Sub(last) < time.Minute {
		repeated = due(busy.WithLearned(1.3, 0, 0))
	}
	g.Expect(repeated).To(gomega.BeTrue())
	g.Expect(now.Sub(last)).To(gomega.BeNumerically("<", InstanceTTL))
	g.Expect(due(NewInstance("i", 1, 0, 10).WithLearned(1.3, 0, 0))).To(gomega.BeTrue(), "idle now")
	for range 100 {
		g.Expect(due(NewInstance("i", 1, 0, 10).WithLearned(1.3, 0, 0))).To(gomega.BeFalse())
	}
}

// What crosses a zone boundary must be at most 64 bytes a second for each pair of zone and
// service, and 2000 bytes a second for each sender, and reach the receivers before the
// last summary expires while the services are few.
func TestZoneSummariesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, services := range []int{1, 3, 20, 2000} {
		for _, zones := range []int{1, 3, 14} {
			var list []Service
			for i := range services {
				list = append(list, NewService(fmt.Sprintf("service-%d", i), 10, 30))
			}
			p := &ZonePacer{}
			const seconds = 300
			total, pairBytes, seen := 0, map[string]float64{}, map[string]bool{}
			var longest time.Duration
			last := start
			for now := start; now.Sub(start) < seconds*time.Second; now = now.Add(500 * time.Millisecond) {
				due := p.Due(list, func(string) bool { return true }, zones, now)
				if len(due) == 0 {
					continue
				}
				longest, last = max(longest, now.Sub(last)), now
				bytes := 80 + 36*len(due)
				total += bytes * zones
				for _, s := range due {
					pairBytes[s.name] += ZoneSenders * float64(bytes) / float64(len(due))
					seen[s.name] = true
				}
				p.Sent(bytes, len(due), zones, now)
			}
			for name, b := range pairBytes {
				g.Expect(b/seconds).To(gomega.BeNumerically("<=", 64*1.05), "%s of %d", name, services)
			}
			g.Expect(float64(total)/seconds).To(gomega.BeNumerically("<=", maxSenderBytes*1.05), "%d services, %d zones", services, zones)
			if services <= 20 && zones <= 3 {
				g.Expect(longest).To(gomega.BeNumerically("<=", 2*ZoneTTL), "the two senders together are within the TTL")
				g.Expect(len(seen)).To(gomega.Equal(services))
			}
		}
	}
}

// If there are more services than fit, those that are much in use must go first, and the
// others in turn. Services that nobody uses must not be sent.
func TestUrgentServicesGoFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	list := []Service{NewService("full", 1, 10), NewService("idle", 10, 10)}
	for i := range 2000 {
		list = append(list, NewService(fmt.Sprint(i), 8, 10))
	}
	p := &ZonePacer{}
	now, seen := start, map[string]int{}
	for range 1000 {
		now = now.Add(time.Minute)
		due := p.Due(list, func(string) bool { return false }, 14, now)
		g.Expect(due[0].Name()).To(gomega.Equal("full"))
		for _, s := range due {
			seen[s.Name()]++
		}
	}
	g.Expect(len(seen)).To(gomega.BeNumerically(">", 1900))
	g.Expect(seen["idle"]).To(gomega.BeZero())
	g.Expect(p.Due([]Service{NewService("idle", 10, 10)}, func(string) bool { return true }, 1, now)).To(gomega.HaveLen(1), "used in another zone")
}

// An old summary of a zone must not be used: nodes then do as if there were none.
func TestSummariesExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start
	table := &Table{Now: func() time.Time { return now }}
	z := func(seq uint64, spare float64) Zone {
		return NewZone("z2", 7, seq, []Service{NewService("s", spare, 10)})
	}
	g.Expect(table.MergeZone(z(5, 4))).To(gomega.BeTrue())
	g.Expect(table.MergeZone(z(5, 4))).To(gomega.BeFalse(), "known")
	g.Expect(table.MergeZone(z(4, 9))).To(gomega.BeFalse(), "older")
	spare, capacity, _, ok := table.Spare("s", "z2")
	g.Expect([]any{spare, capacity, ok}).To(gomega.Equal([]any{4.0, 10.0, true}))
	now = now.Add(ZoneTTL + time.Millisecond)
	_, _, _, ok = table.Spare("s", "z2")
	g.Expect(ok).To(gomega.BeFalse())
	now = now.Add(seqTTL)
	g.Expect(table.MergeZone(z(3, 9))).To(gomega.BeTrue(), "the sender's clock was set back before it started again")
	g.Expect(table.MergeInstance(NewInstance("i", 1, 1, 5))).To(gomega.BeTrue())
	now = now.Add(InstanceTTL + time.Second)
	_, ok = table.Instance("i")
	g.Expect(ok).To(gomega.BeFalse())
	now = now.Add(timeTTL)
	table.Expire()
	g.Expect(table.instances.Len() + table.services.Len() + table.senders.Len()).To(gomega.BeZero())
}

// The references must make the mean of the speeds 1 over all zones, and the spare capacity
// must count what servers handle without slowing down.
func TestZoneIsSummedUp(t *testing.T) {
	g := gomega.NewWithT(t)
	table := &Table{Now: func() time.Time { return start }}
	member := func(name string, slots int) gtmember.Record {
		return gtmember.NewRecord(name, "z1", "", "").WithBackend("s", "1", slots).WithState(gtmember.Ready)
	}
	members := []gtmember.Record{member("a", 10), member("b", 10), member("quiet", 5), member("c", 10).WithState(gtmember.Leaving)}
	times := func(ms int) []RouteTime { return []RouteTime{NewRouteTime(1, time.Duration(ms)*time.Millisecond, 1)} }
	table.MergeInstance(NewInstance("a", 1, 4, 10).WithTimes(times(50)))
	table.MergeInstance(NewInstance("b", 1, 3, 10).WithLearned(1, 6, 0.2).WithTimes(times(200)))
	list := table.ZoneServices(members, 0)
	g.Expect(list).To(gomega.HaveLen(1))
	g.Expect(list[0].Capacity()).To(gomega.Equal(10.0 + 6 + 5))
	g.Expect(list[0].Spare()).To(gomega.Equal(6.0 + 3 + 5))
	r, ok := list[0].Time()
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(r.Time()).To(gomega.Equal(80 * time.Millisecond))
	g.Expect(r.Instances()).To(gomega.Equal(2))

	table.MergeZone(NewZone("z2", 1, 1, []Service{NewService("s", 1, 2).WithTime(NewRouteTime(1, 100*time.Millisecond, 2))}))
	reference := table.References("s", members, []string{"z2"})[1]
	speeds := 0.0
	for _, ms := range []time.Duration{50, 200, 100, 100} {
		speeds += reference.Seconds() / (ms * time.Millisecond).Seconds()
	}
	g.Expect(speeds / 4).To(gomega.BeNumerically("~", 1, 1e-6))
	g.Expect(table.IsUsed("s", []string{"z2"})).To(gomega.BeTrue())
	g.Expect(table.IsUsed("other", []string{"z2"})).To(gomega.BeFalse())
}
