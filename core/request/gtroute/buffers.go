package gtroute

import (
	"sync"

	"godwittide/core/process/gtmember"
	"godwittide/core/version/gtconfig"
)

// refs refers to records in the shared list of a service's instances.
type refs []*gtmember.Record

// buffers holds the lists that one choice works on. They are kept for later choices, so
// that a choice allocates nothing that grows with the number of instances.
type buffers struct {
	eligible, version, local, remote refs
	// list is the list that was split by zone, and isEligible whether that is eligible.
	list       refs
	isEligible bool
}

var buffersPool = sync.Pool{New: func() any { return &buffers{} }}

// release returns the buffers to the pool, without references to records.
func (b *buffers) release() {
	for _, list := range []*refs{&b.eligible, &b.version, &b.local, &b.remote} {
		clear(*list)
		*list = (*list)[:0]
	}
	b.list = nil
	buffersPool.Put(b)
}

// addEligible adds the ready instances that are not in a drained zone and have not been
// tried yet, and splits them by the given zone.
func (b *buffers) addEligible(cfg *gtconfig.Config, all []gtmember.Record, zone string, q Query) {
	drained := cfg.HasDrainedZones()
	for i := range all {
		r := &all[i]
		if r.State() != gtmember.Ready || drained && cfg.IsZoneDrained(r.Zone()) || len(q.tried) > 0 && contains(q.tried, r.Instance()) {
			continue
		}
		b.eligible = append(b.eligible, r)
		if r.Zone() == zone {
			b.local = append(b.local, r)
		} else {
			b.remote = append(b.remote, r)
		}
	}
	b.list, b.isEligible = b.eligible, true
}

// splitByZone sets the instances in the given zone and those in others. It does nothing if
// the list is the eligible one and still split.
func (b *buffers) splitByZone(list refs, zone string) {
	if b.isEligible && len(list) == len(b.eligible) && &list[0] == &b.eligible[0] {
		return
	}
	b.isEligible = false
	b.list, b.local, b.remote = list, b.local[:0], b.remote[:0]
	for _, r := range list {
		if r.Zone() == zone {
			b.local = append(b.local, r)
		} else {
			b.remote = append(b.remote, r)
		}
	}
}
