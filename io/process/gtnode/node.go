// Package gtnode puts a node together: it makes the parts, connects them by
// their function fields, listens, and stops them in order.
//
// # Usage
//
//	node := &gtnode.Node{Settings: cfg, Log: log}
//	node.Open()
//	err := node.Run(ctx)     // returns after a graceful shutdown
//
// When ctx ends, the node drains: it tells its peers, refuses new work as "not
// run", answers what is in flight, and only then closes its connections.
package gtnode

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"godwittide/core/process/gtbeat"
	"godwittide/core/process/gtmember"
	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtadmit"
	"godwittide/core/request/gtonce"
	"godwittide/core/request/gtretry"
	"godwittide/core/request/gtroute"
	"godwittide/core/request/gtsplit"
	"godwittide/core/version/gtconfig"
	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtevidence"
	"godwittide/core/version/gtmove"
	"godwittide/io/connection/gtpool"
	"godwittide/io/connection/gttls"
	"godwittide/io/process/gtlog"
	"godwittide/io/process/gtmetric"
	"godwittide/io/process/gtoverlay"
	"godwittide/io/process/gtsettings"
	"godwittide/io/process/gtstore"
	"godwittide/io/process/gttrace"
	"godwittide/io/request/gtedge"
	"godwittide/io/request/gthop"
	"godwittide/io/version/gtfolder"
	"godwittide/io/version/gtsnapshot"
)

// Node is one node. Its exported fields are set before Run.
type Node struct {
	// Settings are the checked settings.
	Settings gtsettings.Settings
	// Log takes all messages.
	Log zerolog.Logger
	// Dial opens connections to peers and other nodes; nil means TCP. A test
	// cuts the network here.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// DialBackend opens connections to the backend server; nil means TCP.
	DialBackend func(ctx context.Context, addr string) (net.Conn, error)
	// Listen takes connections at an address; nil means TCP.
	Listen func(addr string) (net.Listener, error)
	// Store is the platform's store; nil means the endpoint of the settings.
	Store *gtstore.Store
	// Parse merges the files of a version; nil means those of a folder.
	Parse func(files map[string]string) (*gtconfig.Config, []gtconfig.Problem)
	// Follow hands the operators' configuration to Install until ctx ends; nil
	// means that this node takes its turn at watching their folder in the store.
	Follow func(ctx context.Context)
	// SaveMove writes the next state of a move by compare-and-swap and returns
	// what then stands there; nil means the own keys in the store alone.
	SaveMove func(ctx context.Context, s gtmove.State) (gtmove.State, error)
	// Dialect is how callers and backend servers are spoken to.
	Dialect gthop.Dialect
	// Front stands before the callers' handler; nil means nothing.
	Front func(next http.Handler) http.Handler
	// Foreign says whether an answer of the backend server belongs to another
	// request; nil means never.
	Foreign func(req *http.Request, resp *http.Response) bool
	// Timer is the timer service, which the node runs; nil means a new one.
	Timer *gttimer.Service
	// Beats follows the backend server by its heartbeats; nil means that the
	// node looks for it by connecting.
	Beats *gtbeat.Follower

	timer   *gttimer.Service
	started time.Time
	keys    *gttls.Keys
	tracer  *gttrace.Tracer
	metrics *gtmetric.Metrics
	scope   tally.Scope

	book *gtlog.Book

	table   *gtmember.Table
	holder  *gtdelta.Holder
	board   *gtmove.Board
	crashes *gtonce.Crashes
	parser  gtfolder.Parser
	vault   *gtsnapshot.Vault
	overlay *gtoverlay.Overlay

	gate   *gtadmit.Gate
	once   *gtonce.Keys
	retry  *gtretry.Policy
	router *gtroute.Router
	ledger *gtevidence.Ledger
	hops   *gtpool.Pool
	own    *gtpool.Pool
	beside *gthop.Beside
	hop    *gthop.Handler
	edge   *gtedge.Edge

	judges  judges
	server  servers
	backend backend
	damper  gtmember.Damper
	selfMu  sync.Mutex
	install sync.Mutex
	drain   chan struct{}
	drainer sync.Once
	abort   chan struct{}
	aborter sync.Once
	leaving atomic.Bool
	running atomic.Bool
	wg      sync.WaitGroup
}

// sweepEvery is the period in which tables forget what is past.
const sweepEvery = 5 * time.Second

// Run runs the node until ctx ends or Drain is called, and returns when it has
// stopped.
func (n *Node) Run(ctx context.Context) error {
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := n.loadKeys(); err != nil {
		return err
	}
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	if err := n.build(life); err != nil {
		listeners.close()
		return err
	}
	defer n.metrics.Close()
	n.overlay.Open(life)
	n.lookForBackend(life)
	n.start(life, listeners)
	n.running.Store(true)
	listen := n.Settings.Listen
	n.Log.Info().Str("instance", n.Settings.Node.Instance).Str("zone", n.Settings.Node.Zone).
		Str("edge", listen.Edge).Str("hop", listen.Hop).Str("peer", listen.Peer).Str("admin", listen.Admin).Msg("node: started")
	select {
	case <-ctx.Done():
		n.stop(life)
	case <-n.drain:
		n.stop(life)
	case <-n.abort:
		n.server.close()
	}
	stop()
	n.wg.Wait()
	n.hops.Close()
	n.own.Close()
	n.Log.Info().Msg("node: stopped")
	return nil
}

// Drain begins a graceful shutdown.
func (n *Node) Drain() { n.drainer.Do(func() { close(n.drain) }) }

// Abort ends the node at once, as a crash would.
func (n *Node) Abort() { n.aborter.Do(func() { close(n.abort) }) }

// Open makes the channels that Drain and Abort use. It is called once, before
// Run.
func (n *Node) Open() {
	n.drain = make(chan struct{})
	n.abort = make(chan struct{})
}

// loadKeys reads the TLS files, if the settings name any.
func (n *Node) loadKeys() error {
	cfg := n.Settings
	if !cfg.Secure() {
		return nil
	}
	n.keys = &gttls.Keys{Cert: cfg.TLS.Cert, Key: cfg.TLS.Key, CA: cfg.TLS.CA}
	return n.keys.Check()
}

// build makes the parts.
func (n *Node) build(ctx context.Context) error {
	cfg := n.Settings
	n.timer = n.Timer
	if n.timer == nil {
		n.timer = &gttimer.Service{}
	}
	n.started = n.timer.Time()
	tracer, err := gttrace.New(ctx, cfg.Trace.Endpoint, cfg.Trace.Ratio, cfg.Node.Instance)
	if err != nil {
		return err
	}
	n.tracer = tracer
	n.book = &gtlog.Book{Log: n.Log, Now: n.timer.Time, Rate: requestLines}
	n.buildFacts()
	n.buildStore()
	n.buildRequests()
	n.buildOverlay()
	return nil
}

func (n *Node) buildFacts() {
	cfg := n.Settings
	now := n.timer.Time
	n.table = &gtmember.Table{Now: now}
	n.holder = &gtdelta.Holder{Now: now}
	n.board = &gtmove.Board{Now: now}
	n.crashes = &gtonce.Crashes{Now: now}
	self := gtmember.NewRecord(cfg.Node.Instance, cfg.Node.Zone, cfg.HopAddress(), cfg.PeerAddress()).
		WithBackend(cfg.Backend.Service, cfg.Backend.Version, cfg.Backend.Slots).
		WithIncarnation(uint64(n.started.UnixMilli()))
	n.table.SetSelf(self)
	n.damper.Now = now
	n.judges = judges{now: now}
}

func (n *Node) buildStore() {
	if n.Store == nil && n.Settings.Store.Endpoint != "" {
		n.Store = gtstore.Etcd(n.Settings.Store.Endpoint, gtstore.Client())
	}
	if n.Store != nil {
		n.vault = &gtsnapshot.Vault{Store: n.Store, Prefix: n.Settings.Store.Prefix}
	}
}

func (n *Node) buildRequests() {
	cfg := n.Settings
	now := n.timer.Time
	n.metrics = gtmetric.New()
	n.scope = n.metrics.Scope()
	n.gate = &gtadmit.Gate{Now: now, Slots: cfg.Backend.Slots, Fixed: cfg.Backend.Fixed, Stalled: n.timer.Stalled}
	n.once = &gtonce.Keys{Now: now}
	split := &gtsplit.Split{Rand: rand.Float64}
	n.retry = &gtretry.Policy{Now: now}
	n.ledger = &gtevidence.Ledger{}
	n.router = &gtroute.Router{Now: now, Rand: rand.Float64, Zone: cfg.Node.Zone, Service: n.table.Service, Share: n.board.Share}
	n.hops = &gtpool.Pool{Dial: n.dialNode, Now: now, Ping: true, Max: cfg.Backend.Connections}
	n.own = &gtpool.Pool{
		Dial: n.dialBackend, Now: now, Max: cfg.Backend.Connections, Quiet: time.Duration(cfg.Backend.Idle), Foreign: n.Foreign,
	}
	n.beside = &gthop.Beside{
		Now: now, Self: n.table.Self, Address: cfg.Backend.Address, Buffer: cfg.Limit.Buffer, Pool: n.own,
		Gate: n.gate, Keys: n.once, Crashes: n.crashes, Ledger: n.ledger,
		Sure: n.sure, Crashed: n.crashed, Down: n.checkDown, ReadyAt: n.backend.readyTime, Trace: n.tracer.Start,
		Dialect: n.Dialect, Ran: n.logRun,
	}
	n.hop = &gthop.Handler{Beside: n.beside, Timer: n.timer, Body: cfg.Limit.Body, Panicked: n.panicked, Stalled: n.timer.Stalled}
	client := &gthop.Client{Now: now, Pool: n.hops, Dialect: n.Dialect, Buffer: cfg.Limit.Buffer, Trace: n.tracer.Start}
	n.edge = &gtedge.Edge{
		Now: now, Self: cfg.Node.Instance, ID: cfg.Node.Instance + "-" + strconv.FormatInt(n.started.UnixMilli(), 36) + "-",
		Body: cfg.Limit.Body, Hops: cfg.Limit.Hops, Holder: n.holder, Router: n.router, Members: n.table.Service,
		Retry: n.retry, Crashes: n.crashes, Crashed: n.heardCrash, Sure: n.sure, Beside: n.beside, Client: client,
		Observed: n.observed, Answered: n.answered, Trace: n.tracer.Start, Panicked: n.panicked,
		Dialect: n.Dialect, Split: split, Again: n.logRetry,
	}
}

func (n *Node) buildOverlay() {
	cfg := n.Settings
	n.overlay = &gtoverlay.Overlay{
		Timer: n.timer, Log: n.Log, Cluster: cfg.Node.Cluster, Dial: n.dialNode, Seeds: cfg.Node.Peers,
		Table: n.table, Holder: n.holder, Board: n.board, Crashes: n.crashes,
		Install: n.installSet, Reported: n.judges.take,
	}
	if n.vault != nil {
		n.overlay.Contacts = n.vault.Contacts
	}
}

// start starts the threads of all parts.
func (n *Node) start(ctx context.Context, l listeners) {
	n.wg.Go(func() { n.timer.Run(ctx) })
	n.wg.Go(n.overlay.Run)
	n.wg.Go(func() { n.hop.Run(ctx) })
	n.wg.Go(func() { n.watchBackend(ctx) })
	n.wg.Go(func() { n.driveMoves(ctx) })
	n.wg.Go(func() { n.sweep(ctx) })
	if n.vault != nil || n.Follow != nil {
		n.wg.Go(func() { n.watchStore(ctx) })
	}
	n.serve(ctx, l)
}

// stop drains the node.
func (n *Node) stop(ctx context.Context) {
	n.Log.Info().Msg("node: draining")
	limit := n.timer.After(time.Duration(n.Settings.Limit.Drain))
	defer limit.Stop()
	n.leaving.Store(true)
	// The backend server may stay, and take work for as long as the node does.
	_ = n.timer.Wait(ctx, time.Duration(n.Settings.Limit.Linger))
	n.setState(gtmember.Leaving)
	quiet := n.timer.Time().Add(time.Duration(n.Settings.Limit.Quiet))
	tick := n.timer.Every(50*time.Millisecond, 0)
	defer tick.Stop()
	for n.edge.InFlight()+n.hop.InFlight() > 0 || n.timer.Time().Before(quiet) {
		select {
		case <-tick.C():
			continue
		case <-limit.C():
			n.Log.Warn().Int64("left", n.edge.InFlight()+n.hop.InFlight()).Msg("node: drain limit passed")
		}
		break
	}
	n.server.shutdown(ctx, n.timer)
	n.setState(gtmember.Gone)
	_ = n.timer.Wait(ctx, 100*time.Millisecond)
	if err := n.tracer.Close(ctx); err != nil {
		n.Log.Debug().Err(err).Msg("node: spans were not sent")
	}
}

// sweep lets the tables forget what is past.
func (n *Node) sweep(ctx context.Context) {
	tick := n.timer.Every(sweepEvery, 0.2)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C():
			n.hops.Sweep()
			n.own.Sweep()
			n.router.Sweep()
			n.once.Sweep()
			n.book.Flush()
			n.board.Keep(n.holder.Current().Config(), gtmember.GoneFor)
			n.gauges()
		}
	}
}

// sure says whether whoever ran a request with a key for the service within
// the window would still know: nobody came or went, and no share changed.
func (n *Node) sure(service string) bool {
	past := n.timer.Time().Add(-gtonce.Window)
	if n.started.After(past) || n.table.Changed(service).After(past) {
		return false
	}
	m, ok := n.holder.Current().Config().Move(service)
	if !ok {
		return true
	}
	s, ok := n.board.State(m.ID())
	return !ok || s.Stepped().Before(past)
}

func (n *Node) crashed(c gtonce.Crash) {
	n.Log.Warn().Uint64("request", c.Fingerprint()).Int("crashes", c.Count()).Msg("crash: backend server crashed with a request in flight")
	n.overlay.AnnounceCrash(c)
}

func (n *Node) heardCrash(c gtonce.Crash) {
	if n.crashes.Merge(c) {
		n.overlay.AnnounceCrash(c)
	}
}

func (n *Node) panicked(v any) {
	n.scope.Counter("panics").Inc(1)
	n.Log.Error().Interface("panic", v).Stack().Msg("node: a request's thread panicked")
}
