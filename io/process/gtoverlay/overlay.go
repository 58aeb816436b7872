// Package gtoverlay spreads facts among the nodes: membership records, the
// version of the configuration, states of moves, and requests that crash
// backend servers. Each node keeps a small fixed number of links; facts are
// pushed along them once, and a digest exchange repairs what was missed.
//
// # Usage
//
//	overlay := &gtoverlay.Overlay{Timer: timer, Table: table, ...}
//	overlay.Open(ctx)
//	go overlay.Run()
//	overlay.Announce(record)
//
// What a node spends on the overlay does not depend on the number of nodes,
// but only on the rate of facts.
package gtoverlay

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/core/connection/gtlink"
	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtshard"
	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtdedup"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtmove"
	"godwittide/io/connection/gtpeer"
)

const (
	// repairEvery is the period in which links are looked after.
	repairEvery = 500 * time.Millisecond
	// digestEvery is the period of digest exchanges, with one peer each.
	digestEvery = 5 * time.Second
	// seedEvery is the period in which first contacts are tried while the node
	// knows too few others, or to find a part of the fleet that it has lost.
	seedEvery = 2 * time.Second
	// lostEvery is the period in which first contacts are tried anyway.
	lostEvery = 10 * time.Second
	// maxAside is the most links beside the overlay that a node accepts.
	maxAside = 64
	// asideIdle is how long a link beside the overlay is kept without use.
	asideIdle = 30 * time.Second
	// batchTime is how long membership records wait for others to go with them,
	// on average; each wait is half to one and a half of it.
	batchTime = 30 * time.Millisecond
	// lateAfter is the time between two repairs that shows that the node is
	// short of processor time.
	lateAfter = 3 * repairEvery
	// failuresToSuspect is how many attempts to reach a member again may fail
	// before it is suspected.
	failuresToSuspect = 2
)

// Overlay keeps the links of a node and spreads facts. Its exported fields are
// set before Run.
type Overlay struct {
	// Timer gives the clock and the rhythm of repairs.
	Timer *gttimer.Service
	// Log takes the part's messages.
	Log zerolog.Logger
	// Cluster is the name that peers must have too.
	Cluster string
	// Dial opens a connection to a peer address.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Seeds are the peer addresses of the settings.
	Seeds []string
	// Contacts reads the first contacts from the store. It may fail.
	Contacts func(ctx context.Context) ([]string, error)
	// Table, Holder, Board and Crashes hold the facts.
	Table   *gtmember.Table
	Holder  *gtdelta.Holder
	Board   *gtmove.Table
	Crashes *gtdedup.Crashes
	// Install merges a version that a peer sent, and puts it in force.
	Install func(set gtdelta.Snapshot) error
	// Reported is told of a report that was sent to this node.
	Reported func(r gtcanary.Report)

	planner   gtlink.Planner
	links     gtshard.Map[*entry]
	backoff   gtshard.Map[*attempt]
	batch     gtshard.Map[pending]
	due       chan struct{}
	comparing atomic.Bool
	compared  atomic.Bool
	late      atomic.Int64
	fetching  atomic.Bool
	fetchWant atomic.Int64
	sent      atomic.Int64
	received  atomic.Int64
	ctx       context.Context

	endMu sync.Mutex
	over  bool
	wg    sync.WaitGroup
}

// entry is an open link and what is known of its other end.
type entry struct {
	link     *gtpeer.Link
	instance string
	zone     string
	outbound bool
	aside    bool
	used     atomic.Int64
}

// attempt is what is known of failed attempts to reach an instance.
type attempt struct {
	failures int
	next     time.Time
	busy     bool
}

// Bytes returns the bytes of control messages sent and received.
func (o *Overlay) Bytes() (sent, received int64) { return o.sent.Load(), o.received.Load() }

// Links returns the number of open overlay links.
func (o *Overlay) Links() int { return len(o.list(false)) }

// Open makes the overlay ready to take links, which last until ctx ends. It is
// called once, before any other method.
func (o *Overlay) Open(ctx context.Context) {
	o.ctx = ctx
	o.due = make(chan struct{}, 1)
	o.planner = gtlink.Planner{Shuffle: rand.Shuffle, ZoneMembers: o.Table.ZoneMembers, ZoneSizes: o.Table.ZoneSizes}
}

// Run keeps the links until the context of Open ends, then closes them.
func (o *Overlay) Run() {
	ctx := o.ctx
	repair := o.Timer.Every(repairEvery, 0.2)
	defer repair.Stop()
	digest := o.Timer.Every(digestEvery, 0.3)
	defer digest.Stop()
	var seeded time.Time
	last := o.Timer.Time()
	o.spawn(func() { o.flushBatches(ctx) })
	o.seed(ctx)
	for {
		select {
		case <-ctx.Done():
			o.end()
			return
		case now := <-repair.C():
			if now.Sub(last) > lateAfter {
				o.late.Store(now.UnixNano())
			}
			last = now
			o.repair(ctx, now)
			if every := o.seedPeriod(); now.Sub(seeded) > every {
				seeded = now
				o.seed(ctx)
				o.findLost(ctx)
			}
		case <-digest.C():
			o.exchange(ctx)
		}
	}
}

// spawn runs fn in a thread that Run waits for. Once the overlay has ended it
// runs nothing and returns false: fn would find its context over.
func (o *Overlay) spawn(fn func()) bool {
	o.endMu.Lock()
	defer o.endMu.Unlock()
	if o.over {
		return false
	}
	o.wg.Go(fn)
	return true
}

// end closes all links and waits for the threads of spawn.
func (o *Overlay) end() {
	o.endMu.Lock()
	o.over = true
	o.endMu.Unlock()
	o.closeAll()
	o.wg.Wait()
}

func (o *Overlay) seedPeriod() time.Duration {
	if o.Links() == 0 {
		return seedEvery
	}
	return lostEvery
}

// repair opens and closes links as planned, and sweeps the table.
func (o *Overlay) repair(ctx context.Context, now time.Time) {
	var links []gtlink.Link
	for _, e := range o.list(false) {
		links = append(links, gtlink.NewLink(e.instance, e.zone, e.outbound))
	}
	plan := o.planner.Plan(o.Table.Self(), links)
	for _, r := range plan.Open() {
		o.reach(ctx, r, now)
	}
	for _, name := range plan.Close() {
		if e, ok := o.links.Get(name); ok && e.outbound {
			e.link.Close()
		}
	}
	o.closeIdle(now)
	if o.behind() {
		return
	}
	// This is not told: every node that has heard of the suspicion comes to the
	// same end by itself, and digests repair the others.
	for _, r := range o.Table.Expire() {
		o.Log.Info().Str("instance", r.Instance()).Msg("overlay: instance is gone")
	}
}

func (o *Overlay) closeIdle(now time.Time) {
	for _, e := range o.list(true) {
		if e.outbound && now.Sub(time.Unix(0, e.used.Load())) > asideIdle {
			e.link.Close()
		}
	}
}

// reach opens a link to a member in a thread of its own, unless an attempt is
// under way or it is too early for another.
func (o *Overlay) reach(ctx context.Context, r gtmember.Record, now time.Time) {
	start := false
	o.backoff.Do(r.Instance(), func(m map[string]*attempt) {
		a := m[r.Instance()]
		if a == nil {
			a = &attempt{}
			m[r.Instance()] = a
		}
		if !a.busy && !now.Before(a.next) {
			a.busy, start = true, true
		}
	})
	if !start {
		return
	}
	o.spawn(func() { o.tried(r, o.connect(ctx, r.PeerAddress(), r.Instance(), false)) })
}

// tried records the end of an attempt to reach a member. A member that can't
// be reached time and again is suspected.
func (o *Overlay) tried(r gtmember.Record, err error) {
	failures := 0
	o.backoff.Do(r.Instance(), func(m map[string]*attempt) {
		if err == nil {
			delete(m, r.Instance())
			return
		}
		a := m[r.Instance()]
		a.busy = false
		a.failures++
		if errorx.IsOfType(err, errorx.RejectedOperation) {
			a.failures = 1
		}
		a.next = o.Timer.Time().Add(gtlink.Backoff(a.failures, rand.Float64()))
		failures = a.failures
	})
	if failures >= failuresToSuspect {
		o.suspect(r.Instance())
	}
}

// behind says whether this node has been short of processor time lately, so
// that what it has not heard in time says little about others.
func (o *Overlay) behind() bool {
	return o.Timer.Time().Sub(time.Unix(0, o.late.Load())) < gtmember.SuspectTimeout
}

func (o *Overlay) suspect(instance string) {
	if o.behind() {
		return
	}
	if r, ok := o.Table.MarkSuspect(instance); ok {
		o.Log.Info().Str("instance", instance).Msg("overlay: instance is suspected")
		o.spread(Facts{Members: records([]gtmember.Record{r})}, nil)
	}
}

// seed tries first contacts: those of the settings, and those in the store
// while no link is open.
func (o *Overlay) seed(ctx context.Context) {
	o.spawn(func() {
		addrs := append([]string(nil), o.Seeds...)
		if o.Links() == 0 && o.Contacts != nil {
			contacts, err := o.Contacts(ctx)
			if err != nil {
				o.Log.Debug().Err(err).Msg("overlay: contacts can't be read")
			}
			addrs = append(addrs, contacts...)
		}
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		for _, addr := range addrs {
			if o.linkedTo(addr) {
				continue
			}
			if o.connect(ctx, addr, "", false) == nil && o.Links() >= gtlink.SameZoneLinks {
				return
			}
		}
	})
}

// findLost tries a gone member of each zone from which nobody is left, so that
// two sides of a cut find each other again.
func (o *Overlay) findLost(ctx context.Context) {
	lost := map[string]bool{}
	for zone, n := range o.Table.ZoneSizes() {
		lost[zone] = n == 0
	}
	tried := map[string]bool{}
	for _, i := range rand.Perm(gtshard.Count) {
		for _, r := range o.Table.ShardRecords(i) {
			if lost[r.Zone()] && !tried[r.Zone()] {
				tried[r.Zone()] = true
				o.reach(ctx, r, o.Timer.Time())
			}
		}
	}
}

func (o *Overlay) linkedTo(addr string) bool {
	if o.Table.Self().PeerAddress() == addr {
		return true
	}
	for _, e := range o.list(false) {
		if r, ok := o.Table.Get(e.instance); ok && r.PeerAddress() == addr {
			return true
		}
	}
	return false
}

func (o *Overlay) list(aside bool) []*entry {
	var all []*entry
	o.links.Each(func(m map[string]*entry) {
		for _, e := range m {
			if e.aside == aside {
				all = append(all, e)
			}
		}
	})
	return all
}

func (o *Overlay) closeAll() {
	o.links.Each(func(m map[string]*entry) {
		for _, e := range m {
			e.link.Close()
		}
	})
}
