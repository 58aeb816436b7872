package gtsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"godwittide/core/process/gttimer"
	"godwittide/core/request/gtkind"
	"godwittide/io/process/gtlab"
)

const (
	// callEvery is the mean time between two requests of one caller.
	callEvery = 25 * time.Millisecond
	// callLimit bounds the time of one request.
	callLimit = 5 * time.Second
	// resends is how often a caller sends a request with a key again.
	resends = 3
	// resendAfter is the wait before it does.
	resendAfter = 150 * time.Millisecond
)

// call is one request with all its sends.
type call struct {
	method string
	keyed  bool
	sends  []send
}

// send is one send of a request, and what came of it.
type send struct {
	site int
	gtlab.Result
}

// notRun says whether the answer promises that the request did not run.
func (s send) notRun() bool { return s.Certainty == gtkind.NotRun.String() }

// callers send requests to all sites, and keep what came of them.
type callers struct {
	mu   sync.Mutex
	list []call
}

// start starts a caller for each site, with connections of its own, until the
// function that it returns is called. What was begun by then goes on to its end,
// unless the day is given up.
func (c *callers) start(day context.Context, edges []string, seed uint64) func() {
	ctx, cancel := context.WithCancel(day)
	var wg sync.WaitGroup
	for i := range edges {
		wg.Go(func() { c.run(ctx, day, i, edges, rand.New(rand.NewPCG(seed, uint64(2+i)))) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func (c *callers) run(ctx, day context.Context, i int, edges []string, rnd *rand.Rand) {
	get := &gtlab.Load{Method: "GET", Path: "/lending/x", Limit: callLimit}
	post := &gtlab.Load{Method: "POST", Path: "/lending/x", Limit: callLimit}
	keyed := &gtlab.Load{Method: "POST", Path: "/lending/x", Limit: callLimit, Keys: true}
	for _, l := range []*gtlab.Load{get, post, keyed} {
		l.Open()
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; gttimer.Sleep(ctx, time.Duration(rnd.ExpFloat64()*float64(callEvery))) == nil; n++ {
		load, body := get, fmt.Sprintf("c%d.%d.", i, n)
		switch n % 4 {
		case 1:
			load = post
		case 2:
			load = keyed
		}
		to := []int{i}
		for range resends {
			to = append(to, rnd.IntN(len(edges)))
		}
		wg.Go(func() { c.add(c.call(day, load, body, edges, to)) })
	}
}

// call sends a request, and one with a key again until it has an answer that
// says what came of it.
func (c *callers) call(day context.Context, load *gtlab.Load, body string, edges []string, to []int) call {
	out := call{method: load.Method, keyed: load.Keys}
	for i, site := range to {
		s := send{site, load.Send(edges[site], body, i > 0)}
		out.sends = append(out.sends, s)
		if !load.Keys || s.Status != 0 && s.Kind == "" {
			break
		}
		if gttimer.Sleep(day, resendAfter) != nil {
			break
		}
	}
	return out
}

func (c *callers) add(one call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, one)
}

// all returns the requests that have ended.
func (c *callers) all() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list
}
