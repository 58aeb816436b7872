package gtsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/core/process/gttimer"
	"godwittide/io/process/gtcluster"
)

const (
	// RolloutTime is the usual time from the order of a rollout to its deadline.
	RolloutTime = 16 * time.Second
	// SteadyTime is the usual time under load before the order. The old version's backend
	// servers have then run for longer than a node takes a new one to be cold.
	SteadyTime = 11 * time.Second
	// moveWatchPercent, minMoveWatchTime and moveMargin define the move that the
	// platform's adapter makes of a rollout.
	moveWatchPercent = 16
	minMoveWatchTime = 2 * time.Second
	moveMargin       = time.Second
	// afterTime is the time under load after the deadline.
	afterTime = time.Second
	// minRolloutRate and maxRolloutRate bound the rate of requests for the service.
	minRolloutRate, maxRolloutRate = 60, 220

	// movedService is the service with the rollout, and otherService one whose nodes send
	// requests to it.
	movedService, otherService = "lending", "desk"
	oldVersion, newVersion     = "v1", "v2"
	readPath, holdPath         = "/lending/reads", "/lending/holds"
)

// rolloutProfile sets up nodes as the platform's adapter does.
var rolloutProfile = profile{
	slots: 12, fixedLimit: true, proxies: true, routes: []loadRoute{{path: "/lending", timeout: 2 * time.Second}},
	limitSettings: "[limit]\nlinger = \"2.1s\"\nquiet = \"400ms\"\ndrain = \"5.2s\"\n",
}

// Rollout configures one run of a rollout beside a trouble. Its fields are set before
// Run. The seed determines the rate of requests, the number of backend servers and the
// times of the trouble.
type Rollout struct {
	// NodeCommand is the command that runs a node, as in Soak.
	NodeCommand []string
	// Dir is the directory for the nodes' settings files and logs.
	Dir  string
	Seed uint64
	// Kind is one of RolloutKinds. Trouble is one of RolloutTroubles.
	Kind, Trouble string
	// RolloutTime is the time from the order to the deadline, and SteadyTime the time
	// under load before the order.
	RolloutTime, SteadyTime time.Duration
}

// rolloutRun is the state of a running rollout.
type rolloutRun struct {
	*soakRun
	rollout           *Rollout
	rnd               *rand.Rand
	old, new, others  []*site
	servers           map[*site]*rolloutServer
	rate              float64
	minTime, maxTime  time.Duration
	moveID            string
	orderedAt         time.Time
	sendsMu           sync.Mutex
	sends             map[string]send // by the request's ID
	statesMu          sync.Mutex
	states            []moveSample
	trafficEnded      context.CancelFunc
	traffic, sampling sync.WaitGroup
}

// send is a request of a caller: the site at which it entered, and its outcome.
type send struct {
	entry *site
	gtcluster.Result
}

// moveSample is the state of the move as a node showed it.
type moveSample struct {
	at    time.Time
	node  string
	phase string
	share float64
}

// Run plays the rollout and returns its report. It returns an error if the nodes or
// the stand-ins can't be started, or if ctx ends first.
func (o *Rollout) Run(ctx context.Context) (RolloutReport, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	soak := &Soak{NodeCommand: o.NodeCommand, Dir: o.Dir, Seed: o.Seed}
	r := &rolloutRun{
		soakRun: &soakRun{soak: soak, ctx: ctx, cluster: &gtcluster.Cluster{Log: zerolog.Nop()}, report: Report{Seed: o.Seed}},
		rollout: o, rnd: rand.New(rand.NewPCG(o.Seed, 3)), servers: map[*site]*rolloutServer{}, sends: map[string]send{},
	}
	if err := r.cluster.Open(ctx); err != nil {
		return RolloutReport{}, err
	}
	defer r.cluster.Close()
	defer r.stopSites()
	if err := r.startOldVersion(); err != nil {
		return RolloutReport{}, err
	}
	r.startTraffic()
	r.sleep(o.SteadyTime)
	if err := r.order(); err != nil {
		return RolloutReport{}, err
	}
	var troubles sync.WaitGroup
	for name := range strings.SplitSeq(o.Trouble, "+") {
		own := rand.New(rand.NewPCG(r.rnd.Uint64(), r.rnd.Uint64()))
		troubles.Go(func() { r.playTrouble(name, own) })
	}
	r.sleep(o.RolloutTime + afterTime)
	r.trafficEnded()
	r.traffic.Wait()
	troubles.Wait()
	r.sampling.Wait()
	if err := ctx.Err(); err != nil {
		return RolloutReport{}, errorx.Decorate(err, "run the rollout with seed %d", o.Seed)
	}
	return r.check(), nil
}

// startOldVersion starts the nodes and backend servers of the old version and those of
// the other service, and the move's files without the move.
func (r *rolloutRun) startOldVersion() error {
	r.rate = minRolloutRate + r.rnd.Float64()*(maxRolloutRate-minRolloutRate)
	r.minTime = 5*time.Millisecond + time.Duration(r.rnd.IntN(10))*time.Millisecond
	r.maxTime = 4 * r.minTime
	for i := range 3 + r.rnd.IntN(2) {
		if err := r.addSite(&r.old, i, movedService, oldVersion, ""); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := r.addSite(&r.others, i, otherService, oldVersion, ""); err != nil {
			return err
		}
	}
	if err := r.push(r.files()); err != nil {
		return err
	}
	if !r.pollUntil(startTimeout, r.allActive) {
		return errorx.TimeoutElapsed.New("start the nodes: the first configuration isn't active on all of them; see their logs in %s", r.rollout.Dir)
	}
	return nil
}

// allActive reports whether all nodes know each other and have a configuration.
func (r *rolloutRun) allActive() bool {
	for _, s := range r.sites {
		if st, ok := s.fetchStatus(); !ok || st.Version == 0 || st.Members != len(r.sites) {
			return false
		}
	}
	return true
}

// addSite starts a backend server and its node, and adds the site to a group.
func (r *rolloutRun) addSite(group *[]*site, i int, service, version, kind string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errorx.Decorate(err, "start a backend server")
	}
	zone := fmt.Sprintf("z%d", 1+i%3)
	s := &site{name: fmt.Sprintf("%s-%s-%s-%d", service, version, zone, i+1), zone: zone, service: service, version: version, command: r.rollout.NodeCommand}
	s.onExitFailure = func(s *site, err error) {
		r.reportViolation("node %s exited unexpectedly or failed to stop: %v; its log is %s", s.name, err, s.logFile)
	}
	b := &rolloutServer{site: s, kind: kind, minTime: r.minTime, maxTime: r.maxTime, startedAt: time.Now(), slots: make(chan struct{}, rolloutProfile.slots)}
	go b.run(r.ctx, ln)
	peers := []string{}
	for _, known := range r.sites[:min(3, len(r.sites))] {
		peers = append(peers, known.peerAddress)
	}
	if err := s.writeSettings(r.ctx, r.rollout.Dir, ln.Addr().String(), r.cluster.StoreURL(), peers, rolloutProfile); err != nil {
		return err
	}
	r.sites, r.servers[s] = append(r.sites, s), b
	*group = append(*group, s)
	return s.start()
}

// files returns the configuration without the move. The services name no version, as
// those of the platform's adapter.
func (r *rolloutRun) files() map[string]string {
	text := ""
	for _, service := range []string{movedService, otherService} {
		text += fmt.Sprintf("[service.%s]\ntimeout = %q\n", service, rolloutProfile.routes[0].timeout)
	}
	text += fmt.Sprintf("[route.reads]\nservice = %q\npath = %q\nrepeat = true\n[route.holds]\nservice = %q\npath = %q\n[route.desk]\nservice = %q\npath = \"/desk\"\n",
		movedService, readPath, movedService, holdPath, otherService)
	return map[string]string{"10.toml": text}
}

// order pushes the move and starts the nodes and backend servers of the new version.
func (r *rolloutRun) order() error {
	files, watch := r.files(), max(r.rollout.RolloutTime*moveWatchPercent/100, minMoveWatchTime)
	files["20.toml"] = fmt.Sprintf("[move.r1]\nservice = %q\nfrom = \"*\"\nto = %q\nwithin = %q\nwatch = %q\n", movedService, newVersion, r.rollout.RolloutTime-watch-moveMargin, watch)
	var err error
	if r.moveID, err = moveIDOf(files); err != nil {
		return err
	}
	r.orderedAt = time.Now()
	if err := r.push(files); err != nil {
		return err
	}
	kind := r.rollout.Kind
	if kind == kindGood {
		kind = ""
	}
	for i := range len(r.old) {
		if err := r.addSite(&r.new, i, movedService, newVersion, kind); err != nil {
			return err
		}
	}
	r.sampling.Go(r.sampleMove)
	return nil
}

// push pushes the files, again and again for up to pushTimeout.
func (r *rolloutRun) push(files map[string]string) error {
	var err error
	for start := time.Now(); time.Since(start) < pushTimeout && r.ctx.Err() == nil; r.sleep(pollInterval) {
		if err = r.cluster.Push(files); err == nil {
			return nil
		}
	}
	return errorx.Decorate(err, "push the configuration")
}

// startTraffic starts callers at the nodes that run now, with connections of their own,
// until trafficEnded is called.
func (r *rolloutRun) startTraffic() {
	ctx, cancel := context.WithCancel(r.ctx)
	r.trafficEnded = cancel
	interval := float64(time.Second) * float64(len(r.sites)) / r.rate
	for i, s := range r.sites {
		rnd := rand.New(rand.NewPCG(r.rollout.Seed, uint64(10+i)))
		r.traffic.Go(func() { r.call(ctx, i, s, rnd, interval) })
	}
}

// call sends requests to the service at random intervals with the given mean in
// nanoseconds: two of three are GETs of one
// route, one is a POST of the other.
func (r *rolloutRun) call(ctx context.Context, i int, entry *site, rnd *rand.Rand, interval float64) {
	reads := &gtcluster.Load{Method: "GET", Path: readPath, Timeout: callTimeout}
	holds := &gtcluster.Load{Method: "POST", Path: holdPath, Timeout: callTimeout}
	reads.CreateClient()
	holds.CreateClient()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; gttimer.Sleep(ctx, time.Duration(rnd.ExpFloat64()*interval)) == nil; n++ {
		load, id := reads, fmt.Sprintf("c%d.%d.", i, n)
		if n%3 == 2 {
			load = holds
		}
		wg.Go(func() {
			result := load.Send(entry.edgeURL, id, false)
			r.sendsMu.Lock()
			defer r.sendsMu.Unlock()
			r.sends[id] = send{entry, result}
		})
	}
}

// sampleMove polls the state of the move at all nodes until the end of the traffic.
func (r *rolloutRun) sampleMove() {
	for time.Since(r.orderedAt) < r.rollout.RolloutTime+afterTime && r.ctx.Err() == nil {
		var wg sync.WaitGroup
		for _, s := range r.sites {
			wg.Go(func() {
				at := time.Now()
				st, ok := s.fetchStatus()
				if !ok || len(st.Moves) == 0 {
					return
				}
				r.statesMu.Lock()
				defer r.statesMu.Unlock()
				r.states = append(r.states, moveSample{at, s.name, st.Moves[0].Phase, st.Moves[0].Share})
			})
		}
		wg.Wait()
		r.sleep(pollInterval)
	}
}

// writeTrace writes what happened in each half second to the file trace.txt in the
// run's directory.
func (r *rolloutRun) writeTrace(text string) {
	_ = os.WriteFile(filepath.Join(r.rollout.Dir, "trace.txt"), []byte(text), 0o600)
}
