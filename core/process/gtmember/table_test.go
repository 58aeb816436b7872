package gtmember

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// newTable returns a table that holds its own node's record and reads the time from
// now.
func newTable(now *time.Time) *Table {
	t := &Table{Now: func() time.Time { return *now }}
	t.SetSelf(NewRecord("self", "z1", "127.0.0.1:1", "127.0.0.1:2").WithBackend("svc", "1", 4))
	return t
}

func drawRecord(t *rapid.T) Record {
	name := fmt.Sprintf("i%d", rapid.IntRange(0, 4).Draw(t, "instance"))
	return NewRecord(name, "z1", "127.0.0.1:1", "127.0.0.1:2").
		WithBackend(rapid.SampledFrom([]string{"svc", "other"}).Draw(t, "service"), "1", 4).
		WithIncarnation(uint64(rapid.IntRange(1, 4).Draw(t, "incarnation"))).
		WithState(State(rapid.IntRange(0, int(Gone)).Draw(t, "state")))
}

// greatestRecords is a reference implementation of merging: for each instance it
// returns the greatest pair of incarnation and state.
func greatestRecords(list []Record) map[string][2]int {
	best := map[string][2]int{}
	for _, r := range list {
		key := [2]int{int(r.incarnation), int(r.state)}
		old, ok := best[r.instance]
		if !ok || key[0] > old[0] || key[0] == old[0] && key[1] > old[1] {
			best[r.instance] = key
		}
	}
	return best
}

// contents returns the incarnation and state of all records except the node's own.
func contents(t *Table) map[string][2]int {
	out := map[string][2]int{}
	for _, r := range t.All() {
		if r.instance != "self" {
			out[r.instance] = [2]int{int(r.incarnation), int(r.state)}
		}
	}
	return out
}

// Records arrive in any order and repeatedly; the table must hold the greatest record
// of each instance. All instances are added first, since gone records of unknown
// instances are ignored.
func TestMergeKeepsGreatestRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var list []Record
		for i := range 5 {
			list = append(list, NewRecord(fmt.Sprintf("i%d", i), "z1", "127.0.0.1:1", "127.0.0.1:2").WithBackend("svc", "1", 4))
		}
		list = append(list, rapid.SliceOfN(rapid.Custom(drawRecord), 0, 40).Draw(t, "records")...)
		table := newTable(&now)
		for _, r := range list {
			table.Merge(r)
		}
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(list)-1)).Draw(t, "repeats") {
			if table.Merge(list[i]) {
				t.Fatal("merging a repeated record changed the table")
			}
		}
		if got, want := contents(table), greatestRecords(list); !maps.Equal(got, want) {
			t.Fatalf("table holds %v, expected %v", got, want)
		}
		for _, service := range []string{"svc", "other"} {
			for _, r := range table.ServiceMembers(service) {
				known, _ := table.Get(r.instance)
				if r.state == Gone || known.service != service || known.state != r.state {
					t.Fatalf("index of %s holds %+v, table %+v", service, r, known)
				}
			}
		}
	})
}

// After a network partition, both sides exchange their records. An instance that one
// side knows to be gone must not be restored by the other.
func TestMergeDoesNotRestoreGoneInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	a, b := newTable(&now), newTable(&now)
	r := NewRecord("x", "z2", "127.0.0.1:1", "127.0.0.1:2").WithBackend("svc", "1", 4).WithState(Ready)
	a.Merge(r)
	b.Merge(r)
	a.Merge(r.WithState(Gone))
	for i := range a.Digest() {
		for _, r := range b.ShardRecords(i) {
			a.Merge(r)
		}
		for _, r := range a.ShardRecords(i) {
			b.Merge(r)
		}
	}
	for _, table := range []*Table{a, b} {
		got, _ := table.Get("x")
		g.Expect(got.State()).To(gomega.Equal(Gone))
		g.Expect(table.ServiceMembers("svc")).To(gomega.HaveLen(1))
	}
	g.Expect(a.Digest()).To(gomega.Equal(b.Digest()))
	g.Expect(a.Merge(r.WithIncarnation(2))).To(gomega.BeTrue(), "a restart of the instance is accepted")
}

// A gone record of an unknown instance must be ignored: since nodes delete gone
// records at different times, they would otherwise exchange them forever.
func TestGoneRecordOfUnknownInstanceIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	table := newTable(&now)
	r := NewRecord("x", "z2", "127.0.0.1:1", "127.0.0.1:2").WithBackend("svc", "1", 4)
	g.Expect(table.Merge(r.WithState(Gone))).To(gomega.BeFalse())
	g.Expect(table.Merge(r)).To(gomega.BeTrue())
	g.Expect(table.Merge(r.WithState(Gone))).To(gomega.BeTrue())
	now = now.Add(GoneRetention + time.Second)
	table.Expire()
	g.Expect(table.Merge(r.WithState(Gone))).To(gomega.BeFalse())
	g.Expect(table.All()).To(gomega.HaveLen(1))
}

func TestSelfRefutesSuspicion(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	table := newTable(&now)
	self := table.Self().WithState(Ready).WithIncarnation(7)
	table.SetSelf(self)
	g.Expect(table.Merge(self.WithState(Suspect))).To(gomega.BeFalse())
	g.Expect(table.Self().Incarnation()).To(gomega.Equal(uint64(8)))
	g.Expect(table.Self().State()).To(gomega.Equal(Ready))
}

func TestSuspectWithoutRefutationIsGone(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	table := newTable(&now)
	table.Merge(NewRecord("x", "z2", "127.0.0.1:1", "127.0.0.1:2").WithBackend("svc", "1", 4).WithState(Ready))
	_, ok := table.MarkSuspect("x")
	g.Expect(ok).To(gomega.BeTrue())
	now = now.Add(SuspectTimeout / 2)
	g.Expect(table.Expire()).To(gomega.BeEmpty())
	now = now.Add(SuspectTimeout)
	g.Expect(table.Expire()).To(gomega.HaveLen(1))
}

// The node changes its own state while records from peers make it refute suspicions.
// No state change may be lost, and the table must hold the node's own record.
func TestStateChangesDuringRefutations(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	for range 50 {
		table := newTable(&now)
		var finished atomic.Bool
		var lost atomic.Int64
		var wg sync.WaitGroup
		wg.Go(func() {
			for i := range 500 {
				s := []State{Ready, Down}[i%2]
				table.SetSelfState(s)
				if table.Self().State() != s {
					lost.Add(1)
				}
			}
			table.SetSelfState(Leaving)
			finished.Store(true)
		})
		wg.Go(func() {
			for !finished.Load() {
				table.Merge(table.Self().WithState(Suspect))
			}
		})
		wg.Wait()
		held, _ := table.Get("self")
		g.Expect(lost.Load()).To(gomega.BeZero())
		g.Expect(table.Self().State()).To(gomega.Equal(Leaving))
		g.Expect(held).To(gomega.Equal(table.Self()))
	}
}

func TestDamperLimitsAnnouncements(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	d := Damper{Now: func() time.Time { return now }}
	allowed := 0
	for range 600 {
		if d.Allow() {
			allowed++
		}
		now = now.Add(time.Second)
	}
	g.Expect(allowed).To(gomega.BeNumerically("<=", FlapBurst*600/int(FlapWindow/time.Second)))
	now = now.Add(FlapWindow)
	for range FlapBurst {
		g.Expect(d.Allow()).To(gomega.BeTrue(), "the limit resets after the window")
	}
	g.Expect(d.Allow()).To(gomega.BeFalse())
}

// The sorted list of a service is built once for many records. It must contain all
// members, also those that changed their service.
func TestServiceMembersAfterManyRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		now := time.Unix(0, 0)
		table := newTable(&now)
		for _, r := range rapid.SliceOf(rapid.Custom(drawRecord)).Draw(t, "records") {
			table.Merge(r)
			if rapid.Bool().Draw(t, "read the list") {
				table.ServiceMembers("svc")
			}
		}
		for _, service := range []string{"svc", "other"} {
			var want []string
			for _, r := range table.All() {
				if r.Service() == service && r.State() != Gone {
					want = append(want, r.Instance())
				}
			}
			var got []string
			for _, r := range table.ServiceMembers(service) {
				got = append(got, r.Instance())
			}
			g.Expect(got).To(gomega.Equal(want))
		}
	})
}

// A node that has restarted does not know which process of its backend server had left;
// its peers keep that, whatever its new record says.
func TestPeersKeepTheDepartedProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	table := &Table{Now: time.Now}
	r := NewRecord("i", "z", "127.0.0.1:1", "127.0.0.1:2").WithBackend("s", "1", 1)
	g.Expect(table.Merge(r.WithIncarnation(5).WithDeparted("90000 p").WithState(Leaving))).To(gomega.BeTrue())
	g.Expect(table.Merge(r.WithIncarnation(9))).To(gomega.BeTrue())
	got, _ := table.Get("i")
	g.Expect(got.State()).To(gomega.Equal(Starting))
	g.Expect(got.Departed()).To(gomega.Equal("90000 p"))
	g.Expect(table.Merge(r.WithIncarnation(10).WithDeparted("95000 q"))).To(gomega.BeTrue())
	got, _ = table.Get("i")
	g.Expect(got.Departed()).To(gomega.Equal("95000 q"))
}
