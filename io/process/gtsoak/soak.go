// Package gtsoak runs soak tests: it injects random faults into a small cluster
// whose nodes run in processes of their own, and checks the guarantees of the
// system by what callers and backend servers observe.
//
// # Usage
//
//	soak := &gtsoak.Soak{NodeCommand: []string{"godwittide", "node"}, Dir: dir, Seed: 7, FaultTime: time.Minute, Sites: 6}
//	report, err := soak.Run(ctx)
//
// All faults are injected from outside of the nodes: by signals, by proxies that
// delay, reset, blackhole or block their connections in one direction, and by the
// backend servers and the store, which are stand-ins in this process. The seed
// determines the faults; they may overlap. Signals are sent only to processes that
// the soak test has started, by their process IDs.
package gtsoak

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/core/process/gttimer"
	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtfake"
)

const (
	// startTimeout bounds the time until the first configuration is active on all
	// nodes.
	startTimeout = 20 * time.Second
	// maxPropagationTime is the time within which a configuration has to be active
	// on all nodes once the faults have ended.
	maxPropagationTime = 4 * time.Second
	// maxDrainTime is the time after which a drained zone must get no new requests.
	maxDrainTime = 3 * time.Second
	// settleTimeout bounds the wait for the last configuration to be active on all
	// nodes. Beyond it the guarantee is violated, not just late.
	settleTimeout = 30 * time.Second
	// faultFreeTime is how long the callers continue once the cluster has settled.
	// Their requests must not fail in that time.
	faultFreeTime = 2 * time.Second
	// backendDowntime is the downtime of a backend server after a crash.
	backendDowntime = time.Second
	// pollInterval is the interval at which the nodes' status pages are polled.
	pollInterval = 100 * time.Millisecond
	// pushTimeout bounds the retries of one configuration push.
	pushTimeout = 10 * time.Second
)

// Soak configures one soak test. Its fields are set before Run.
type Soak struct {
	// NodeCommand is the command that runs a node: the program and its first
	// arguments. "--settings" and the name of a settings file are appended.
	NodeCommand []string
	// Dir is the directory for the nodes' settings files and logs.
	Dir string
	// Seed is the seed of the faults and of the callers.
	Seed uint64
	// FaultTime is the duration of fault injection.
	FaultTime time.Duration
	// Sites is the number of backend servers, each with its node, in three
	// availability zones.
	Sites int
	// Stops plans stops of nodes in place of faults, under requests that take long.
	Stops bool
	// Pauses pauses nodes for moments in a run of planned stops, as if they were short of
	// processor time.
	Pauses bool
	// Duties has the nodes report the use of accounts, and kills and pauses the holder of
	// that duty in place of random faults. It isn't set with Stops, as a kill breaks off
	// requests.
	Duties bool
	// Busy is the number of processes that only compute while faults are injected.
	Busy int
	// MaxFiles is the largest number of open files of this process; 0 means its limit.
	MaxFiles int
}

// Report is the result of a soak test. Faults is the number of injected faults, and
// Calls counts the calls by kind and outcome.
type Report struct {
	Seed   uint64         `json:"seed"`
	Faults int            `json:"faults"`
	Calls  map[string]int `json:"calls"`
	// PropagationMS is the time in milliseconds, after the faults ended, until the
	// last configuration was active on all nodes.
	PropagationMS int64 `json:"force"`
	// Files is the largest number of open files of this process.
	Files int `json:"files"`
	// Windows is the number of windows of usage whose counts were compared.
	Windows int `json:"windows,omitempty"`
	// Violations describes the violations of guarantees, and TooSlow the operations
	// that exceeded their time limits.
	Violations []string `json:"broken"`
	TooSlow    []string `json:"slow"`
}

// drainPeriod is a period in which a zone was drained.
type drainPeriod struct {
	zone     string
	from, to time.Time
}

// soakRun is the state of a running soak test.
type soakRun struct {
	soak    *Soak
	ctx     context.Context
	files   *fileGuard
	calm    atomic.Bool // planned work has ended
	cluster *gtcluster.Cluster
	sites   []*site
	calls   callers
	duty    *dutyAddress // nil without duties

	mu           sync.Mutex
	ended        bool           // no more violations are reported
	routeNumber  int            // number of the newest route; changed under pushMu
	zoneDrains   map[string]int // number of drains in progress, by zone; guarded by pushMu
	drainPeriods []drainPeriod
	report       Report
	pushMu       sync.Mutex // serializes pushes
}

// Run runs the soak test and returns its report. It returns an error if the nodes
// or the stand-ins can't be started, if this process has too many files open, or if ctx
// ends first; violated guarantees are in the report only.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit, err := fileLimit()
	if err != nil {
		return Report{Seed: s.Seed}, err
	}
	if s.MaxFiles > 0 {
		limit = s.MaxFiles
	}
	files := &fileGuard{Limit: limit, Count: countFiles, OnLimit: cancel}
	go files.run(ctx)
	r := &soakRun{soak: s, ctx: ctx, files: files, cluster: &gtcluster.Cluster{Log: zerolog.Nop()}, zoneDrains: map[string]int{}, report: Report{Seed: s.Seed}}
	report, err := r.run()
	report.Files = files.peakFiles()
	if cause := context.Cause(ctx); cause != nil {
		return Report{Seed: s.Seed, Files: report.Files}, errorx.Decorate(cause, "run the soak test with seed %d", s.Seed)
	}
	return report, err
}

// run runs the soak test until it ends or its context does.
func (r *soakRun) run() (Report, error) {
	s, ctx := r.soak, r.ctx
	if err := r.cluster.Open(ctx); err != nil {
		return r.report, err
	}
	defer r.cluster.Close()
	defer r.stopSites()
	if s.Duties {
		duty, err := startDutyAddress()
		if err != nil {
			return r.report, err
		}
		defer duty.server.Close()
		r.duty = duty
	}
	if err := r.startSites(); err != nil {
		return r.report, err
	}
	r.pushChange(func() { r.routeNumber++ })
	if !r.pollUntil(startTimeout, r.converged) {
		return r.report, errorx.TimeoutElapsed.New("start the nodes: the first configuration isn't active on all of them; see their logs in %s", s.Dir)
	}
	p := s.profile()
	r.calls.routes, r.calls.resends, r.calls.onError = p.routes, p.resends, r.files.recordError
	stopCallers := r.calls.start(ctx, r.edgeURLs(), s.Seed, p.callInterval)
	stopWatching := r.watchVersions()
	stopAccounts, accountsStarted := func() {}, time.Now()
	if s.Duties {
		stopAccounts = r.startAccounts()
	}
	if err := r.injectFaults(); err != nil {
		return r.report, err
	}
	r.settle()
	r.calm.Store(true)
	faultsEnded := time.Now()
	r.sleep(faultFreeTime)
	stopCallers()
	stopWatching()
	stopAccounts()
	if s.Duties {
		accountsStopped := time.Now()
		r.sleep(usageLate)
		r.checkUsage(accountsStarted, accountsStopped)
	}
	if err := ctx.Err(); err != nil {
		return r.report, err
	}
	r.checkGuarantees(faultsEnded)
	return r.report, nil
}

// startSites starts the backend servers and the nodes.
func (r *soakRun) startSites() error {
	peers, p := []string{}, r.soak.profile()
	if r.duty != nil {
		p.limitSettings += r.duty.dutySettings()
	}
	for i := range r.soak.Sites {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errorx.Decorate(err, "start a backend server")
		}
		zone := fmt.Sprintf("z%d", 1+i%3)
		s := &site{name: fmt.Sprintf("lending-%s-%d", zone, i+1), zone: zone, service: "lending", version: "1", command: r.soak.NodeCommand}
		s.onExitFailure = func(s *site, err error) {
			r.reportViolation("node %s exited unexpectedly or failed to stop: %v; its log is %s", s.name, err, s.logFile)
		}
		if r.soak.Stops {
			s.onGraceEnd = func(s *site, threads string) {
				r.reportSlow("node %s still ran %s after SIGTERM and was killed at %s: %s", s.name, grace, time.Now().Format("15:04:05.000"), threads)
			}
		}
		s.backend = &gtfake.Backend{ServiceTimeOf: r.serviceTimeOf(p), Name: s.name, Slots: 4 * p.slots, ServiceTime: p.serviceTime, Jitter: p.jitter, CrashDowntime: backendDowntime}
		go func() { _ = s.backend.Run(r.ctx, ln) }()
		if err := s.writeSettings(r.ctx, r.soak.Dir, ln.Addr().String(), r.cluster.StoreURL(), peers, p); err != nil {
			return err
		}
		r.sites = append(r.sites, s)
		if len(peers) < 3 {
			peers = append(peers, s.peerAddress)
		}
		if err := s.start(); err != nil {
			return err
		}
	}
	return nil
}

// serviceTimeOf returns the function for the service times of the backend servers, or nil if
// they don't depend on the request.
func (r *soakRun) serviceTimeOf(p profile) func(path, body string) time.Duration {
	if p.serviceTime > 0 {
		return nil
	}
	return func(path, body string) time.Duration {
		for _, route := range p.routes {
			if strings.HasPrefix(path, route.path) {
				return route.serviceTime(body, r.calm.Load())
			}
		}
		return 0
	}
}

func (r *soakRun) edgeURLs() []string {
	var urls []string
	for _, s := range r.sites {
		urls = append(urls, s.edgeURL)
	}
	return urls
}

// plan returns the faults of the run.
func (s *Soak) plan() []fault {
	if s.Stops {
		stops := planStops(s.Seed, s.FaultTime, s.Sites)
		if s.Pauses {
			stops = append(stops, planPauses(s.Seed, s.FaultTime, s.Sites)...)
			slices.SortFunc(stops, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
		}
		return stops
	}
	if s.Duties {
		return planHolderFaults(s.Seed, s.FaultTime)
	}
	return planFaults(s.Seed, s.FaultTime, s.Sites)
}

// injectFaults injects all planned faults, each in its own goroutine, and waits
// until they have ended.
func (r *soakRun) injectFaults() error {
	stopBusy, err := startBusy(r.soak.Busy)
	if err != nil {
		return err
	}
	defer stopBusy()
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for _, f := range r.soak.plan() {
		r.sleep(f.at - time.Since(start))
		if err := r.ctx.Err(); err != nil {
			return err
		}
		r.report.Faults++
		wg.Go(func() { r.inject(f) })
	}
	return nil
}

// settle undoes what overlapping faults can leave behind: it resumes paused nodes,
// starts stopped ones and clears the store's faults. Then it pushes a last change
// and waits until it is active on all nodes.
func (r *soakRun) settle() {
	for _, s := range r.sites {
		s.signal(syscall.SIGCONT, false)
		r.startNode(s)
	}
	r.cluster.Store().SetFaults(gtfake.StoreFaults{})
	r.pushChange(func() { r.routeNumber++ })
	start := time.Now()
	if !r.pollUntil(settleTimeout, r.converged) {
		r.reportViolation("the last configuration isn't active on all nodes %s after the faults ended", settleTimeout)
		return
	}
	took := time.Since(start)
	r.report.PropagationMS = took.Milliseconds()
	if took > maxPropagationTime {
		r.reportSlow("the last configuration was active on all nodes %s after the faults ended; the limit is %s", took.Round(time.Millisecond), maxPropagationTime)
	}
	// Gives concurrency limits and routing time to recover from the faults.
	r.sleep(maxPropagationTime)
}

// stopSites kills the nodes and closes the proxies. Violations aren't reported any
// more from then on.
func (r *soakRun) stopSites() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	for _, s := range r.sites {
		s.signal(syscall.SIGKILL, true)
		s.closeProxies()
	}
}

// pushChange applies a change to the configuration and pushes it to the store. It
// retries for up to pushTimeout and then reports the failure.
func (r *soakRun) pushChange(apply func()) {
	r.pushMu.Lock()
	defer r.pushMu.Unlock()
	apply()
	var err error
	for start := time.Now(); time.Since(start) < pushTimeout && r.ctx.Err() == nil; r.sleep(pollInterval) {
		if err = r.cluster.Push(r.configFiles()); err == nil {
			return
		}
	}
	r.reportSlow("failed to push a configuration change: %v", err)
}

// configFiles returns the files of the configuration folder by name.
func (r *soakRun) configFiles() map[string]string {
	routes, open := r.soak.profile().routes, ""
	if r.soak.Duties {
		open = "open = true\n"
	}
	text := fmt.Sprintf("[service.lending]\nversion = \"1\"\ntimeout = %q\n", routes[0].timeout)
	for _, route := range routes {
		text += fmt.Sprintf("[route.%s]\nservice = \"lending\"\npath = %q\ntimeout = %q\n%s", strings.Trim(route.path, "/"), route.path, route.timeout, open)
	}
	text += fmt.Sprintf("[route.n%d]\nservice = \"lending\"\npath = \"/n%d\"\n%s", r.routeNumber, r.routeNumber, open)
	if r.soak.Duties {
		text += usageConfig()
	}
	for _, zone := range []string{"z1", "z2", "z3"} {
		if r.zoneDrains[zone] > 0 {
			text += fmt.Sprintf("[zone.%s]\nout = true\n", zone)
			break // only one zone at a time is drained, as in production
		}
	}
	return map[string]string{"10.toml": text}
}

// converged reports whether all nodes know each other, have the same active version
// and serve the newest route.
func (r *soakRun) converged() bool {
	checksum := ""
	for _, s := range r.sites {
		st, ok := s.fetchStatus()
		if !ok || st.Version == 0 || st.Members != len(r.sites) || checksum != "" && st.Checksum != checksum {
			return false
		}
		checksum = st.Checksum
	}
	return r.servesNewestRoute()
}

// servesNewestRoute reports whether each node serves the newest route. It asks all at once,
// as a response may take long.
func (r *soakRun) servesNewestRoute() bool {
	load := &gtcluster.Load{Method: "GET", Path: fmt.Sprintf("/n%d", r.routeNumber), Timeout: time.Second}
	load.CreateClient()
	var missing atomic.Int64
	var wg sync.WaitGroup
	for _, s := range r.sites {
		wg.Go(func() {
			if load.Send(s.edgeURL, "probe", false).Status == 404 {
				missing.Add(1)
			}
		})
	}
	wg.Wait()
	return missing.Load() == 0
}

// watchVersions polls the active versions until the returned function is called.
// It reports a node whose active version decreases while its process runs.
func (r *soakRun) watchVersions() func() {
	ctx, cancel := context.WithCancel(r.ctx)
	var wg sync.WaitGroup
	for _, s := range r.sites {
		wg.Go(func() {
			lastPID, lastVersion := 0, int64(0)
			for gttimer.Sleep(ctx, pollInterval) == nil {
				pid := s.pid()
				st, ok := s.fetchStatus()
				if !ok || pid != s.pid() {
					continue
				}
				if pid == lastPID && st.Version < lastVersion {
					r.reportViolation("active version of node %s went back from %d to %d", s.name, lastVersion, st.Version)
				}
				lastPID, lastVersion = pid, st.Version
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// pollUntil polls condition until it is true. It returns false if the timeout or
// the run's context ends first.
func (r *soakRun) pollUntil(timeout time.Duration, condition func() bool) bool {
	for start := time.Now(); time.Since(start) < timeout && r.ctx.Err() == nil; r.sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}

// sleep waits for d or until the run's context ends.
func (r *soakRun) sleep(d time.Duration) { _ = gttimer.Sleep(r.ctx, d) }

// reportViolation adds a violated guarantee to the report.
func (r *soakRun) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
	}
}

// reportSlow adds an operation that exceeded its time limit to the report.
func (r *soakRun) reportSlow(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.TooSlow = append(r.report.TooSlow, fmt.Sprintf(format, args...))
}
