package gtsoak

import (
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwittide/core/request/gtkind"
)

// profile is the kind of load of a run, and the settings that go with it.
type profile struct {
	serviceTime   time.Duration // mean service time of the backend servers
	jitter        float64       // share by which it varies
	slots         int           // of each node
	callInterval  time.Duration // mean time between two requests of one caller
	timeout       time.Duration // of each request, in the configuration
	fixedLimit    bool          // the nodes' concurrency limit doesn't adapt
	limitSettings string        // further settings of each node
}

// faultProfile is for random faults: many short requests.
var faultProfile = profile{serviceTime: 8 * time.Millisecond, jitter: 0.5, slots: 10, callInterval: 25 * time.Millisecond, timeout: 2 * time.Second}

// stopProfile is for planned stops: requests that take longer than the nodes' keep-alive
// timeout and nearly as long as theirs, and nodes that shut down as on the users' platform.
var stopProfile = profile{
	serviceTime: 1200 * time.Millisecond, jitter: 0.95, slots: 60, callInterval: 150 * time.Millisecond, timeout: 2500 * time.Millisecond, fixedLimit: true,
	limitSettings: "[limit]\nlinger = \"2.1s\"\nquiet = \"400ms\"\ndrain = \"5.2s\"\n",
}

// profile returns the profile of the run.
func (s *Soak) profile() profile {
	if s.Stops {
		return stopProfile
	}
	return faultProfile
}

const (
	// meanStopTime is the mean time that each node spends between two planned stops.
	meanStopTime = 10 * time.Second
	// maxStopDowntime bounds the time for which a stopped node stays down.
	maxStopDowntime = time.Second
	// stopsTogether is the number of nodes that are stopped at the same moment.
	stopsTogether = 3
	// timeoutMargin is the time before a request's timeout from which it counts as
	// reached.
	timeoutMargin = 50 * time.Millisecond
)

// stopKinds lists the kinds of planned work in a run of planned stops.
var stopKinds = []string{"term", "term", "term", "term", "term", "hup", "change", "together"}

// planStops draws planned stops of a run of length d at random, which overlap: a node may
// be told to stop again while it stops.
func planStops(seed uint64, d time.Duration, sites int) []fault {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var stops []fault
	for at := firstFaultAt; at < d; at += time.Duration(rnd.ExpFloat64() * float64(meanStopTime) / float64(sites)) {
		stops = append(stops, fault{
			kind: stopKinds[rnd.IntN(len(stopKinds))], at: at, site: rnd.IntN(sites),
			duration: time.Duration(rnd.Float64() * float64(maxStopDowntime)),
		})
	}
	return stops
}

// restartTogether restarts some nodes at the same moment.
func (r *soakRun) restartTogether(f fault) {
	var wg sync.WaitGroup
	for i := range min(stopsTogether, len(r.sites)) {
		wg.Go(func() { r.restartNode(r.sites[(f.site+i)%len(r.sites)], f.duration) })
	}
	wg.Wait()
}

// checkNothingBrokenOff checks, in a run of planned stops, that no request was broken off:
// that each got the response of its backend server, or a refusal that says that it has not
// run, unless its timeout was reached or no connection was made.
func (r *soakRun) checkNothingBrokenOff(c call) {
	for _, a := range c.attempts {
		switch {
		case a.Duration >= stopProfile.timeout-timeoutMargin:
		case a.Status != 0 && (a.Kind == "" || a.saysNotRun()):
		case a.Kind == gtkind.OutcomeUnknown.String(): // of a key whose first request ran elsewhere
		case a.Status == 0 && errors.Is(a.Err, syscall.ECONNREFUSED):
		default:
			r.reportViolation("a %s request %s to %s was broken off at %s, after %s: %s, %v", c.method, strings.TrimSpace(a.Body), r.sites[a.site].name,
				a.SentAt.Add(a.Duration).Format("15:04:05.000"), a.Duration, outcome(a), a.Err)
		}
	}
}

// startBusy starts n goroutines that only compute, as a machine has that is short of
// processor time. The returned function ends them.
func startBusy(n int) func() {
	quit := make(chan struct{})
	for range n {
		go func() {
			for x := uint64(1); ; x = x*6364136223846793005 + 1 {
				if x&0xfffff == 0 {
					select {
					case <-quit:
						return
					default:
					}
				}
			}
		}()
	}
	return func() { close(quit) }
}
