package gtmember

import (
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"godwittide/core/process/gtshard"
)

const (
	// SuspectAfter is how long a suspect may take to answer before it is
	// declared gone.
	SuspectAfter = 10 * time.Second
	// Buckets is the number of buckets of each shard, the second level of the
	// digest.
	Buckets = 32
	// GoneFor is how long a gone record is kept.
	GoneFor = 10 * time.Minute
)

// Table holds the records of all instances, sharded by instance, with an
// index by service and one by zone, sharded by these. What it does for each
// fact does not depend on the number of instances.
type Table struct {
	// Now reads the timer service's clock. It is set before use.
	Now func() time.Time

	records  gtshard.Map[Record]
	sums     [gtshard.Count][Buckets]atomic.Uint64
	services gtshard.Map[*group]
	zones    gtshard.Map[*group]
	changed  gtshard.Map[time.Time]
	selfMu   sync.Mutex
	self     atomic.Pointer[Record]
}

// group holds the records of one service, or of one zone, that are not gone.
type group struct {
	members map[string]Record
	list    []Record
}

// ordered returns the members by instance. It runs under the shard's lock.
func (g *group) ordered() []Record {
	if g.list == nil && len(g.members) > 0 {
		g.list = slices.SortedFunc(maps.Values(g.members), func(a, b Record) int { return strings.Compare(a.instance, b.instance) })
	}
	return g.list
}

// SetSelf stores the node's own record, which no fact from outside replaces.
func (t *Table) SetSelf(r Record) {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	t.setSelf(r)
}

func (t *Table) setSelf(r Record) {
	r.seen = t.Now()
	t.self.Store(&r)
	t.put(r)
}

// Turn moves the node's own record to a state, in the next incarnation, and
// returns it.
func (t *Table) Turn(s State) Record {
	return t.turn(func(own Record) Record { return own.WithState(s) })
}

// TurnBackend moves the node's own record to a state of a backend server of the
// given version and number of slots, in the next incarnation, and returns it.
func (t *Table) TurnBackend(version string, slots int, s State) Record {
	return t.turn(func(own Record) Record { return own.WithBackend(own.service, version, slots).WithState(s) })
}

func (t *Table) turn(change func(own Record) Record) Record {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	own := t.Self()
	t.setSelf(change(own).WithIncarnation(own.incarnation + 1))
	return t.Self()
}

// Self returns the node's own record.
func (t *Table) Self() Record {
	if p := t.self.Load(); p != nil {
		return *p
	}
	return Record{}
}

// Merge takes in a record heard from a peer. It says whether the table
// changed, in which case the record is news and should be passed on. A record
// about the node itself that says worse than the node knows raises the node's
// incarnation: Self then returns the answer, and what was heard is not news.
func (t *Table) Merge(r Record) bool {
	if own := t.self.Load(); own != nil && own.instance == r.instance {
		t.refute(r)
		return false
	}
	return t.put(r)
}

// refute answers a record about the node itself that says worse than it knows.
func (t *Table) refute(heard Record) {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	if own := t.Self(); heard.Supersedes(own) {
		t.setSelf(own.WithIncarnation(heard.incarnation + 1))
	}
}

func (t *Table) put(r Record) bool {
	r.seen = t.Now()
	news := false
	t.records.Do(r.instance, func(m map[string]Record) {
		old, ok := m[r.instance]
		if ok && !r.Supersedes(old) || !ok && r.state == Gone {
			return
		}
		m[r.instance] = r
		news = true
		sum := &t.sums[gtshard.Index(r.instance)][bucket(r.instance)]
		sum.Store(sum.Load() ^ old.hash() ^ r.hash())
		t.reindex(old, r)
	})
	return news
}

// reindex runs under the lock of the record's shard, so that index changes for
// one instance keep their order.
func (t *Table) reindex(old, r Record) {
	move(&t.zones, old.zone, r.zone, r)
	move(&t.services, old.service, r.service, r)
	if r.service == "" {
		return
	}
	if old.instance == "" || (old.state <= Ready) != (r.state <= Ready) || old.version != r.version {
		t.changed.Do(r.service, func(m map[string]time.Time) { m[r.service] = r.seen })
	}
}

// move takes a record into the group that it belongs to, and out of the one
// where it was. A group's list is made anew when it is next asked for, so that
// many facts that come at once cost one list.
func move(index *gtshard.Map[*group], from, to string, r Record) {
	if from != "" && from != to {
		regroup(index, from, func(g *group) { delete(g.members, r.instance) })
	}
	if to == "" {
		return
	}
	regroup(index, to, func(g *group) {
		g.members[r.instance] = r
		if r.state == Gone {
			delete(g.members, r.instance)
		}
	})
}

func regroup(index *gtshard.Map[*group], name string, change func(g *group)) {
	index.Do(name, func(m map[string]*group) {
		if m[name] == nil {
			m[name] = &group{members: map[string]Record{}}
		}
		change(m[name])
		m[name].list = nil
	})
}

func members(index *gtshard.Map[*group], name string) []Record {
	var list []Record
	index.Do(name, func(m map[string]*group) {
		if g := m[name]; g != nil {
			list = g.ordered()
		}
	})
	return list
}

// Service returns the records of a service that are not gone, ordered by
// instance. The slice is shared: it must not be changed.
func (t *Table) Service(name string) []Record { return members(&t.services, name) }

// Zone returns the records of a zone that are not gone, ordered by instance.
// The slice is shared: it must not be changed.
func (t *Table) Zone(name string) []Record { return members(&t.zones, name) }

// Zones returns the number of records that are not gone, by zone. A zone that
// has lost all its records stands with 0.
func (t *Table) Zones() map[string]int {
	counts := map[string]int{}
	t.zones.Each(func(m map[string]*group) {
		for zone, g := range m {
			counts[zone] = len(g.members)
		}
	})
	return counts
}

// Count returns the number of records in a state.
func (t *Table) Count(s State) int {
	n := 0
	t.records.Each(func(m map[string]Record) {
		for _, r := range m {
			if r.state == s {
				n++
			}
		}
	})
	return n
}

// Len returns the number of records.
func (t *Table) Len() int { return t.records.Len() }

// Changed returns when an instance of the service last came or went.
func (t *Table) Changed(service string) time.Time {
	at, _ := t.changed.Get(service)
	return at
}

// Get returns the record of an instance.
func (t *Table) Get(instance string) (Record, bool) { return t.records.Get(instance) }

// All returns every record, ordered by instance.
func (t *Table) All() []Record {
	var all []Record
	t.records.Each(func(m map[string]Record) {
		for _, r := range m {
			all = append(all, r)
		}
	})
	sort.Slice(all, func(i, j int) bool { return all[i].instance < all[j].instance })
	return all
}

// Suspect marks an instance whose link fell silent. It returns the changed
// record, and false if the instance was no longer in a state to be suspected.
func (t *Table) Suspect(instance string) (Record, bool) {
	r, ok := t.records.Get(instance)
	if !ok || r.state >= Suspect {
		return Record{}, false
	}
	r = r.WithState(Suspect)
	return r, t.put(r)
}

// Sweep declares suspects gone that did not answer in time, and forgets gone
// records after GoneFor. It returns the records that it declared gone.
func (t *Table) Sweep() []Record {
	now := t.Now()
	var lost []Record
	t.records.Each(func(m map[string]Record) {
		for k, r := range m {
			switch {
			case r.state == Suspect && now.Sub(r.seen) > SuspectAfter:
				lost = append(lost, r.WithState(Gone))
			case r.state == Leaving && now.Sub(r.seen) > GoneFor:
				lost = append(lost, r.WithState(Gone))
			case r.state == Gone && now.Sub(r.seen) > GoneFor:
				delete(m, k)
			}
		}
	})
	for _, r := range lost {
		t.put(r)
	}
	return lost
}

// Digest returns one hash for each shard of the table. Two tables with equal
// hashes hold the same records in that shard, not counting gone ones: those
// are forgotten at different times, and must not be passed around for ever.
func (t *Table) Digest() []uint64 {
	sums := make([]uint64, gtshard.Count)
	for i := range sums {
		for _, s := range t.Buckets(i) {
			sums[i] ^= s
		}
	}
	return sums
}

// Buckets returns one hash for each bucket of shard i, or nil if there is no
// such shard.
func (t *Table) Buckets(i int) []uint64 {
	if i < 0 || i >= gtshard.Count {
		return nil
	}
	sums := make([]uint64, Buckets)
	for k := range sums {
		sums[k] = t.sums[i][k].Load()
	}
	return sums
}

// Shard returns the records of shard i of the digest.
func (t *Table) Shard(i int) []Record { return t.collect(i, func(Record) bool { return true }) }

// Bucket returns the records of bucket k of shard i.
func (t *Table) Bucket(i, k int) []Record {
	return t.collect(i, func(r Record) bool { return bucket(r.instance) == k })
}

func (t *Table) collect(i int, match func(Record) bool) []Record {
	if i < 0 || i >= gtshard.Count {
		return nil
	}
	var list []Record
	t.records.DoAt(i, func(m map[string]Record) {
		for _, r := range m {
			if match(r) {
				list = append(list, r)
			}
		}
	})
	return list
}

func bucket(instance string) int { return int(gtshard.Hash("bucket", instance) % Buckets) }

func (r Record) hash() uint64 {
	if r.state == Gone || r.instance == "" {
		return 0
	}
	return gtshard.Hash(r.instance, r.state.String(), strconv.FormatUint(r.incarnation, 10))
}
