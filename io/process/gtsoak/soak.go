// Package gtsoak plays a day of random faults on a small site whose nodes are
// processes of their own, and checks the system's promises from what callers
// and backend servers see.
//
// # Usage
//
//	soak := &gtsoak.Soak{Node: []string{"godwittide", "node"}, Dir: dir, Seed: 7, Time: time.Minute, Sites: 6}
//	report, err := soak.Run(ctx)
//
// The faults come from outside of the nodes: signals, and proxies that delay,
// reset, cut in one direction or silence their connections. The backend servers
// and the store are stand-ins in this process and misbehave on demand. All are
// drawn from the seed, come in series and overlap. Only processes that the soak
// has started are signalled, by their ids.
package gtsoak

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"godwittide/core/process/gttimer"
	"godwittide/io/process/gtlab"
	"godwittide/io/process/gtstand"
)

const (
	// startLimit bounds the wait for the first configuration to be in force.
	startLimit = 20 * time.Second
	// forceLimit is the time within which a configuration is in force everywhere
	// once the faults have ended.
	forceLimit = 4 * time.Second
	// outLimit is the time after which a zone that was taken out gets no work.
	outLimit = 3 * time.Second
	// settleLimit is the longest wait for the same, after which it counts as
	// never.
	settleLimit = 30 * time.Second
	// calmTime is how long callers go on after that; none may fail then.
	calmTime = 2 * time.Second
	// backendAway is how long a backend server is away after a crash.
	backendAway = time.Second
	// lookEvery is the period in which the versions in force are looked at.
	lookEvery = 100 * time.Millisecond
	// changeLimit bounds the tries to write one change.
	changeLimit = 10 * time.Second
)

// Soak is one day. Its fields are set before Run.
type Soak struct {
	// Node is the program of a node and its first arguments; "--settings" and a
	// file follow.
	Node []string
	// Dir takes the settings and the logs.
	Dir string
	// Seed draws the day.
	Seed uint64
	// Time is how long faults come.
	Time time.Duration
	// Sites is the number of backend servers, in three availability zones.
	Sites int
}

// Report is what came of a day.
type Report struct {
	Seed   uint64         `json:"seed"`
	Faults int            `json:"faults"`
	Calls  map[string]int `json:"calls"`
	// Force is the time in ms until the last configuration was in force
	// everywhere after the faults.
	Force int64 `json:"force"`
	// Broken are the promises that were broken, and Slow what took longer than
	// it may.
	Broken []string `json:"broken"`
	Slow   []string `json:"slow"`
}

// absence is a time in which a zone was taken out.
type absence struct {
	zone     string
	from, to time.Time
}

// run is a day that is being played.
type run struct {
	soak  *Soak
	ctx   context.Context
	lab   *gtlab.Lab
	sites []*site
	calls callers

	mu      sync.Mutex
	over    bool
	routes  int
	zones   map[string]int
	outs    []absence
	report  Report
	writing sync.Mutex
}

// Run plays the day and returns what came of it.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{soak: s, ctx: ctx, lab: &gtlab.Lab{Log: zerolog.Nop()}, zones: map[string]int{}, report: Report{Seed: s.Seed}}
	if err := r.lab.Open(ctx); err != nil {
		return r.report, err
	}
	defer r.lab.Close()
	defer r.end()
	if err := r.build(); err != nil {
		return r.report, err
	}
	r.change(func() { r.routes++ })
	if !r.until(startLimit, r.inForce) {
		return r.report, errorx.TimeoutElapsed.New("the nodes did not start, see their logs in %s", s.Dir)
	}
	callers := r.calls.start(ctx, r.edges(), s.Seed)
	watch := r.watch()
	r.faults()
	r.settle()
	calm := time.Now()
	r.pause(calmTime)
	callers()
	watch()
	if err := ctx.Err(); err != nil {
		return r.report, errorx.Decorate(err, "play the day of seed %d", s.Seed)
	}
	r.check(calm)
	return r.report, nil
}

// build starts the backend servers and the nodes.
func (r *run) build() error {
	peers := []string{}
	for i := range r.soak.Sites {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errorx.Decorate(err, "start a backend server")
		}
		zone := fmt.Sprintf("z%d", 1+i%3)
		s := &site{name: fmt.Sprintf("lending-%s-%d", zone, i+1), zone: zone, command: r.soak.Node}
		s.ended = func(s *site, err error) { r.find("node %s ended by itself: %v; see %s", s.name, err, s.log) }
		s.backend = &gtstand.Backend{Name: s.name, Slots: 4 * slots, Work: work, Noise: 0.5, Restart: backendAway}
		go func() { _ = s.backend.Run(r.ctx, ln) }()
		if err := s.write(r.ctx, r.soak.Dir, ln.Addr().String(), r.lab.Endpoint(), peers); err != nil {
			return err
		}
		r.sites = append(r.sites, s)
		if len(peers) < 3 {
			peers = append(peers, s.peer.addr())
		}
		if err := s.start(); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) edges() []string {
	var out []string
	for _, s := range r.sites {
		out = append(out, s.edge)
	}
	return out
}

// faults plays the day's faults, each in its own thread.
func (r *run) faults() {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for _, f := range plan(r.soak.Seed, r.soak.Time, len(r.sites)) {
		r.pause(f.at - time.Since(start))
		if r.ctx.Err() != nil {
			return
		}
		r.report.Faults++
		wg.Go(func() { r.play(f) })
	}
}

// settle ends what overlapping faults have left behind, writes one more change
// and waits until it is in force everywhere.
func (r *run) settle() {
	for _, s := range r.sites {
		s.signal(syscall.SIGCONT, false)
		r.start(s)
	}
	r.lab.Store().Fail(gtstand.StoreFaults{})
	r.change(func() { r.routes++ })
	start := time.Now()
	if !r.until(settleLimit, r.inForce) {
		r.find("the last configuration is not in force everywhere %s after the faults", settleLimit)
		return
	}
	took := time.Since(start)
	r.report.Force = took.Milliseconds()
	if took > forceLimit {
		r.slow("in force everywhere %s after the faults, later than %s", took.Round(time.Millisecond), forceLimit)
	}
	// Limits and routes recover from the faults.
	r.pause(forceLimit)
}

// end ends the processes.
func (r *run) end() {
	r.mu.Lock()
	r.over = true
	r.mu.Unlock()
	for _, s := range r.sites {
		s.signal(syscall.SIGKILL, true)
		s.hop.close()
		s.peer.close()
	}
}

// change alters the operators' folder and writes it, again if it has to.
func (r *run) change(alter func()) {
	r.writing.Lock()
	defer r.writing.Unlock()
	alter()
	var err error
	for start := time.Now(); time.Since(start) < changeLimit && r.ctx.Err() == nil; r.pause(lookEvery) {
		if err = r.lab.Push(r.files()); err == nil {
			return
		}
	}
	r.slow("a change was not taken: %v", err)
}

// files returns the operators' folder.
func (r *run) files() map[string]string {
	text := "[service.lending]\nversion = \"1\"\ntimeout = \"2s\"\n[route.holds]\nservice = \"lending\"\npath = \"/lending\"\n"
	text += fmt.Sprintf("[route.n%d]\nservice = \"lending\"\npath = \"/n%d\"\n", r.routes, r.routes)
	for _, zone := range []string{"z1", "z2", "z3"} {
		if r.zones[zone] > 0 {
			text += fmt.Sprintf("[zone.%s]\nout = true\n", zone)
			break // one zone at a time, as operators would
		}
	}
	return map[string]string{"10.toml": text}
}

// inForce says whether all nodes have the version in force that the store has.
func (r *run) inForce() bool {
	want := ""
	for _, s := range r.sites {
		st, ok := s.status()
		if !ok || st.Version == 0 || st.Members != len(r.sites) || want != "" && st.Checksum != want {
			return false
		}
		want = st.Checksum
	}
	return r.served()
}

// served says whether each node routes by the newest change.
func (r *run) served() bool {
	load := &gtlab.Load{Method: "GET", Path: fmt.Sprintf("/n%d", r.routes), Limit: time.Second}
	load.Open()
	return !slices.ContainsFunc(r.sites, func(s *site) bool { return load.Send(s.edge, "probe", false).Status == 404 })
}

// watch looks at the versions in force until the function that it returns is
// called. No process may go back.
func (r *run) watch() func() {
	ctx, cancel := context.WithCancel(r.ctx)
	var wg sync.WaitGroup
	for _, s := range r.sites {
		wg.Go(func() {
			pid, last := 0, int64(0)
			for gttimer.Sleep(ctx, lookEvery) == nil {
				now := s.pid()
				st, ok := s.status()
				if !ok || now != s.pid() {
					continue
				}
				if now == pid && st.Version < last {
					r.find("node %s went back from version %d to %d", s.name, last, st.Version)
				}
				pid, last = now, st.Version
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func (r *run) until(limit time.Duration, check func() bool) bool {
	for start := time.Now(); time.Since(start) < limit && r.ctx.Err() == nil; r.pause(lookEvery) {
		if check() {
			return true
		}
	}
	return false
}

// pause waits, or until the day is given up.
func (r *run) pause(d time.Duration) { _ = gttimer.Sleep(r.ctx, d) }

func (r *run) find(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.over {
		r.report.Broken = append(r.report.Broken, fmt.Sprintf(format, args...))
	}
}

func (r *run) slow(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Slow = append(r.report.Slow, fmt.Sprintf(format, args...))
}
