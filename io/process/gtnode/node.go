// Package gtnode assembles a node: it creates the parts, connects them through
// their function fields, opens the listeners, and shuts everything down in
// order.
//
// # Usage
//
//	node := &gtnode.Node{Settings: cfg, Log: log}
//	node.Init()
//	err := node.Run(ctx)     // returns after a graceful shutdown
//
// When ctx ends, the node drains: it announces to its peers that it is leaving,
// refuses new requests with an error of certainty "not run", completes the
// requests in flight, and only then closes its connections.
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

	"godwittide/core/process/gtaccountstats"
	"godwittide/core/process/gtbudget"
	"godwittide/core/process/gtcapacity"
	"godwittide/core/process/gtdrain"
	"godwittide/core/process/gtheartbeat"
	"godwittide/core/process/gtmember"
	"godwittide/core/process/gtstandin"
	"godwittide/core/process/gtsummary"
	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtadmission"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtinflight"
	"godwittide/core/request/gtretry"
	"godwittide/core/request/gtroute"
	"godwittide/core/request/gtsplit"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtconfig"
	"godwittide/core/version/gtcurrent"
	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtera"
	"godwittide/core/version/gtmove"
	"godwittide/io/connection/gtpool"
	"godwittide/io/connection/gttls"
	"godwittide/io/process/gtduties"
	"godwittide/io/process/gtlog"
	"godwittide/io/process/gtmetric"
	"godwittide/io/process/gtoverlay"
	"godwittide/io/process/gtsettings"
	"godwittide/io/process/gtstore"
	"godwittide/io/process/gttrace"
	"godwittide/io/request/gtedge"
	"godwittide/io/request/gthop"
	"godwittide/io/version/gtfolder"
	"godwittide/io/version/gtrepository"
)

// Node is a node of the mesh. Its exported fields are set before Run.
type Node struct {
	// Settings are the validated settings.
	Settings gtsettings.Settings
	// SettingsSource is the file that the settings are read from again while the node runs.
	SettingsSource SettingsSource
	// Log receives all log lines of the node.
	Log zerolog.Logger
	// Dial opens connections to other nodes; nil means TCP. Tests simulate
	// network partitions here.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// DialBackend opens connections to the backend server; nil means TCP.
	DialBackend func(ctx context.Context, addr string) (net.Conn, error)
	// Listen opens a listener on an address; nil means TCP.
	Listen func(addr string) (net.Listener, error)
	// Store is the platform's store; nil means the one at the endpoint in
	// Settings, if any.
	Store *gtstore.Store
	// StoreEra is the latest era of Store; nil means that Store has one era only.
	StoreEra *gtera.Latest
	// ParseFiles merges the files of a version into a configuration; nil means the
	// format of the operators' folder.
	ParseFiles func(files map[string]string) (*gtconfig.Config, []gtconfig.Problem)
	// WatchConfig passes the operators' configuration to Install until ctx ends. It
	// is called while this node is a watcher of the store, and calls onResult with
	// whether its newest call of the store had success; nil means watching the
	// operators' folder in Store.
	WatchConfig func(ctx context.Context, onResult func(ok bool))
	// LoadConfig passes the operators' configuration to Install once, as it was some
	// seconds ago. It is called when neither this node nor its peers have one; nil
	// means waiting for the watchers.
	LoadConfig func(ctx context.Context) error
	// SaveMove writes the next state of a move by compare-and-swap and returns
	// the state that is stored afterwards; nil means writing it only to the keys of
	// the mesh in Store.
	SaveMove func(ctx context.Context, s gtmove.State) (gtmove.State, error)
	// Dialect is the header format used with callers and backend servers.
	Dialect gthop.Dialect
	// Middleware wraps the handler of callers' requests; nil means no wrapper.
	Middleware func(next http.Handler) http.Handler
	// IsMismatched reports whether a response of the backend server belongs to
	// another request (mismatched response); nil means never.
	IsMismatched func(req *http.Request, resp *http.Response) bool
	// Timer is the timer service, which Run also runs; nil means a new one.
	Timer *gttimer.Service
	// Wall returns the time of day, by which requests of accounts are counted; nil means
	// time.Now.
	Wall func() time.Time
	// ReportUsage sends the report of a window to the duty address; nil means the own
	// interface.
	ReportUsage func(ctx context.Context, r gtduties.Report) error
	// SinceBoot reads a clock that counts the suspension of the machine and that steps of
	// the time of day don't change; nil means the time since the start of the node.
	SinceBoot func() time.Duration
	// Heartbeats monitors the heartbeats of the backend server; nil means that the
	// node probes it by connecting.
	Heartbeats *gtheartbeat.Monitor

	timer       *gttimer.Service
	startTime   time.Time
	credentials *gttls.Credentials
	tracer      *gttrace.Tracer
	metrics     *gtmetric.Metrics
	scope       tally.Scope

	requestLog *gtlog.RateLimitedLogger
	streamLog  *gtlog.RateLimitedLogger
	requests   *gtinflight.Table

	table       *gtmember.Table
	holder      *gtdelta.Holder
	current     *gtcurrent.Tracker
	moves       *gtmove.Table
	crashes     *gtdedup.Crashes
	parser      gtfolder.Parser
	configStore *gtrepository.Repository
	overlay     *gtoverlay.Overlay

	budget       *gtbudget.Budget
	gate         *gtadmission.Gate
	overflows    uint64 // of the gate at the last report; used by the thread that updates gauges only
	capacity     *gtcapacity.Estimator
	calls        *gtcapacity.Calls
	summaries    *gtsummary.Table
	dedup        *gtdedup.Keys
	retry        *gtretry.Policy
	router       *gtroute.Router
	outcomes     *gtcanary.OutcomeCounter
	hopPool      *gtpool.Pool
	backendPool  *gtpool.Pool
	localBackend *gthop.LocalBackend
	hopHandler   *gthop.Handler
	edge         *gtedge.Edge

	standIn        gtstandin.StandIn
	duties         *gtduties.Duties // nil without a duty address
	syncedAt       gttimer.Moment   // when knowsFleet first found that the overlay has synced
	judges         judges
	reporter       reporter
	summarizer     summarizer
	omissions      omissions
	accounts       gtaccountstats.Stats
	servers        servers
	pipelines      pipelines
	limits         limitReports
	backend        backendState
	departures     departures
	recalls        recallReads
	restores       restores
	reload         reloader
	recallOnce     sync.Once
	runCtx         context.Context // ends when the node stops
	downDamper     gtmember.Damper
	stateMu        sync.Mutex
	installMu      sync.Mutex
	drainRequested chan struct{}
	drainOnce      sync.Once
	abortRequested chan struct{}
	abortOnce      sync.Once
	drain          gtdrain.Drain
	running        atomic.Bool
	wg             sync.WaitGroup
}

// expirePeriod is the period at which expired entries are deleted from tables and
// pools.
const expirePeriod = 5 * time.Second

// Run runs the node until ctx ends or Drain or Abort is called, and returns once
// the node has stopped. It returns an error if the node can't start.
func (n *Node) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.reload.init(n.Settings)
	if err := n.loadTLSKeys(); err != nil {
		return err
	}
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	if err := n.buildParts(runCtx); err != nil {
		listeners.close()
		return err
	}
	defer n.metrics.Close()
	n.runCtx = runCtx
	n.overlay.Open(runCtx)
	n.initBackendState(runCtx)
	n.start(runCtx, listeners)
	n.running.Store(true)
	listen := n.Settings.Listen
	n.Log.Info().Str("instance", n.Settings.Node.Instance).Str("zone", n.Settings.Node.Zone).
		Str("edge", listen.Edge).Str("hop", listen.Hop).Str("peer", listen.Peer).Str("admin", listen.Admin).Msg("node: started")
	select {
	case <-ctx.Done():
		n.shutDown(runCtx)
	case <-n.drainRequested:
		n.shutDown(runCtx)
	case <-n.abortRequested:
		n.servers.close()
	}
	stop()
	n.wg.Wait()
	n.hopPool.Close()
	n.backendPool.Close()
	n.Log.Info().Msg("node: stopped")
	return nil
}

// Drain starts a graceful shutdown and returns at once. Further calls have no
// effect.
func (n *Node) Drain() { n.drainOnce.Do(func() { close(n.drainRequested) }) }

// Abort stops the node without draining it, as a crash would.
func (n *Node) Abort() { n.abortOnce.Do(func() { close(n.abortRequested) }) }

// Init creates the channels that Drain and Abort close. It must be called once,
// before Run, Drain and Abort.
func (n *Node) Init() {
	n.drainRequested = make(chan struct{})
	n.abortRequested = make(chan struct{})
}

// loadTLSKeys loads and checks the TLS files, if the settings name any.
func (n *Node) loadTLSKeys() error {
	cfg := n.Settings
	if !cfg.UsesTLS() {
		return nil
	}
	n.credentials = &gttls.Credentials{CertFile: cfg.TLS.Cert, KeyFile: cfg.TLS.Key, CAFile: cfg.TLS.CA}
	return n.credentials.Check()
}

// buildParts creates the parts of the node and connects them. The order matters:
// each group uses the ones before it.
func (n *Node) buildParts(ctx context.Context) error {
	cfg := n.Settings
	n.timer = n.Timer
	if n.timer == nil {
		n.timer = &gttimer.Service{}
	}
	n.startTime = n.timer.Time()
	tracer, err := gttrace.New(ctx, cfg.Trace.Endpoint, n.traceRatio, cfg.Node.Instance)
	if err != nil {
		return err
	}
	n.tracer = tracer
	n.drain = gtdrain.Drain{Now: n.timer.Time, Linger: time.Duration(cfg.Limit.LingerPeriod), Limit: time.Duration(cfg.Limit.DrainTimeout)}
	n.streamLog = &gtlog.RateLimitedLogger{Log: n.Log, Now: n.timer.Time, LinesPerSecond: 1}
	n.requestLog = &gtlog.RateLimitedLogger{Log: n.Log, Now: n.timer.Time, LinesPerSecond: requestLinesPerSecond}
	n.buildTables()
	n.buildConfigStore()
	n.buildRequestPath()
	n.buildOverlay()
	n.buildDuties()
	n.buildRestores()
	return nil
}

// buildTables creates the tables of replicated state: membership, the active
// version, moves and crashes.
func (n *Node) buildTables() {
	cfg := n.Settings
	now := n.timer.Time
	n.table = &gtmember.Table{Now: now}
	n.holder = &gtdelta.Holder{Now: now}
	n.current = &gtcurrent.Tracker{Clock: n.SinceBoot}
	if n.SinceBoot == nil {
		n.current.Clock = func() time.Duration { return now().Sub(n.startTime) }
	}
	n.moves = &gtmove.Table{Now: now}
	n.crashes = &gtdedup.Crashes{Now: now}
	n.summaries = &gtsummary.Table{Now: now}
	self := gtmember.NewRecord(cfg.Node.Instance, cfg.Node.Zone, cfg.HopAddress(), cfg.PeerAddress()).
		WithBackend(cfg.Backend.Service, cfg.Backend.Version, cfg.Backend.Slots).
		WithIncarnation(uint64(n.startTime.UnixMilli()))
	n.table.SetSelf(self)
	n.downDamper.Now = now
	n.judges.now = now
	n.standIn.Now = now
	n.judges.raised, n.judges.batches = make(chan struct{}, 1), make(chan struct{}, 1)
}

func (n *Node) buildConfigStore() {
	if n.Store == nil && n.Settings.Store.Endpoint != "" {
		n.Store = gtstore.NewEtcd(n.Settings.Store.Endpoint, gtstore.NewClient())
	}
	if n.Store != nil {
		n.configStore = &gtrepository.Repository{Store: n.Store, Prefix: n.Settings.Store.Prefix}
		n.recalls.readOne, n.recalls.readAll, n.recalls.sleep = n.configStore.Departures, n.configStore.AllDepartures, n.timer.Sleep
	}
}

// buildRequestPath creates the parts that serve requests, from the edge handler
// to the connections to the local backend server.
func (n *Node) buildRequestPath() {
	cfg := n.Settings
	now := n.timer.Time
	n.requests = &gtinflight.Table{Now: now}
	n.metrics = gtmetric.New()
	n.scope = n.metrics.Scope()
	n.budget = &gtbudget.Budget{Bytes: int64(cfg.Limit.MemoryBytes), Now: now}
	n.gate = &gtadmission.Gate{Now: now, Slots: cfg.Backend.Slots, Fixed: cfg.Backend.FixedLimit, Exact: cfg.Backend.ExactSlots, PausedSince: n.timer.PausedSince, MaxConnections: n.maxBackendConns}
	n.capacity, n.calls = &gtcapacity.Estimator{PausedSince: n.timer.PausedSince}, &gtcapacity.Calls{}
	n.dedup = &gtdedup.Keys{Now: now}
	split := &gtsplit.Split{Rand: rand.Float64}
	n.retry = &gtretry.Policy{Now: now}
	n.outcomes = &gtcanary.OutcomeCounter{OnBatch: n.judges.requestReport}
	n.outcomes.Restart(uint64(n.startTime.UnixMilli()))
	n.router = &gtroute.Router{Now: now, Rand: rand.Float64, Zone: cfg.Node.Zone, Instances: n.table.ServiceMembers, MoveShare: n.moves.Share, IsRolledBack: n.moves.IsRolledBack, OnMovePick: n.countMovePick, Spare: n.spare}
	n.hopPool = &gtpool.Pool{Dial: n.dialNode, Now: now, SupportsPing: true, MaxConns: cfg.Backend.MaxConnections, Hold: n.budget.Hold}
	n.backendPool = &gtpool.Pool{
		Dial: n.dialBackend, Now: now, MaxConns: cfg.Backend.MaxConnections, MaxReuseIdle: time.Duration(cfg.Backend.MaxReuseIdle), IsMismatched: n.IsMismatched,
		ConnLimit: n.backendConnLimit, Hold: n.budget.Hold,
	}
	n.localBackend = &gthop.LocalBackend{
		Now: now, Self: n.table.Self, Address: cfg.Backend.Address, MaxBufferBytes: cfg.Limit.MaxBufferBytes, Budget: n.budget, Pool: n.backendPool,
		Gate: n.gate, Keys: n.dedup, Crashes: n.crashes, Outcomes: n.outcomes,
		HistoryKnown: n.dedupHistoryKnown, OnCrash: n.announceCrash, CheckDown: n.probeDown, MayRun: n.mayRun, ReadyAt: n.backend.readyTime, Trace: n.tracer.Start,
		Dialect: n.Dialect, OnResult: n.logBackendCall, OnOmitted: n.countOmitted, HasAccounts: n.hasAccounts,
	}
	if n.Heartbeats != nil {
		n.localBackend.WarmUpEnd = n.backend.warmUpEndTime
	}
	if cfg.Backend.Learn {
		n.localBackend.Learned, n.localBackend.OnServed = n.learnedCapacity, n.observeServed
	}
	n.hopHandler = &gthop.Handler{LocalBackend: n.localBackend, Timer: n.timer, MaxBodyBytes: n.maxBodyBytes, Budget: n.budget, OnPanic: n.recordPanic, PausedSince: n.timer.PausedSince, Requests: n.requests, OnStreamed: n.recordStreamed}
	client := &gthop.Client{Now: now, Pool: n.hopPool, Dialect: n.Dialect, MaxBufferBytes: cfg.Limit.MaxBufferBytes, Budget: n.budget, Trace: n.tracer.Start}
	n.edge = &gtedge.Edge{
		Now: now, Self: cfg.Node.Instance, IDPrefix: cfg.Node.Instance + "-" + strconv.FormatInt(n.startTime.UnixMilli(), 36) + "-",
		MaxBodyBytes: n.maxBodyBytes, Budget: n.budget, MaxHops: cfg.Limit.MaxHops, Holder: n.holder, Router: n.router, Instances: n.table.ServiceMembers,
		Retry: n.retry, Crashes: n.crashes, OnCrash: n.mergeCrash, HistoryKnown: n.dedupHistoryKnown, LocalBackend: n.localBackend, Client: client,
		MayBegin: n.drain.MayBegin, Closing: n.drain.Begun, OnOutcome: n.recordOutcome, OnResponse: n.recordResponse, Trace: n.tracer.Start, OnPanic: n.recordPanic,
		Dialect: n.Dialect, Split: split, IsCurrent: n.isCurrent, OnRetry: n.logRetry, OnOmitted: n.countOmittedAttempt, Requests: n.requests,
		WholeBytes: func() int { return cfg.Limit.WholeBytes }, OnStreamed: n.recordStreamed,
	}
}

func (n *Node) buildOverlay() {
	cfg := n.Settings
	n.overlay = &gtoverlay.Overlay{
		Timer: n.timer, Log: n.Log, Cluster: cfg.Node.Cluster, Dial: n.dialNode, Seeds: cfg.Node.Peers,
		Table: n.table, Holder: n.holder, Moves: n.moves, Crashes: n.crashes,
		Install: n.installVersion, OnReport: n.judges.addReport, OnHalt: n.logHalt, OnWatching: n.noteWatching, Summaries: n.summaries, OnSummary: n.mergeSummary,
	}
	if cfg.Account.StrictRevoke {
		n.overlay.Current = n.current
	}
	n.reporter.log, n.reporter.now, n.reporter.send, n.reporter.spawn = n.Log, n.timer.Time, n.overlay.SendReport, n.wg.Go
	if n.Heartbeats != nil {
		n.overlay.OnDeparted = n.handleDeparted
		n.overlay.OnRecall = n.serveRecall
	}
	if n.configStore != nil {
		n.overlay.Contacts = n.configStore.OutdatedContacts
	}
}

// start starts the goroutines of all parts.
func (n *Node) start(ctx context.Context, l listeners) {
	n.wg.Go(func() { n.timer.Run(ctx) })
	n.wg.Go(n.overlay.Run)
	n.wg.Go(func() { n.hopHandler.Run(ctx) })
	n.wg.Go(func() { n.watchBackend(ctx) })
	n.wg.Go(func() { n.driveMoves(ctx) })
	if n.duties != nil {
		n.wg.Go(func() { n.duties.Run(ctx) })
	}
	n.wg.Go(func() { n.sendSummaries(ctx) })
	n.wg.Go(func() { n.expirePeriodically(ctx) })
	if n.SettingsSource.Path != "" {
		n.wg.Go(func() { n.watchSettings(ctx) })
	}
	if n.Settings.Account.StrictRevoke {
		n.wg.Go(func() { n.watchCurrent(ctx) })
	}
	if n.configStore != nil || n.WatchConfig != nil {
		n.wg.Go(func() { n.watchStore(ctx) })
	}
	if n.configStore != nil {
		n.wg.Go(func() { n.restoreOnRise(ctx) })
	}
	n.serve(ctx, l)
}

// expirePeriodically deletes expired entries, closes idle connections and updates
// the gauges, until ctx ends.
func (n *Node) expirePeriodically(ctx context.Context) {
	ticker := n.timer.Every(expirePeriod, 0.2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
			n.hopPool.CloseExpired()
			n.backendPool.CloseExpired()
			n.router.Expire()
			n.summaries.Expire()
			n.dedup.Expire()
			n.requestLog.Flush()
			n.streamLog.Flush()
			n.moves.Prune(n.holder.Current().Config(), gtmember.GoneRetention)
			n.edge.Expire()
			n.pruneAccounts()
			n.updateGauges()
		}
	}
}

// dedupHistoryKnown reports whether every request with an idempotency key that ran
// for the service within the deduplication window would still be known. This
// holds if, throughout the window, this node was up, no instance of the service
// joined or left, and no share of traffic changed.
func (n *Node) dedupHistoryKnown(service string) bool {
	windowStart := n.timer.Time().Add(-gtdedup.Window)
	if n.startTime.After(windowStart) || n.table.LastChange(service).After(windowStart) {
		return false
	}
	m, ok := n.holder.Current().Config().Move(service)
	if !ok {
		return true
	}
	s, ok := n.moves.State(m.ID())
	return !ok || s.Updated().Before(windowStart)
}

// announceCrash logs a crash of the local backend server and announces the
// request to the peers.
func (n *Node) announceCrash(c gtdedup.Crash) {
	n.Log.Warn().Uint64("request", c.Fingerprint()).Int("crashes", c.Count()).Msg("crash: backend server crashed with a request in flight")
	n.overlay.AnnounceCrash(c)
}

// mergeCrash records a crash that another node reported and announces it if it
// is new.
func (n *Node) mergeCrash(c gtdedup.Crash) {
	if n.crashes.Merge(c) {
		n.overlay.AnnounceCrash(c)
	}
}

func (n *Node) recordPanic(v any) {
	n.scope.Counter("panics").Inc(1)
	n.Log.Error().Interface("panic", v).Stack().Msg("node: request handler panicked")
}
