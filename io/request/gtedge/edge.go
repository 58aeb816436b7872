// Package gtedge takes callers' requests, and the calls of the own backend
// server to other services, and sends each to a node beside a backend server.
//
// # Usage
//
//	edge := &gtedge.Edge{...}
//	http.Server{Handler: edge}
//
// Any node may be asked. An attempt that failed is followed by another only
// before the first byte of an answer has gone to the caller, and only where
// the table of error kinds and the retry policy allow it.
package gtedge

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtonce"
	"godwittide/core/request/gtretry"
	"godwittide/core/request/gtroute"
	"godwittide/core/request/gtsplit"
	"godwittide/core/version/gtconfig"
	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtevidence"
	"godwittide/io/request/gthop"
)

const (
	// maxKey is the longest key of a caller, in bytes.
	maxKey = 200
	// homes is the number of nodes that may run a request with a key, in rank.
	homes = 2
	// maxFind is the number of nodes that are asked about a resend.
	maxFind = 64
)

// Edge serves callers. Its fields are set before use.
type Edge struct {
	// Now reads the timer service's clock.
	Now func() time.Time
	// Self is the name of the own instance.
	Self string
	// ID begins the ids of all calls; it differs for each start of a node.
	ID string
	// Body is the largest request body in bytes.
	Body int
	// Hops is the largest number of hops of one call.
	Hops int
	// Holder keeps the configuration in force.
	Holder *gtdelta.Holder
	// Router picks backend servers.
	Router *gtroute.Router
	// Members returns the instances of a service that are not gone.
	Members func(service string) []gtmember.Record
	// Retry decides about further attempts.
	Retry *gtretry.Policy
	// Crashes knows requests that crash backend servers.
	Crashes *gtonce.Crashes
	// Crashed is told of each crash that another node reported.
	Crashed func(c gtonce.Crash)
	// Sure says whether no instance of the service came or went lately, so
	// that whoever ran a request with a key would still know.
	Sure func(service string) bool
	// Beside runs calls on the own backend server.
	Beside *gthop.Beside
	// Client sends calls to other nodes.
	Client *gthop.Client
	// Observed is told the outcome of each attempt of a version on a route.
	Observed func(service, route, version string, o gtevidence.Outcome)
	// Answered is told of each answer: the call, as far as it was made, the error
	// that it got, and the time that it took.
	Answered func(c gtcall.Call, err error, d time.Duration)
	// Again is told of each attempt that another one follows: the instance, the
	// error, and how many attempts there have been.
	Again func(c gtcall.Call, instance string, err error, count int)
	// Dialect is how callers are spoken to.
	Dialect gthop.Dialect
	// Split draws the parts of split routes.
	Split *gtsplit.Split
	// Trace starts a span and returns the function that ends it.
	Trace func(ctx context.Context, name string, h http.Header) (context.Context, func(error))
	// Panicked is told of each panic, which ends its request alone.
	Panicked func(v any)

	seq      atomic.Uint64
	inflight atomic.Int64
}

// InFlight returns the number of requests that are being served.
func (e *Edge) InFlight() int64 { return e.inflight.Load() }

// ServeHTTP serves one request of a caller.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inflight.Add(1)
	defer e.inflight.Add(-1)
	defer gthop.Recover(w, e.Panicked, e.Dialect.RespondError)
	start := e.Now()
	ctx, end := e.Trace(r.Context(), "edge", r.Header)
	c, a, err := e.serve(ctx, r)
	end(err)
	e.Answered(c, err, e.Now().Sub(start))
	if err != nil {
		e.Dialect.RespondError(w, err)
		return
	}
	gthop.WriteResponse(w, a)
}

func (e *Edge) serve(ctx context.Context, r *http.Request) (gtcall.Call, gtcall.Answer, error) {
	current := e.Holder.Current()
	if current.Set().Version() == 0 {
		return gtcall.Call{}, gtcall.Answer{}, gtkind.New(gtkind.NoConfig, "this node has no configuration yet")
	}
	cfg := current.Config()
	c, err := e.call(cfg, r)
	if err != nil {
		return c, gtcall.Answer{}, err
	}
	a, err := e.send(ctx, cfg, c)
	return c, a, err
}

// send sends a call to whoever may run it.
func (e *Edge) send(ctx context.Context, cfg *gtconfig.Config, c gtcall.Call) (gtcall.Answer, error) {
	if e.Crashes.Blocked(c.Fingerprint()) {
		return gtcall.Answer{}, gthop.BlockedError(c)
	}
	if c.Key() == "" || c.Idempotent() {
		return e.balance(ctx, cfg, c)
	}
	if c.Resend() {
		if a, found, err := e.find(ctx, c); found {
			return a, err
		}
		if !e.Sure(c.Service()) {
			return gtcall.Answer{}, gtkind.New(gtkind.Forgotten, "instances of %s came or went, nobody knows whether the first request ran", c.Service())
		}
	}
	return e.home(ctx, cfg, c)
}

// call builds the call of a request.
func (e *Edge) call(cfg *gtconfig.Config, r *http.Request) (gtcall.Call, error) {
	start := e.Now()
	hops, _ := strconv.Atoi(r.Header.Get(gthop.HeaderHops))
	if hops < 0 || hops >= e.Hops {
		return gtcall.Call{}, gtkind.New(gtkind.TooManyHops, "the call has gone through %d hops", hops)
	}
	route, ok := cfg.Match(r.Method, r.Host, r.URL.Path)
	if !ok {
		return gtcall.Call{}, gtkind.New(gtkind.NoRoute, "no route for %s %.100s", r.Method, r.URL.Path)
	}
	key := r.Header.Get(gthop.HeaderKey)
	if len(key) > maxKey {
		return gtcall.Call{}, gtkind.New(gtkind.BadRequest, "the key is longer than %d bytes", maxKey)
	}
	body, err := gthop.ReadBody(r, e.Body)
	if err != nil {
		return gtcall.Call{}, err
	}
	header := gthop.ForwardableHeader(r.Header)
	header.Set("Host", r.Host)
	id := e.Dialect.ID(r, e.newID)
	service := route.Service(e.Split.Draw(route.Name()))
	return gtcall.New(id, r.Method, r.URL.RequestURI()).
		WithHeader(header).
		WithBody(body).
		WithRoute(service, route.Name(), route.Class()).
		WithIdempotent(route.Idempotent(r.Method)).
		WithKey(key, r.Header.Get(gthop.HeaderResend) == "1", false).
		WithNested(r.Header.Get(gthop.HeaderRetry) == "1").
		WithHops(hops).
		WithMost(route.Attempts()).
		WithDeadline(start.Add(e.Dialect.ShortenTimeout(r, e.limit(cfg, route, service)))), nil
}

// newID returns an id for a request that has none.
func (e *Edge) newID() string { return e.ID + strconv.FormatUint(e.seq.Add(1), 36) }

// limit returns the operators' time limit of a call.
func (e *Edge) limit(cfg *gtconfig.Config, route gtconfig.Route, service string) time.Duration {
	if route.Timeout() > 0 {
		return route.Timeout()
	}
	s, _ := cfg.Service(service)
	return s.Timeout()
}

// balance sends a call to the backend server that the router picks, and to
// another after a failure as far as the retry policy lets it.
func (e *Edge) balance(ctx context.Context, cfg *gtconfig.Config, c gtcall.Call) (gtcall.Answer, error) {
	q := gtroute.NewQuery(c.Service()).WithRoute(c.Route())
	e.Retry.Sent(c.Service())
	var tried []string
	var last error
	reached := 0
	for count := 1; ; count++ {
		to, err := e.Router.Pick(cfg, q.WithTried(tried))
		if err != nil {
			if last != nil {
				err = last
			}
			return gtcall.Answer{}, err
		}
		a, err := e.attempt(ctx, c, to)
		k := gtkind.Of(err)
		if err == nil && c.Idempotent() && a.Status() == http.StatusServiceUnavailable {
			k = gtkind.Shed
		}
		if k == gtkind.None {
			return a, nil
		}
		tried, last = append(tried, to.Instance()), err
		if k.Reached() {
			reached++
		}
		if !e.again(ctx, c, k, count, reached) {
			return a, err
		}
		if a.Stream() != nil {
			a.Stream().Close()
		}
		if err == nil {
			err = gtkind.New(k, "backend server answered %d", a.Status())
		}
		e.Again(c, to.Instance(), err, count)
		c = e.next(c, k)
	}
}

func (e *Edge) again(ctx context.Context, c gtcall.Call, k gtkind.Kind, count, reached int) bool {
	if ctx.Err() != nil || e.Crashes.Blocked(c.Fingerprint()) {
		return false
	}
	failed := gtretry.NewAttempt(c.Service(), k, count, c.Deadline().Sub(e.Now()))
	return e.Retry.Again(failed.Idempotent(c.Idempotent()).Nested(c.Nested()).Reached(reached, c.Most()))
}

// next returns the call of the next attempt.
func (e *Edge) next(c gtcall.Call, k gtkind.Kind) gtcall.Call {
	if k == gtkind.Crashed {
		c = c.WithCrashes(c.Crashes() + 1)
	}
	return c.WithNested(c.Nested() || k.Row().Work())
}

// attempt sends a call to one instance and lets the router learn from it.
func (e *Edge) attempt(ctx context.Context, c gtcall.Call, to gtmember.Record) (gtcall.Answer, error) {
	e.Router.Begin(to.Instance())
	start := e.Now()
	var a gtcall.Answer
	var err error
	if to.Instance() == e.Self {
		a, err = e.Beside.Run(ctx, c)
	} else {
		a, err = e.Client.Send(ctx, to, c)
	}
	k := gtkind.Of(err)
	load := a.Load()
	if to.Instance() == e.Self {
		load = e.Beside.Gate.Load(c.Route())
	}
	e.Router.End(to.Instance(), c.Route(), k, load)
	e.observe(c, to, a, k, e.Now().Sub(start))
	if k == gtkind.Crashed && to.Instance() != e.Self {
		e.Crashed(gtonce.NewCrash(c.Fingerprint(), c.Crashes()+1, !c.Idempotent(), e.Now().Add(gtonce.CrashWindow)))
	}
	return a, err
}

// observe passes on what the attempt says of the version. Failures that the
// network may have caused say nothing.
func (e *Edge) observe(c gtcall.Call, to gtmember.Record, a gtcall.Answer, k gtkind.Kind, d time.Duration) {
	failed := false
	switch k {
	case gtkind.None:
		failed = a.Status() >= http.StatusInternalServerError && a.Status() != http.StatusServiceUnavailable
	case gtkind.Cut, gtkind.Crashed:
		failed = true
	default:
		return
	}
	e.Observed(c.Service(), c.Route(), to.Version(), gtevidence.NewOutcome(failed, d).Untimed())
}

// home sends a request with a key to the nodes in rank for it. The next in
// rank gets it only on a refusal that says "not run". When all in rank say
// that they passed it on, the first may run it after all.
func (e *Edge) home(ctx context.Context, cfg *gtconfig.Config, c gtcall.Call) (gtcall.Answer, error) {
	ranked := e.Router.Homes(cfg, gtroute.NewQuery(c.Service()).WithKey(c.Key()), homes)
	if len(ranked) == 0 {
		_, err := e.Router.Pick(cfg, gtroute.NewQuery(c.Service()).WithKey(c.Key()))
		return gtcall.Answer{}, err
	}
	passed, unreached := 0, 0
	var last error
	for _, to := range ranked {
		a, err := e.attempt(ctx, c, to)
		row := gtkind.Of(err).Row()
		if err == nil || row.Certainty() != gtkind.NotRun || !row.Elsewhere() || ctx.Err() != nil {
			return a, err
		}
		switch gtkind.Of(err) {
		case gtkind.Passed:
			passed++
		case gtkind.Refused, gtkind.NotAlive:
			unreached++
		default:
		}
		last = err
	}
	if passed > 0 && unreached > 0 {
		return gtcall.Answer{}, gtkind.Wrap(last, gtkind.Forgotten, "a node that may have run the request can't be reached")
	}
	if passed == len(ranked) {
		return e.attempt(ctx, c.WithKey(c.Key(), c.Resend(), true), ranked[0])
	}
	return gtcall.Answer{}, last
}

type finding struct {
	a   gtcall.Answer
	err error
}

// find asks every instance of the service about a request that the caller has
// sent before, perhaps by way of another availability zone. It is found if any
// of them knows it, or can't be asked.
func (e *Edge) find(ctx context.Context, c gtcall.Call) (gtcall.Answer, bool, error) {
	all := e.Members(c.Service())
	if len(all) > maxFind {
		return gtcall.Answer{}, true, gtkind.New(gtkind.Forgotten, "too many instances to ask about a resend")
	}
	found := make([]finding, len(all))
	var wg sync.WaitGroup
	for i, to := range all {
		wg.Go(func() { found[i].a, found[i].err = e.attempt(ctx, c.WithFind(), to) })
	}
	wg.Wait()
	var unknown error
	for _, f := range found {
		if f.err == nil {
			return f.a, true, nil
		}
		if k := gtkind.Of(f.err); k != gtkind.Absent {
			unknown = f.err
		}
	}
	if unknown != nil {
		return gtcall.Answer{}, true, gtkind.Wrap(unknown, gtkind.Forgotten, "an instance can't say whether the first request ran")
	}
	return gtcall.Answer{}, false, nil
}
