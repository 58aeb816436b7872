// Package gtoverlay propagates facts among the nodes by gossip: membership
// records, the version of the configuration, states of moves, and requests that
// crash backend servers. Each node keeps a small fixed number of overlay links
// and sends each new fact along them once. A periodic digest exchange
// (anti-entropy) repairs what was missed.
//
// # Usage
//
//	overlay := &gtoverlay.Overlay{Timer: timer, Table: table, ...}
//	overlay.Open(ctx)
//	go overlay.Run()
//	overlay.Announce(record)
//
// The traffic of a node depends on the rate of facts, not on the number of
// nodes.
//
// Two nodes without an overlay link between them open a direct link when one
// needs the other. Facts are not propagated over direct links.
package gtoverlay

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/core/connection/gtlink"
	"godwittide/core/connection/gtoffset"
	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtshard"
	"godwittide/core/process/gtsummary"
	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtdedup"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtcurrent"
	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtfetch"
	"godwittide/core/version/gtmove"
	"godwittide/io/connection/gtpeer"
	"godwittide/io/connection/gtwire"
)

const (
	// repairPeriod is the period in which missing links are opened and surplus
	// ones closed.
	repairPeriod = 500 * time.Millisecond
	// digestPeriod is the period of digest exchanges, each with one random peer.
	digestPeriod = 5 * time.Second
	// isolatedSeedPeriod is the period in which the seed addresses are contacted
	// while the node has no overlay link.
	isolatedSeedPeriod = 2 * time.Second
	// linkedSeedPeriod is the same while the node has overlay links: it finds a
	// part of the cluster that was lost in a network partition.
	linkedSeedPeriod = 10 * time.Second
	// maxInboundDirect is the maximum number of inbound direct links. Each node keeps one
	// to each node that collects the counts of accounts.
	maxInboundDirect = 512
	// directIdleTimeout is how long an unused direct link is kept.
	directIdleTimeout = 30 * time.Second
	// batchDelay is the mean time for which membership records are collected into
	// one message. Each delay is 0.5 to 1.5 times as long, at random.
	batchDelay = 30 * time.Millisecond
	// pauseThreshold is the longest time between two repairs that doesn't count
	// as a process pause or a lack of processor time.
	pauseThreshold = 3 * repairPeriod
	// joinWidth is the number of addresses that a node without links connects to at
	// once, since each that does not respond costs it a timeout.
	joinWidth = 4
	// failuresToSuspect is the number of failed connection attempts after which
	// a member is suspected.
	failuresToSuspect = 2
)

// Overlay maintains the links of a node and propagates facts. Its exported
// fields are set before Run.
type Overlay struct {
	// Timer is the clock and triggers repairs and digest exchanges.
	Timer *gttimer.Service
	// Log receives the log lines of the overlay.
	Log zerolog.Logger
	// Cluster is the cluster name; links to nodes of another cluster are refused.
	Cluster string
	// Dial opens a connection to a peer address.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Seeds are the peer addresses from the settings.
	Seeds []string
	// Contacts reads seed addresses from the store. It may fail, and may be nil
	// if there is no store.
	Contacts func(ctx context.Context) ([]string, error)
	// Table, Holder, Moves and Crashes hold the facts.
	Table   *gtmember.Table
	Holder  *gtdelta.Holder
	Moves   *gtmove.Table
	Crashes *gtdedup.Crashes
	// Summaries holds the summaries of backend servers and zones; nil means that those
	// of peers are ignored.
	Summaries *gtsummary.Table
	// OnSummary is called with each summary of another instance that was new; nil means
	// that nothing is done.
	OnSummary func(i gtsummary.Instance)
	// Install merges a version that a peer sent and makes it the active version.
	Install func(snapshot gtdelta.Snapshot, a gtdelta.Arrival) error
	// Current holds until when the configuration is known to have been current, which
	// linked peers tell each other; nil means that nothing is told.
	Current *gtcurrent.Tracker
	// OnDeparted is called with the process of the local backend server that, as a peer
	// remembers, announced its shutdown; nil means that nothing is done.
	OnDeparted func(process string)
	// OnRecall is called when an instance asks which processes of its backend server announced
	// their shutdown, and returns the texts that the store holds; nil means that it is refused.
	OnRecall func(ctx context.Context, instance string) ([]string, error)
	// OnHalt is called with each halt that was new to this node and the peer that sent
	// it; nil means that nothing is done.
	OnHalt func(h gtmove.Halt, peer string)
	// OnReport is called with each report that was sent to this node.
	OnReport func(r gtcanary.Report)
	// OnWatching is called with each instance that has sent word that it watches the
	// store with success; nil means that nothing is done.
	OnWatching func(instance string)
	// OnUsage is called with each message about the counts of accounts from an instance,
	// and returns the response; nil means that they are refused.
	OnUsage func(instance string, m gtwire.Usage) (gtwire.UsageResponse, error)

	planner        gtlink.Planner
	links          gtshard.Map[*peerLink]
	backoff        gtshard.Map[*retryState]
	batch          gtshard.Map[pendingRecord]
	batchReady     chan struct{}
	summaries      gtshard.Map[pendingSummary]
	summariesReady chan struct{}
	syncing        atomic.Bool
	synced         atomic.Bool
	lastPause      gttimer.Moment
	fetches        gtfetch.Fetches
	contacts       atomic.Pointer[[]string] // that were last read from the store
	bytesSent      atomic.Int64
	bytesReceived  atomic.Int64
	ctx            context.Context

	closeMu sync.Mutex
	closed  bool
	wg      sync.WaitGroup
}

// peerLink is an open link and the identity of the peer at its other end, which
// is known once the hello messages are exchanged.
type peerLink struct {
	link     *gtpeer.Link
	instance string
	zone     string
	outbound bool
	direct   bool
	lastUsed gttimer.Moment
	// sharesCurrent means that the peer knows the "current" message, and offset is what
	// is known of its clock.
	sharesCurrent bool
	offset        gtoffset.Peer
	// recalls means that the peer responds to the "recall" message, and recalling that such
	// a message of the peer is being handled.
	recalls   bool
	recalling atomic.Bool
}

// retryState is the backoff state of connection attempts to one instance.
type retryState struct {
	failures    int
	nextAttempt time.Time
	inProgress  bool
}

// ControlBytes returns the number of bytes of control messages sent and received.
func (o *Overlay) ControlBytes() (sent, received int64) {
	return o.bytesSent.Load(), o.bytesReceived.Load()
}

// CountLinks returns the number of open overlay links.
func (o *Overlay) CountLinks() int { return len(o.listLinks(false)) }

// Open prepares the overlay for links, which are closed when ctx ends. It must
// be called once, before any other method.
func (o *Overlay) Open(ctx context.Context) {
	o.ctx = ctx
	o.fetches.Now = o.Timer.Time
	o.batchReady = make(chan struct{}, 1)
	o.summariesReady = make(chan struct{}, 1)
	o.planner = gtlink.Planner{Shuffle: rand.Shuffle, ZoneMembers: o.Table.ZoneMembers, ZoneSizes: o.Table.ZoneSizes}
}

// Run maintains the links until the context of Open ends, then closes them and
// waits for the goroutines of the overlay.
func (o *Overlay) Run() {
	ctx := o.ctx
	repair := o.Timer.Every(repairPeriod, 0.2)
	defer repair.Stop()
	digest := o.Timer.Every(digestPeriod, 0.3)
	defer digest.Stop()
	var lastSeeded time.Time
	lastRepair := o.Timer.Time()
	o.spawn(func() { o.flushBatches(ctx) })
	o.spawn(func() { o.flushSummaries(ctx) })
	if o.Current != nil {
		o.spawn(func() { o.shareCurrent(ctx) })
	}
	o.contactSeeds(ctx, true)
	for {
		select {
		case <-ctx.Done():
			o.shutDown()
			return
		case now := <-repair.C():
			if now.Sub(lastRepair) > pauseThreshold {
				o.lastPause.Set(now)
			}
			lastRepair = now
			o.repair(ctx, now)
			if period := o.seedPeriod(); now.Sub(lastSeeded) > period {
				// Soon after the start only those of the settings: the node looks again for
				// contacts in the store by itself, at a random time (gtjoin).
				o.contactSeeds(ctx, !lastSeeded.IsZero())
				lastSeeded = now
				o.reconnectLostZones(ctx)
			}
		case <-digest.C():
			o.syncWithRandomPeer(ctx)
		}
	}
}

// spawn runs fn in a goroutine that Run waits for. Once the overlay is closed
// it starts nothing and returns false, since the context of fn has ended.
func (o *Overlay) spawn(fn func()) bool {
	o.closeMu.Lock()
	defer o.closeMu.Unlock()
	if o.closed {
		return false
	}
	o.wg.Go(fn)
	return true
}

// shutDown closes all links and waits for the goroutines that spawn started.
func (o *Overlay) shutDown() {
	o.closeMu.Lock()
	o.closed = true
	o.closeMu.Unlock()
	o.closeAll()
	o.wg.Wait()
}

func (o *Overlay) seedPeriod() time.Duration {
	if o.CountLinks() == 0 {
		return isolatedSeedPeriod
	}
	return linkedSeedPeriod
}

// repair opens and closes links as the planner decides, and declares members gone
// that have been suspected or leaving for too long.
func (o *Overlay) repair(ctx context.Context, now time.Time) {
	var links []gtlink.Link
	for _, pl := range o.listLinks(false) {
		links = append(links, gtlink.NewLink(pl.instance, pl.zone, pl.outbound))
	}
	plan := o.planner.Plan(o.Table.Self(), links)
	for _, r := range plan.Open() {
		o.tryConnect(ctx, r, now)
	}
	for _, name := range plan.Close() {
		if pl, ok := o.links.Get(name); ok && pl.outbound {
			pl.link.Close()
		}
	}
	o.closeIdleDirect(now)
	if o.pausedRecently() {
		return
	}
	// The end of an instance is not propagated: every node that knows of the
	// suspicion declares it gone by itself, and digest exchanges repair the others.
	for _, r := range o.Table.Expire() {
		o.Log.Info().Str("instance", r.Instance()).Msg("overlay: instance is gone")
	}
}

func (o *Overlay) closeIdleDirect(now time.Time) {
	for _, pl := range o.listLinks(true) {
		if pl.outbound && now.Sub(pl.lastUsed.Time()) > directIdleTimeout {
			pl.link.Close()
		}
	}
}

// tryConnect opens a link to a member in its own goroutine, unless an attempt is
// in progress or the backoff time has not passed.
func (o *Overlay) tryConnect(ctx context.Context, r gtmember.Record, now time.Time) {
	start := false
	o.backoff.Do(r.Instance(), func(m map[string]*retryState) {
		s := m[r.Instance()]
		if s == nil {
			s = &retryState{}
			m[r.Instance()] = s
		}
		if !s.inProgress && !now.Before(s.nextAttempt) {
			s.inProgress, start = true, true
		}
	})
	if !start {
		return
	}
	o.spawn(func() { o.recordAttempt(r, o.connect(ctx, r.PeerAddress(), r.Instance(), false)) })
}

// recordAttempt records the result of a connection attempt. After
// failuresToSuspect failures the member is suspected. A refusal by the member
// resets the count to 1, since it shows that the member is alive.
func (o *Overlay) recordAttempt(r gtmember.Record, err error) {
	failures := 0
	o.backoff.Do(r.Instance(), func(m map[string]*retryState) {
		if err == nil {
			delete(m, r.Instance())
			return
		}
		s := m[r.Instance()]
		s.inProgress = false
		s.failures++
		if errorx.IsOfType(err, errorx.RejectedOperation) {
			s.failures = 1
		}
		s.nextAttempt = o.Timer.Time().Add(gtlink.Backoff(s.failures, rand.Float64()))
		failures = s.failures
	})
	if failures >= failuresToSuspect {
		o.markSuspect(r.Instance())
	}
}

// pausedRecently reports whether this node itself was paused or short of
// processor time within the suspect timeout. A missing message then says little
// about other nodes.
func (o *Overlay) pausedRecently() bool {
	return o.Timer.Time().Sub(o.lastPause.Time()) < gtmember.SuspectTimeout
}

func (o *Overlay) markSuspect(instance string) {
	if o.pausedRecently() {
		return
	}
	if r, ok := o.Table.MarkSuspect(instance); ok {
		o.Log.Info().Str("instance", instance).Msg("overlay: instance is suspected")
		o.propagate(Facts{Members: wireRecords([]gtmember.Record{r})}, nil)
	}
}

// contactSeeds connects to the seed addresses of the settings and, while no
// overlay link is open and fromStore is set, to those in the store, in its own goroutine.
func (o *Overlay) contactSeeds(ctx context.Context, fromStore bool) {
	o.spawn(func() {
		addrs := append([]string(nil), o.Seeds...)
		if fromStore && o.CountLinks() == 0 && o.Contacts != nil {
			contacts, err := o.Contacts(ctx)
			if err != nil {
				o.Log.Debug().Err(err).Msg("overlay: reading seed addresses from the store failed")
			}
			if err == nil {
				o.contacts.Store(&contacts)
			}
			addrs = append(addrs, contacts...)
		}
		o.Join(ctx, addrs)
	})
}

// JoinKnown connects to the contacts that were last read from the store, and to members that
// peers have named, without a call of the store. It reports what Join reports.
func (o *Overlay) JoinKnown(ctx context.Context) bool {
	if contacts := o.contacts.Load(); contacts != nil && o.Join(ctx, *contacts) {
		return true
	}
	return o.JoinMembers(ctx)
}

// JoinMembers connects to some members that peers have named. A peer that has reached its
// link limit names others, so that a node that it refuses need not look for further contacts
// in the store. JoinMembers reports whether one of them has answered.
func (o *Overlay) JoinMembers(ctx context.Context) bool {
	var addrs []string
	for _, r := range o.randomReadyMembers() {
		if r.Instance != o.Table.Self().Instance() && len(addrs) < joinWidth {
			addrs = append(addrs, r.PeerAddress)
		}
	}
	return len(addrs) > 0 && o.joinAddresses(ctx, addrs)
}

// Join connects to the peer addresses, in random order and joinWidth at a time, until
// enough links are open. If all that answer have reached their link limit, it goes on with
// members that they have named. It reports whether the node has a link, or a peer has answered.
func (o *Overlay) Join(ctx context.Context, addrs []string) bool {
	answered := o.joinAddresses(ctx, addrs)
	if answered && o.CountLinks() == 0 {
		o.JoinMembers(ctx)
	}
	return answered
}

// joinAddresses does the same without going on.
func (o *Overlay) joinAddresses(ctx context.Context, addrs []string) bool {
	addrs = slices.DeleteFunc(slices.Clone(addrs), o.isLinkedTo)
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	var answered atomic.Bool
	for group := range slices.Chunk(addrs, joinWidth) {
		var wg sync.WaitGroup
		for _, addr := range group {
			wg.Go(func() {
				err := o.connect(ctx, addr, "", false)
				if err == nil || errorx.IsOfType(err, errorx.RejectedOperation) {
					answered.Store(true)
				}
			})
		}
		wg.Wait()
		if o.CountLinks() >= gtlink.SameZoneLinks {
			break
		}
	}
	return answered.Load() || o.CountLinks() > 0
}

// reconnectLostZones connects to a random gone member of each zone that has no
// other members left, so that the two sides of a healed network partition find
// each other again.
func (o *Overlay) reconnectLostZones(ctx context.Context) {
	lost := map[string]bool{}
	for zone, n := range o.Table.ZoneSizes() {
		lost[zone] = n == 0
	}
	tried := map[string]bool{}
	for _, i := range rand.Perm(gtshard.Count) {
		for _, r := range o.Table.ShardRecords(i) {
			if lost[r.Zone()] && !tried[r.Zone()] {
				tried[r.Zone()] = true
				o.tryConnect(ctx, r, o.Timer.Time())
			}
		}
	}
}

func (o *Overlay) isLinkedTo(addr string) bool {
	if o.Table.Self().PeerAddress() == addr {
		return true
	}
	for _, pl := range o.listLinks(false) {
		if r, ok := o.Table.Get(pl.instance); ok && r.PeerAddress() == addr {
			return true
		}
	}
	return false
}

func (o *Overlay) listLinks(direct bool) []*peerLink {
	var all []*peerLink
	o.links.Each(func(m map[string]*peerLink) {
		for _, pl := range m {
			if pl.direct == direct {
				all = append(all, pl)
			}
		}
	})
	return all
}

func (o *Overlay) closeAll() {
	o.links.Each(func(m map[string]*peerLink) {
		for _, pl := range m {
			pl.link.Close()
		}
	})
}
