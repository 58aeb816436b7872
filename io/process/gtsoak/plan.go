package gtsoak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"godwittide/io/process/gtfake"
)

const (
	// firstFaultAt is the time of the first fault, when the callers have started.
	firstFaultAt = 2 * time.Second
	// meanFaultInterval is the mean time between two faults.
	meanFaultInterval = 600 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// seriesDowntime is the time for which each node stays down in a series of
	// restarts.
	seriesDowntime = 300 * time.Millisecond
)

// fault is one planned fault: its kind, its time from the start of the run, its
// duration, and the index of the site that it affects.
type fault struct {
	kind     string
	at       time.Duration
	duration time.Duration
	site     int
	// ofHolder means that it affects the holder of the duty in place of the site.
	ofHolder bool
}

// faultKinds lists the kinds of faults; inject defines each of them. A kind is drawn
// in proportion to its number of entries.
var faultKinds = []string{
	"kill", "kill", "term", "term", "freeze", "freeze", "hup", "series",
	"crash", "slow", "fail", "cut",
	"late", "oneway", "silent", "reset",
	"store down", "store slow", "store loses", "store silent",
	"change", "change", "change", "out",
}

// planFaults draws the faults of a run of length d at random. The same seed gives
// the same faults.
func planFaults(seed uint64, d time.Duration, sites int) []fault {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var faults []fault
	for at := firstFaultAt; at < d; at += time.Duration(rnd.ExpFloat64() * float64(meanFaultInterval)) {
		faults = append(faults, fault{
			kind: faultKinds[rnd.IntN(len(faultKinds))], at: at, site: rnd.IntN(sites),
			duration: minFaultDuration + time.Duration(rnd.Float64()*float64(maxFaultDuration-minFaultDuration)),
		})
	}
	return faults
}

// inject injects a fault and returns when it has ended.
func (r *soakRun) inject(f fault) {
	if f.ofHolder {
		f.site = r.holderSite()
	}
	s := r.sites[f.site]
	switch f.kind {
	case "kill":
		defer s.beginDisturbance("kill")()
		s.signal(syscall.SIGKILL, true)
		r.sleep(f.duration)
		r.startNode(s)
	case "term":
		r.restartNode(s, f.duration)
	case "series":
		for _, s := range r.sites {
			r.restartNode(s, seriesDowntime)
		}
	case "twice":
		r.restartTwice(s, f.duration)
	case "change and term":
		r.pushChange(func() { r.routeNumber++ })
		r.restartNode(s, f.duration)
	case "pause":
		s.pause(f.duration, r.sleep)
	case "together":
		r.restartTogether(f)
	case "freeze":
		defer s.beginDisturbance(f.kind)()
		s.signal(syscall.SIGSTOP, false)
		r.sleep(f.duration)
		s.signal(syscall.SIGCONT, false)
	case "hup":
		s.signal(syscall.SIGHUP, false)
	case "crash":
		defer s.beginDisturbance(f.kind)()
		s.backend.Crash()
		r.sleep(backendDowntime)
	case "slow":
		r.injectBackendFault(s, f, gtfake.BackendFaults{SlowMS: 150})
	case "fail":
		r.injectBackendFault(s, f, gtfake.BackendFaults{ErrorShare: 0.3})
	case "cut":
		r.injectBackendFault(s, f, gtfake.BackendFaults{TruncateShare: 0.3})
	case "late":
		r.injectNetworkFault(s, f, modeDelay)
	case "oneway":
		r.injectNetworkFault(s, f, modeOneWay)
	case "silent":
		r.injectNetworkFault(s, f, modeBlackhole)
	case "reset":
		r.injectNetworkFault(s, f, modeReset)
	case "store down":
		r.injectStoreFault(f, gtfake.StoreFaults{Down: true})
	case "store slow":
		r.injectStoreFault(f, gtfake.StoreFaults{SlowMS: 400})
	case "store loses":
		r.injectStoreFault(f, gtfake.StoreFaults{LoseResponseShare: 0.5})
	case "store silent":
		r.injectStoreFault(f, gtfake.StoreFaults{StallWatches: true})
	case "change":
		r.pushChange(func() { r.routeNumber++ })
	case "out":
		r.drainZone(s.zone, f.duration)
	}
}

// startNode starts the node of a site, unless it is running already, and reports a
// failure.
func (r *soakRun) startNode(s *site) {
	if err := s.start(); err != nil {
		r.reportViolation("node %s failed to start: %s", s.name, err)
	}
}

// restartNode shuts a node down gracefully and starts it again after downtime.
func (r *soakRun) restartNode(s *site, downtime time.Duration) {
	defer s.beginDisturbance("term")()
	s.signal(syscall.SIGTERM, true)
	r.sleep(downtime)
	r.startNode(s)
}

func (r *soakRun) injectBackendFault(s *site, f fault, bf gtfake.BackendFaults) {
	defer s.beginDisturbance(f.kind)()
	s.backend.SetFaults(bf)
	r.sleep(f.duration)
	s.backend.SetFaults(gtfake.BackendFaults{})
}

func (r *soakRun) injectNetworkFault(s *site, f fault, mode proxyMode) {
	defer s.beginDisturbance(f.kind)()
	s.hop.setMode(mode)
	s.peer.setMode(mode)
	r.sleep(f.duration)
	s.hop.setMode(modePass)
	s.peer.setMode(modePass)
}

func (r *soakRun) injectStoreFault(f fault, sf gtfake.StoreFaults) {
	for _, s := range r.sites {
		defer s.beginDisturbance(f.kind)()
	}
	r.cluster.Store().SetFaults(sf)
	r.sleep(f.duration)
	r.cluster.Store().SetFaults(gtfake.StoreFaults{})
}

// drainZone drains a zone, keeps it drained for maxDrainTime+d and then undoes the
// drain.
func (r *soakRun) drainZone(zone string, d time.Duration) {
	r.pushChange(func() { r.zoneDrains[zone]++ })
	from := time.Now()
	r.sleep(maxDrainTime + d)
	r.mu.Lock()
	r.drainPeriods = append(r.drainPeriods, drainPeriod{zone: zone, from: from, to: time.Now()})
	r.mu.Unlock()
	r.pushChange(func() { r.zoneDrains[zone]-- })
}
