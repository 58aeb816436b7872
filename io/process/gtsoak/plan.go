package gtsoak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"godwittide/io/process/gtstand"
)

const (
	// firstFault is when faults begin; everything has started by then.
	firstFault = 2 * time.Second
	// faultEvery is the mean time between two faults.
	faultEvery = 600 * time.Millisecond
	// faultLeast and faultMost bound how long a fault lasts.
	faultLeast = 200 * time.Millisecond
	faultMost  = 4 * time.Second
	// seriesPause is the time between two restarts of a series.
	seriesPause = 300 * time.Millisecond
)

// fault is one entry of a day: what happens, when, for how long, and to which
// site.
type fault struct {
	kind  string
	at    time.Duration
	lasts time.Duration
	site  int
}

// kinds are the kinds of fault, each as often as it is to be drawn.
var kinds = []string{
	"kill", "kill", "term", "term", "freeze", "freeze", "hup", "series",
	"crash", "slow", "fail", "cut",
	"late", "oneway", "silent", "reset",
	"store down", "store slow", "store loses", "store silent",
	"change", "change", "change", "out",
}

// plan draws the faults of a day. The same seed gives the same day.
func plan(seed uint64, d time.Duration, sites int) []fault {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var faults []fault
	for at := firstFault; at < d; at += time.Duration(rnd.ExpFloat64() * float64(faultEvery)) {
		faults = append(faults, fault{
			kind: kinds[rnd.IntN(len(kinds))], at: at, site: rnd.IntN(sites),
			lasts: faultLeast + time.Duration(rnd.Float64()*float64(faultMost-faultLeast)),
		})
	}
	return faults
}

// play brings a fault about, and returns when it is over.
func (r *run) play(f fault) {
	s := r.sites[f.site]
	switch f.kind {
	case "kill":
		defer s.touch("kill")()
		s.signal(syscall.SIGKILL, true)
		r.pause(f.lasts)
		r.start(s)
	case "term":
		r.restart(s, f.lasts)
	case "series":
		for _, s := range r.sites {
			r.restart(s, seriesPause)
		}
	case "freeze":
		defer s.touch(f.kind)()
		s.signal(syscall.SIGSTOP, false)
		r.pause(f.lasts)
		s.signal(syscall.SIGCONT, false)
	case "hup":
		s.signal(syscall.SIGHUP, false)
	case "crash":
		defer s.touch(f.kind)()
		s.backend.Crash()
		r.pause(backendAway)
	case "slow":
		r.spoil(s, f, gtstand.BackendFaults{Slow: 150})
	case "fail":
		r.spoil(s, f, gtstand.BackendFaults{Fail: 0.3})
	case "cut":
		r.spoil(s, f, gtstand.BackendFaults{Cut: 0.3})
	case "late":
		r.cut(s, f, late)
	case "oneway":
		r.cut(s, f, oneWay)
	case "silent":
		r.cut(s, f, silent)
	case "reset":
		r.cut(s, f, reset)
	case "store down":
		r.storeFault(f, gtstand.StoreFaults{Down: true})
	case "store slow":
		r.storeFault(f, gtstand.StoreFaults{Slow: 400})
	case "store loses":
		r.storeFault(f, gtstand.StoreFaults{Lose: 0.5})
	case "store silent":
		r.storeFault(f, gtstand.StoreFaults{Silent: true})
	case "change":
		r.change(func() { r.routes++ })
	case "out":
		r.out(s.zone, f.lasts)
	}
}

func (r *run) start(s *site) {
	if err := s.start(); err != nil {
		r.find("%s does not start: %s", s.name, err)
	}
}

// restart stops a node gracefully and starts it again.
func (r *run) restart(s *site, away time.Duration) {
	defer s.touch("term")()
	s.signal(syscall.SIGTERM, true)
	r.pause(away)
	r.start(s)
}

func (r *run) spoil(s *site, f fault, b gtstand.BackendFaults) {
	defer s.touch(f.kind)()
	s.backend.Fail(b)
	r.pause(f.lasts)
	s.backend.Fail(gtstand.BackendFaults{})
}

func (r *run) cut(s *site, f fault, w way) {
	defer s.touch(f.kind)()
	s.hop.set(w)
	s.peer.set(w)
	r.pause(f.lasts)
	s.hop.set(pass)
	s.peer.set(pass)
}

func (r *run) storeFault(f fault, sf gtstand.StoreFaults) {
	for _, s := range r.sites {
		defer s.touch(f.kind)()
	}
	r.lab.Store().Fail(sf)
	r.pause(f.lasts)
	r.lab.Store().Fail(gtstand.StoreFaults{})
}

// out takes a zone out and brings it back.
func (r *run) out(zone string, d time.Duration) {
	r.change(func() { r.zones[zone]++ })
	from := time.Now()
	r.pause(outLimit + d)
	r.mu.Lock()
	r.outs = append(r.outs, absence{zone: zone, from: from, to: time.Now()})
	r.mu.Unlock()
	r.change(func() { r.zones[zone]-- })
}
