package gtsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtkind"
	"godwittide/io/process/gtcluster"
)

const (
	// callTimeout bounds the time of one attempt.
	callTimeout = 5 * time.Second
	// resendDelay is the wait before each resend.
	resendDelay = 150 * time.Millisecond
)

// call is one request with all its attempts. keyed requests carry an idempotency
// key.
type call struct {
	method   string
	timeout  time.Duration // of its route
	keyed    bool
	attempts []attempt
}

// attempt is one attempt to send a request to a site, with its result.
type attempt struct {
	site int
	gtcluster.Result
}

// saysNotRun reports whether the response guarantees that the request did not
// run.
func (a attempt) saysNotRun() bool { return a.Certainty == gtkind.NotRun.String() }

// callers sends requests to all sites and records the outcomes.
type callers struct {
	routes  []loadRoute     // set before start
	resends int             // of a request with an idempotency key, at most; set before start
	onError func(err error) // called with the error of each attempt; set before start

	mu       sync.Mutex
	finished []call
}

// start starts two callers for each site, with connections of their own: one that waits for
// each response, and one that sends requests ahead. The returned function stops the callers and waits until their calls have finished. If runCtx
// ends, requests aren't resent any more.
func (c *callers) start(runCtx context.Context, edgeURLs []string, seed uint64, interval time.Duration) func() {
	ctx, cancel := context.WithCancel(runCtx)
	var wg sync.WaitGroup
	for i := range edgeURLs {
		wg.Go(func() { c.run(ctx, runCtx, i, edgeURLs, rand.New(rand.NewPCG(seed, uint64(2+i))), interval) })
		wg.Go(func() { c.runAhead(ctx, i, edgeURLs[i], rand.New(rand.NewPCG(seed, uint64(aheadStream+i))), interval) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// run is caller i. Until ctx ends it starts calls at random intervals: half of
// them GET, a quarter POST, and a quarter POST with an idempotency key. The first
// attempt goes to site i, resends go to random sites.
func (c *callers) run(ctx, runCtx context.Context, i int, edgeURLs []string, rnd *rand.Rand, interval time.Duration) {
	loads := c.loads()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; gttimer.Sleep(ctx, time.Duration(rnd.ExpFloat64()*float64(interval))) == nil; n++ {
		body := fmt.Sprintf("c%d.%d.", i, n)
		route := n / callsOfRound % len(c.routes)
		load, timeout := loads[route][n%callsOfRound], c.routes[route].timeout
		targets := []int{i}
		for range c.resends {
			targets = append(targets, rnd.IntN(len(edgeURLs)))
		}
		wg.Go(func() { c.addFinished(c.perform(runCtx, load, timeout, body, edgeURLs, targets)) })
	}
}

// callsOfRound is the number of calls in a round: two GET, a POST and a POST with an
// idempotency key, to one route.
const callsOfRound = 4

// loads returns the calls of a round for each route, with connections of their own.
func (c *callers) loads() [][callsOfRound]*gtcluster.Load {
	var out [][callsOfRound]*gtcluster.Load
	for _, route := range c.routes {
		path := route.path + "/x"
		get := &gtcluster.Load{Method: "GET", Path: path, Timeout: callTimeout}
		post := &gtcluster.Load{Method: "POST", Path: path, Timeout: callTimeout}
		keyed := &gtcluster.Load{Method: "POST", Path: path, Timeout: callTimeout, Keyed: true}
		for _, l := range []*gtcluster.Load{get, post, keyed} {
			l.CreateClient()
		}
		out = append(out, [callsOfRound]*gtcluster.Load{get, post, keyed, get})
	}
	return out
}

// perform sends a request to the first target. With an idempotency key it resends
// the request to the next targets until a backend server has responded.
func (c *callers) perform(runCtx context.Context, load *gtcluster.Load, timeout time.Duration, body string, edgeURLs []string, targets []int) call {
	out := call{method: load.Method, timeout: timeout, keyed: load.Keyed}
	for i, site := range targets {
		a := attempt{site, load.Send(edgeURLs[site], body, i > 0)}
		out.attempts = append(out.attempts, a)
		if c.onError != nil && a.Err != nil {
			c.onError(a.Err)
		}
		if !load.Keyed || a.Status != 0 && a.Kind == "" {
			break
		}
		if gttimer.Sleep(runCtx, resendDelay) != nil {
			break
		}
	}
	return out
}

func (c *callers) addFinished(finished call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = append(c.finished, finished)
}

// finishedCalls returns the calls that have finished.
func (c *callers) finishedCalls() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished
}
