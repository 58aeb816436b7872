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
	// SuspectTimeout is the time after which a suspected instance that has not
	// refuted the suspicion is declared gone.
	SuspectTimeout = 10 * time.Second
	// Buckets is the number of buckets in each shard. They are the second level of
	// the digest.
	Buckets = 32
	// GoneRetention is how long a gone record is kept.
	GoneRetention = 10 * time.Minute
)

// Table holds the records of all instances, sharded by instance, and indexes by
// service and by zone, each sharded by its key. The cost of merging a record doesn't
// depend on the number of instances.
type Table struct {
	// Now returns the time of the timer service. It is set before use.
	Now func() time.Time

	records      gtshard.Map[Record]
	bucketHashes [gtshard.Count][Buckets]atomic.Uint64
	services     gtshard.Map[*group]
	zones        gtshard.Map[*group]
	lastChange   gtshard.Map[time.Time]
	selfMu       sync.Mutex
	self         atomic.Pointer[Record]
}

// group holds the records of one service, or of one zone, that are not gone. The
// sorted list is built on demand; nil means that it is out of date.
type group struct {
	members map[string]Record
	cached  []Record
}

// sorted returns the members ordered by instance. The lock of the group's shard must
// be held.
func (g *group) sorted() []Record {
	if g.cached == nil && len(g.members) > 0 {
		g.cached = slices.SortedFunc(maps.Values(g.members), func(a, b Record) int { return strings.Compare(a.instance, b.instance) })
	}
	return g.cached
}

// SetSelf stores the node's own record, which Merge never replaces.
func (t *Table) SetSelf(r Record) {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	t.setSelf(r)
}

// setSelf is SetSelf for callers that hold selfMu.
func (t *Table) setSelf(r Record) {
	r.updatedAt = t.Now()
	t.self.Store(&r)
	t.put(r)
}

// SetSelfState sets the state of the node's own record, raises its incarnation
// and returns it.
func (t *Table) SetSelfState(s State) Record {
	return t.updateSelf(func(own Record) Record { return own.WithState(s) })
}

// SetSelfBackend sets the state of the node's own record and the version and
// number of slots of its backend server, raises its incarnation and returns it.
func (t *Table) SetSelfBackend(version string, slots int, s State) Record {
	return t.updateSelf(func(own Record) Record { return own.WithBackend(own.service, version, slots).WithState(s) })
}

// SetSelfDeparted sets the process of the backend server that announced its shutdown in
// the node's own record. Peers learn of it with the next change of the record. With
// overwrite false a process that the record names already stays.
func (t *Table) SetSelfDeparted(process string, overwrite bool) {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	own := t.Self()
	if own.departed != "" && !overwrite {
		return
	}
	own = own.WithDeparted(process)
	t.self.Store(&own)
}

// updateSelf applies change to the node's own record, raises its incarnation and
// returns it.
func (t *Table) updateSelf(change func(own Record) Record) Record {
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

// Merge merges a record received from a peer. It reports whether the table changed,
// in which case the record should be forwarded. A record about the node itself that
// would supersede its own is refuted by raising the node's incarnation: Merge then
// returns false, and Self returns the refutation.
func (t *Table) Merge(r Record) bool {
	if own := t.self.Load(); own != nil && own.instance == r.instance {
		t.refute(r)
		return false
	}
	return t.put(r)
}

// refute raises the node's incarnation above that of a received record that would
// supersede its own.
func (t *Table) refute(received Record) {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	if own := t.Self(); received.Supersedes(own) {
		t.setSelf(own.WithIncarnation(received.incarnation + 1))
	}
}

// put stores r if it supersedes the known record of its instance, and reports
// whether it did. A gone record of an unknown instance is not stored.
func (t *Table) put(r Record) bool {
	r.updatedAt = t.Now()
	changed := false
	t.records.Do(r.instance, func(m map[string]Record) {
		old, ok := m[r.instance]
		if ok && !r.Supersedes(old) || !ok && r.state == Gone {
			return
		}
		if r.departed == "" {
			r.departed = old.departed // a node that has restarted does not know it
		}
		m[r.instance] = r
		changed = true
		bucketHash := &t.bucketHashes[gtshard.Index(r.instance)][bucketIndex(r.instance)]
		bucketHash.Store(bucketHash.Load() ^ old.hash() ^ r.hash())
		t.reindex(old, r)
	})
	return changed
}

// reindex updates the indexes. The lock of the record's shard must be held, so that
// index changes of one instance keep their order.
func (t *Table) reindex(old, r Record) {
	updateIndex(&t.zones, old.zone, r.zone, r)
	updateIndex(&t.services, old.service, r.service, r)
	if r.service == "" {
		return
	}
	if old.instance == "" || (old.state <= Ready) != (r.state <= Ready) || old.version != r.version {
		t.lastChange.Do(r.service, func(m map[string]time.Time) { m[r.service] = r.updatedAt })
	}
}

// updateIndex adds r to the group that it belongs to, or removes it if it is gone,
// and removes it from its previous group. Changes only invalidate the sorted list of
// a group, so that a batch of records costs one rebuild.
func updateIndex(index *gtshard.Map[*group], from, to string, r Record) {
	if from != "" && from != to {
		updateGroup(index, from, func(g *group) { delete(g.members, r.instance) })
	}
	if to == "" {
		return
	}
	updateGroup(index, to, func(g *group) {
		g.members[r.instance] = r
		if r.state == Gone {
			delete(g.members, r.instance)
		}
	})
}

// updateGroup applies change to a group and invalidates its sorted list.
func updateGroup(index *gtshard.Map[*group], name string, change func(g *group)) {
	index.Do(name, func(m map[string]*group) {
		if m[name] == nil {
			m[name] = &group{members: map[string]Record{}}
		}
		change(m[name])
		m[name].cached = nil
	})
}

// groupMembers returns the members of a group, ordered by instance.
func groupMembers(index *gtshard.Map[*group], name string) []Record {
	var list []Record
	index.Do(name, func(m map[string]*group) {
		if g := m[name]; g != nil {
			list = g.sorted()
		}
	})
	return list
}

// ServiceMembers returns the records of a service that are not gone, ordered by
// instance. The slice is shared and must not be modified.
func (t *Table) ServiceMembers(name string) []Record { return groupMembers(&t.services, name) }

// ZoneMembers returns the records of a zone that are not gone, ordered by
// instance. The slice is shared and must not be modified.
func (t *Table) ZoneMembers(name string) []Record { return groupMembers(&t.zones, name) }

// ZoneSizes returns the number of records that are not gone, by zone. A zone
// that has lost all its records is listed with 0.
func (t *Table) ZoneSizes() map[string]int {
	sizes := map[string]int{}
	t.zones.Each(func(m map[string]*group) {
		for zone, g := range m {
			sizes[zone] = len(g.members)
		}
	})
	return sizes
}

// Count returns the number of records in state s.
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

// Len returns the number of records, including gone ones.
func (t *Table) Len() int { return t.records.Len() }

// LastChange returns when an instance of the service was last added, entered or
// left the states Starting and Ready (taken as one), or changed its version. It
// returns the zero time if none did.
func (t *Table) LastChange(service string) time.Time {
	at, _ := t.lastChange.Get(service)
	return at
}

// Get returns the record of an instance, and false if it is unknown.
func (t *Table) Get(instance string) (Record, bool) { return t.records.Get(instance) }

// All returns all records, including gone ones, ordered by instance.
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

// MarkSuspect marks an instance whose link timed out as suspected. It returns the
// changed record, and false if the instance is unknown or already in state Suspect
// or a later one.
func (t *Table) MarkSuspect(instance string) (Record, bool) {
	r, ok := t.records.Get(instance)
	if !ok || r.state >= Suspect {
		return Record{}, false
	}
	r = r.WithState(Suspect)
	return r, t.put(r)
}

// Expire declares instances gone that have been suspected for longer than
// SuspectTimeout or leaving for longer than GoneRetention, and deletes gone
// records after GoneRetention. It returns the records that it declared gone.
func (t *Table) Expire() []Record {
	now := t.Now()
	var expired []Record
	t.records.Each(func(m map[string]Record) {
		for k, r := range m {
			switch {
			case r.state == Suspect && now.Sub(r.updatedAt) > SuspectTimeout:
				expired = append(expired, r.WithState(Gone))
			case r.state == Leaving && now.Sub(r.updatedAt) > GoneRetention:
				expired = append(expired, r.WithState(Gone))
			case r.state == Gone && now.Sub(r.updatedAt) > GoneRetention:
				delete(m, k)
			}
		}
	})
	for _, r := range expired {
		t.put(r)
	}
	return expired
}

// Digest returns one hash for each shard of the table. Shards with equal hashes hold
// the same records. Gone records are not counted: nodes delete them at different
// times and would otherwise exchange them forever.
func (t *Table) Digest() []uint64 {
	hashes := make([]uint64, gtshard.Count)
	for i := range hashes {
		for _, h := range t.BucketHashes(i) {
			hashes[i] ^= h
		}
	}
	return hashes
}

// BucketHashes returns one hash for each bucket of shard i, or nil if the shard
// doesn't exist.
func (t *Table) BucketHashes(i int) []uint64 {
	if i < 0 || i >= gtshard.Count {
		return nil
	}
	hashes := make([]uint64, Buckets)
	for k := range hashes {
		hashes[k] = t.bucketHashes[i][k].Load()
	}
	return hashes
}

// ShardRecords returns the records of shard i, or nil if the shard doesn't exist.
func (t *Table) ShardRecords(i int) []Record { return t.collect(i, func(Record) bool { return true }) }

// BucketRecords returns the records in bucket k of shard i, or nil if there are
// none.
func (t *Table) BucketRecords(i, k int) []Record {
	return t.collect(i, func(r Record) bool { return bucketIndex(r.instance) == k })
}

// collect returns the records of shard i for which match returns true.
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

// bucketIndex returns the index of the bucket that the instance belongs to, from 0
// to Buckets-1.
func bucketIndex(instance string) int { return int(gtshard.Hash("bucket", instance) % Buckets) }

// hash returns the contribution of r to the digest: 0 for a gone or empty record.
func (r Record) hash() uint64 {
	if r.state == Gone || r.instance == "" {
		return 0
	}
	return gtshard.Hash(r.instance, r.state.String(), strconv.FormatUint(r.incarnation, 10))
}
