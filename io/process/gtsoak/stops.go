package gtsoak

import (
	"errors"
	"fmt"
	"hash/fnv"
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
	routes        []loadRoute   // of the callers' requests
	resends       int           // of a request with an idempotency key, at most
	proxies       bool          // in front of the nodes, for network faults
	fixedLimit    bool          // the nodes' concurrency limit doesn't adapt
	limitSettings string        // further settings of each node
}

// loadRoute is a route of the callers' requests. Its requests take up to maxShare of its
// timeout, or, if that is 0, the service time of the profile.
type loadRoute struct {
	path     string
	timeout  time.Duration // in the configuration
	maxShare float64
}

// serviceTime returns the service time of a request, which its body determines. calm is set
// once the planned work has ended: then a request takes at most half of its timeout, so
// that one that fails is not just late.
func (r loadRoute) serviceTime(body string, calm bool) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(body))
	share := r.maxShare * float64(h.Sum32()%serviceTimeSteps) / serviceTimeSteps
	if calm {
		share /= 2
	}
	return time.Duration(share * float64(r.timeout))
}

// serviceTimeSteps is the number of different service times of a route.
const serviceTimeSteps = 1000

// faultProfile is for random faults: many short requests.
var faultProfile = profile{serviceTime: 8 * time.Millisecond, jitter: 0.5, slots: 10, callInterval: 25 * time.Millisecond, resends: 3, proxies: true, routes: []loadRoute{{path: "/lending", timeout: 2 * time.Second}}}

// stopProfile is for planned stops: requests that take nearly as long as their timeout, some
// longer than the nodes' keep-alive timeout, others with a timeout below it, and nodes that
// shut down as on the users' platform.
var stopProfile = profile{
	slots: 60, callInterval: 150 * time.Millisecond, fixedLimit: true,
	routes: []loadRoute{
		{path: "/lending", timeout: 2500 * time.Millisecond, maxShare: 0.95},
		{path: "/brief", timeout: 1500 * time.Millisecond, maxShare: 0.93},
		{path: "/long", timeout: 4 * time.Second, maxShare: 0.95},
	},
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
	// earlyInStop is how long after SIGTERM callers may send requests that outlast the
	// stop.
	earlyInStop = 3 * time.Second
	// meanPauseInterval is the mean time between two series of pauses of one node.
	meanPauseInterval = 6 * time.Second
	// maxPauses is the largest number of pauses in a series, maxPauseTime bounds each of
	// them, and maxPauseGap the time between two.
	maxPauses    = 4
	maxPauseTime = 1500 * time.Millisecond
	maxPauseGap  = 500 * time.Millisecond
)

// stopKinds lists the kinds of planned work in a run of planned stops.
var stopKinds = []string{"term", "term", "term", "term", "twice", "hup", "change", "change and term", "together"}

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

// planPauses draws series of pauses of a run of length d at random, as nodes have that are
// short of processor time.
func planPauses(seed uint64, d time.Duration, sites int) []fault {
	rnd := rand.New(rand.NewPCG(seed, pauseStream))
	var pauses []fault
	for at := firstFaultAt; at < d; at += time.Duration(rnd.ExpFloat64() * float64(meanPauseInterval) / float64(sites)) {
		site := rnd.IntN(sites)
		for from, n := at, 1+rnd.IntN(maxPauses); n > 0; n-- {
			p := fault{kind: "pause", at: from, site: site, duration: time.Duration(rnd.Float64() * float64(maxPauseTime))}
			pauses = append(pauses, p)
			from += p.duration + time.Duration(rnd.Float64()*float64(maxPauseGap))
		}
	}
	return pauses
}

// pauseStream is the stream of random numbers that pauses are drawn from.
const pauseStream = 1 << 32

// restartTwice is like restartNode, with a second SIGTERM during the stop.
func (r *soakRun) restartTwice(s *site, downtime time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.restartNode(s, downtime) })
	r.sleep(downtime)
	wg.Go(func() { r.restartNode(s, downtime) })
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
func (r *soakRun) checkNothingBrokenOff(c call, ran []ranAt) {
	for _, a := range c.attempts {
		switch {
		case a.Duration >= c.timeout-timeoutMargin:
		case a.Status != 0 && (a.Kind == "" || a.saysNotRun()):
		case a.Kind == gtkind.OutcomeUnknown.String(): // of a key whose first request ran elsewhere
		case a.Status == 0 && errors.Is(a.Err, syscall.ECONNREFUSED):
		case a.crossedClose() && len(ran) == 0:
		case r.outlastedGrace(a, ran):
		default:
			r.reportViolation("a %s request %s to %s was broken off at %s, after %s of %s: %s, %v; %s", c.method, strings.TrimSpace(a.Body), r.sites[a.site].name,
				a.SentAt.Add(a.Duration).Format("15:04:05.000"), a.Duration.Round(time.Millisecond), c.timeout, outcome(a), a.Err, r.stage(a, ran))
		}
	}
}

// crossedClose reports whether the client got the notice of the node's close before it sent
// the request on that connection.
func (a attempt) crossedClose() bool {
	return a.Status == 0 && a.Err != nil && strings.Contains(a.Err.Error(), "server closed idle connection")
}

// outlastedGrace reports whether a request was sent early in the stop of the node that took
// it, and a backend server was at work on it when the grace time ended: no node can keep
// such a request.
func (r *soakRun) outlastedGrace(a attempt, ran []ranAt) bool {
	end := a.SentAt.Add(a.Duration)
	begun, ok := r.sites[a.site].stopBegun(end)
	return ok && len(ran) > 0 && a.SentAt.Before(begun.Add(earlyInStop)) && end.After(begun.Add(lateInGrace))
}

// stage describes what was under way at the node that took a request, and at those beside
// the backend servers that ran it, when it was sent and when it ended.
func (r *soakRun) stage(a attempt, ran []ranAt) string {
	at := func(s *site) string {
		return fmt.Sprintf("%s [%s] to [%s]", s.name, s.disturbedAt(a.SentAt), s.disturbedAt(a.SentAt.Add(a.Duration)))
	}
	text := "taken at " + at(r.sites[a.site])
	for _, e := range ran {
		text += fmt.Sprintf(", ran after %s at %s", e.startedAt.Sub(a.SentAt).Round(time.Millisecond), at(e.site))
	}
	return text
}
