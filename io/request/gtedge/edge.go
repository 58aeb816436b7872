// Package gtedge accepts requests from callers, including those of the local
// backend server to other services, and sends each to a node that can run it.
//
// # Usage
//
//	edge := &gtedge.Edge{...}
//	http.Server{Handler: edge}
//
// Callers may send a request to any node. A failed attempt is retried only
// before the first byte of a response has been sent to the caller, and only if
// the table of error kinds and the retry policy allow it.
package gtedge

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"godwittide/core/process/gtbudget"
	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtinflight"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtretry"
	"godwittide/core/request/gtroute"
	"godwittide/core/request/gtsplit"
	"godwittide/core/version/gtaccount"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtconfig"
	"godwittide/core/version/gtdelta"
	"godwittide/io/connection/gtpipeline"
	"godwittide/io/connection/gtpool"
	"godwittide/io/request/gthop"
)

const (
	maxKeyBytes = 200
	// keyNodes is the number of nodes that may run a request with an idempotency
	// key, in order of rank.
	keyNodes = 2
	// maxLookupNodes is the largest number of nodes that are queried for the
	// outcome of a resent request.
	maxLookupNodes = 64
)

// Edge serves requests from callers. Its fields are set before use.
type Edge struct {
	// Now reads the timer service's clock.
	Now func() time.Time
	// Self is the name of this node's instance.
	Self string
	// IDPrefix is the prefix of generated request IDs. It is unique to each start
	// of a node.
	IDPrefix string
	// MaxBodyBytes returns the largest request body in bytes.
	MaxBodyBytes func() int
	// Budget is the budget of bytes that bodies and responses count in; nil means none.
	Budget *gtbudget.Budget
	// MaxHops is the largest number of hops in a call chain.
	MaxHops int
	// Holder holds the active version of the configuration.
	Holder *gtdelta.Holder
	// Router picks the backend servers.
	Router *gtroute.Router
	// Instances returns the instances of a service that are not gone.
	Instances func(service string) []gtmember.Record
	// Retry decides whether a failed attempt is retried.
	Retry *gtretry.Policy
	// Crashes blocks requests that crash backend servers.
	Crashes *gtdedup.Crashes
	// OnCrash is called for each crash that a peer reported.
	OnCrash func(c gtdedup.Crash)
	// HistoryKnown reports whether the service's instances and shares of traffic
	// have been stable for so long that the node that ran a request with an
	// idempotency key still knows its outcome.
	HistoryKnown func(service string) bool
	// IsCurrent reports whether the active configuration is known to be so recent that a
	// key that it knows has not been revoked too long ago. Nil means that it always is.
	IsCurrent func() bool
	// LocalBackend runs calls on the local backend server.
	LocalBackend *gthop.LocalBackend
	// Client sends calls to peers.
	Client *gthop.Client
	// Requests holds the requests in flight; nil means that they aren't recorded.
	Requests *gtinflight.Table
	// MayBegin reports whether a request with the given deadline may begin: the node
	// may be shutting down. Nil means that all may.
	MayBegin func(deadline time.Time) bool
	// Closing reports whether callers are to close their connections after the response.
	// Nil means that they aren't.
	Closing func() bool
	// OnOutcome is called with the outcome of each attempt, if that is evidence
	// about the version that ran it.
	OnOutcome func(service, route, version string, o gtcanary.Outcome)
	// OnOmitted is called with the error kind of each attempt whose outcome is not
	// evidence. It may be nil.
	OnOmitted func(reason string)
	// OnResponse is called before each response is written, with the call, its error
	// or nil, and the time that it took. The call is empty, or has only an ID and a
	// route, if the request was refused before its call was built.
	OnResponse func(c gtcall.Call, err error, d time.Duration)
	// OnRetry is called for each failed attempt that is retried, with its instance
	// and error, and the number of attempts so far.
	OnRetry func(c gtcall.Call, instance string, err error, count int)
	// Dialect adapts requests and responses to the callers' protocol.
	Dialect gthop.Dialect
	// Split distributes the requests of a split route over its services.
	Split *gtsplit.Split
	// Trace starts a span and returns the function that ends it.
	Trace func(ctx context.Context, name string, h http.Header) (context.Context, func(error))
	// OnPanic is called with the value of each panic, which ends only its
	// request.
	OnPanic func(v any)

	seq atomic.Uint64
}

// ServeHTTP serves a request from a caller.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	entry := e.Requests.Begin(origin(r), r.RemoteAddr)
	defer entry.End()
	defer gthop.Recover(w, e.OnPanic, e.Dialect.WriteError)
	start := e.Now()
	ctx, end := e.Trace(gtinflight.NewContext(r.Context(), entry), "edge", r.Header)
	hold := gthop.NewHold(e.Budget, r)
	defer hold.Leave()
	c, resp, err := e.serve(ctx, r, hold)
	end(err)
	e.OnResponse(c, err, e.Now().Sub(start))
	entry.MoveTo(gtinflight.Writing, "")
	if e.Closing != nil && e.Closing() {
		w.Header().Set("Connection", "close")
	}
	hold.EndBody(w)
	if err != nil {
		e.Dialect.WriteError(w, err)
	} else {
		hold.WriteResponse(w, resp)
	}
	entry.SetOutcome(gtinflight.OutcomeOf(err))
}

// origin returns who sent a request, as far as it says so.
func origin(r *http.Request) gtinflight.Origin {
	if r.Header.Get(gthop.HeaderHops) != "" {
		return gtinflight.Backend
	}
	return gtinflight.Caller
}

func (e *Edge) serve(ctx context.Context, r *http.Request, hold *gthop.Hold) (gtcall.Call, gtcall.Response, error) {
	isCurrent := e.IsCurrent == nil || e.IsCurrent() // before the configuration is read
	current := e.Holder.Current()
	if current.Snapshot().Version() == 0 {
		return gtcall.Call{}, gtcall.Response{}, gtkind.New(gtkind.NoConfig, "node has no configuration yet")
	}
	cfg := current.Config()
	entry := gtinflight.FromContext(ctx)
	c, err := e.newCall(cfg, r, entry, hold, isCurrent)
	if err != nil {
		return c, gtcall.Response{}, err
	}
	entry.Identify(c.ID(), c.Route(), c.Deadline())
	entry.MoveTo(gtinflight.Routing, "")
	if e.MayBegin != nil && !e.MayBegin(c.Deadline()) {
		return c, gtcall.Response{}, gtkind.New(gtkind.Leaving, "this node shuts down before the deadline of the request")
	}
	resp, err := e.dispatch(ctx, cfg, c)
	return c, resp, err
}

// dispatch sends a call to the nodes that may run it: by the rank for its key if
// it is non-idempotent and has one, and by load otherwise.
func (e *Edge) dispatch(ctx context.Context, cfg *gtconfig.Config, c gtcall.Call) (gtcall.Response, error) {
	if e.Crashes.IsBlocked(c.Fingerprint()) {
		return gtcall.Response{}, gthop.BlockedError(c)
	}
	if c.Key() == "" || c.Idempotent() {
		return e.sendWithRetries(ctx, cfg, c)
	}
	if c.IsResend() {
		if resp, found, err := e.lookup(ctx, c); found {
			return resp, err
		}
		if !e.HistoryKnown(c.Service()) {
			return gtcall.Response{}, gtkind.New(gtkind.OutcomeUnknown, "instances or shares of traffic of %s changed recently, can't determine whether the first request ran", c.Service())
		}
	}
	return e.sendByKey(ctx, cfg, c)
}

// IsIdempotent reports whether a request may run beside others of its connection. One that
// matches no route may match a non-idempotent one by the time that it is served.
func (e *Edge) IsIdempotent(r *http.Request) bool {
	route, ok := e.Holder.Current().Config().Match(r.Method, r.Host, r.URL.Path)
	return ok && route.Idempotent(r.Method)
}

// newCall returns the call for a request of a caller. If it fails, the returned
// call is empty, or has the ID and route of a request that carries no valid key of an
// account, or whose body can't be read.
func (e *Edge) newCall(cfg *gtconfig.Config, r *http.Request, entry *gtinflight.Entry, hold *gthop.Hold, isCurrent bool) (gtcall.Call, error) {
	start := e.Now()
	hops, _ := strconv.Atoi(r.Header.Get(gthop.HeaderHops))
	if hops < 0 || hops >= e.MaxHops {
		return gtcall.Call{}, gtkind.New(gtkind.TooManyHops, "number of hops in the call chain is out of range: %d", hops)
	}
	route, ok := cfg.Match(r.Method, r.Host, r.URL.Path)
	if !ok {
		return gtcall.Call{}, gtkind.New(gtkind.NoRoute, "no route matches %s %.100s", r.Method, r.URL.Path)
	}
	id := e.Dialect.RequestIDOr(r, e.newID)
	account, err := e.authenticate(cfg, route, r, isCurrent)
	if err != nil {
		return gtcall.New(id, r.Method, r.URL.RequestURI()).WithRoute("", route.Name(), route.Class()), err
	}
	class := route.ClassFor(account)
	if gtpipeline.MayRunBeside(r.Context()) && !route.Idempotent(r.Method) {
		return gtcall.Call{}, gtkind.New(gtkind.Refused, "the route became non-idempotent as the request was read ahead of its turn")
	}
	key := r.Header.Get(gthop.HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return gtcall.Call{}, gtkind.New(gtkind.BadRequest, "idempotency key is longer than %d bytes", maxKeyBytes)
	}
	bodyTimeout := cmp.Or(route.Timeout(), gtconfig.MaxTimeout)
	bodyDeadline := start.Add(e.Dialect.ShortenTimeout(r, bodyTimeout))
	entry.Identify(id, route.Name(), bodyDeadline)
	body, err := hold.ReadBody(r, entry, e.MaxBodyBytes(), bodyDeadline)
	if err != nil {
		return gtcall.New(id, r.Method, r.URL.RequestURI()).WithRoute("", route.Name(), class).WithAccount(account.Name()), err
	}
	header := gthop.ForwardableHeader(r.Header)
	if cfg.Accounts().Len() > 0 {
		e.Dialect.RemoveAccountFields(header)
	}
	header.Set("Host", r.Host)
	service := route.Service(e.Split.Draw(route.Name()))
	return gtcall.New(id, r.Method, r.URL.RequestURI()).
		WithHeader(header).
		WithBodySegments(body).
		WithRoute(service, route.Name(), class).
		WithAccount(account.Name()).
		WithIdempotent(route.Idempotent(r.Method)).
		WithKey(key, r.Header.Get(gthop.HeaderResend) == "1", false).
		WithRetry(r.Header.Get(gthop.HeaderRetry) == "1").
		WithHops(hops).
		WithMaxBackends(route.MaxAttempts()).
		WithDueAt(route.DueAt(start)).
		WithDeadline(start.Add(e.Dialect.ShortenTimeout(r, e.timeout(cfg, route, service)))), nil
}

// authenticate returns the client account that a request is sent on behalf of. It is
// empty if the configuration has no accounts, or if the route needs none, in which case
// a key is ignored. It fails with Unauthenticated without a valid key, and with NoConfig if
// the configuration may be too old to tell which keys are valid. No error holds the key.
func (e *Edge) authenticate(cfg *gtconfig.Config, route gtconfig.Route, r *http.Request, isCurrent bool) (gtaccount.Account, error) {
	if cfg.Accounts().Len() == 0 || route.IsOpen() {
		return gtaccount.Account{}, nil
	}
	credential := e.Dialect.CredentialOf(r)
	if credential == "" {
		return gtaccount.Account{}, gtkind.New(gtkind.Unauthenticated, "request carries no key, or more than one")
	}
	if !isCurrent {
		return gtaccount.Account{}, gtkind.New(gtkind.NoConfig, "this node can't tell whether its configuration is current, so the key of the request may have been revoked")
	}
	account, ok := cfg.Accounts().Find(credential)
	if !ok {
		return gtaccount.Account{}, gtkind.New(gtkind.Unauthenticated, "key of the request belongs to no account")
	}
	return account, nil
}

// remainingTarget returns the time that is left for a response to have its full value, for
// gtroute.Query: 0 if there is no target, and less if it has passed.
func (e *Edge) remainingTarget(c gtcall.Call) time.Duration {
	if c.DueAt().IsZero() {
		return 0
	}
	if left := c.DueAt().Sub(e.Now()); left != 0 {
		return left
	}
	return -1
}

// Expire deletes the state of routes that the active configuration no longer has.
func (e *Edge) Expire() {
	hasRoute := e.Holder.Current().Config().HasRoute
	e.Split.Prune(hasRoute)
	e.Retry.Prune(hasRoute)
}

// newID returns an ID for a request that has none.
func (e *Edge) newID() string { return e.IDPrefix + strconv.FormatUint(e.seq.Add(1), 36) }

// timeout returns the configured timeout of a call: that of its route, or else
// that of its service.
func (e *Edge) timeout(cfg *gtconfig.Config, route gtconfig.Route, service string) time.Duration {
	if route.Timeout() > 0 {
		return route.Timeout()
	}
	s, _ := cfg.Service(service)
	return s.Timeout()
}

// sendWithRetries sends a call to the backend server that the router picks, and
// after a failure to others, as long as the retry policy allows it. If the last of them
// only refused it in favour of another, it gets the call again, marked as the last attempt.
func (e *Edge) sendWithRetries(ctx context.Context, cfg *gtconfig.Config, c gtcall.Call) (gtcall.Response, error) {
	q := e.Router.DrawVersion(cfg, gtroute.NewQuery(c.Service()).WithRoute(c.Route()))
	e.Retry.RecordFirstAttempt(c.Service())
	var tried []string
	var lastErr error
	reached := 0
	for count := 1; ; count++ {
		to, err := e.Router.Pick(cfg, q.WithTried(tried).WithTarget(e.remainingTarget(c)))
		if err != nil {
			if lastErr != nil {
				err = lastErr
			}
			return gtcall.Response{}, err
		}
		tried = append(tried, to.Instance())
		others := q.WithTried(slices.Clone(tried))
		attemptCtx := e.withGiveUp(ctx, to, func() bool { return e.mayGiveUp(c, count, reached+1) && e.Router.CanPick(cfg, others) })
		resp, err := e.attempt(attemptCtx, withVersion(cfg, c, to), to)
		k := gtkind.Of(err)
		if err == nil && c.Idempotent() && resp.Status() == http.StatusServiceUnavailable {
			k = gtkind.Shed
		}
		if k == gtkind.None {
			return resp, nil
		}
		lastErr = err
		if k.MayHaveReachedBackend() {
			reached++
		}
		if !e.Router.CanPick(cfg, others) || !e.shouldRetry(ctx, c, k, count, reached) {
			if k != gtkind.Leaving || c.IsLastAttempt() || ctx.Err() != nil {
				return resp, err
			}
			tried, c = tried[:len(tried)-1], c.WithLastAttempt(true)
			continue
		}
		if resp.Stream() != nil {
			resp.Stream().Close()
		}
		if err == nil {
			err = gtkind.New(k, "backend server responded with status %d", resp.Status())
		}
		e.OnRetry(c, to.Instance(), err, count)
		c = e.retryCall(c, k)
	}
}

func (e *Edge) shouldRetry(ctx context.Context, c gtcall.Call, k gtkind.Kind, count, reached int) bool {
	if ctx.Err() != nil || e.Crashes.IsBlocked(c.Fingerprint()) {
		return false
	}
	return e.Retry.ShouldRetry(e.failedAttempt(c, k, count, reached))
}

// failedAttempt returns the last of count attempts of a call, of which reached may have
// reached a backend server, as one that fails now with kind k.
func (e *Edge) failedAttempt(c gtcall.Call, k gtkind.Kind, count, reached int) gtretry.Attempt {
	failed := gtretry.NewAttempt(c.Service(), k, count, c.Deadline().Sub(e.Now()))
	return failed.WithRoute(c.Route()).WithIdempotent(c.Idempotent()).WithRetry(c.IsRetry()).WithServersReached(reached, c.MaxBackends())
}

// mayGiveUp reports whether the last of count attempts, on which nothing is received, may
// be given up: another instance may take the request in its place.
func (e *Edge) mayGiveUp(c gtcall.Call, count, reached int) bool {
	return len(e.Instances(c.Service())) > count && e.Retry.MayGiveUp(e.failedAttempt(c, gtkind.Unresponsive, count, reached))
}

// never is the answer where an attempt may not be given up.
func never() bool { return false }

// withGiveUp returns the context of an attempt at an instance that is given up when
// nothing is received, if mayGiveUp then agrees. If not, the instance is at least avoided.
func (e *Edge) withGiveUp(ctx context.Context, to gtmember.Record, mayGiveUp func() bool) context.Context {
	return gtpool.WithGiveUp(ctx, func() bool {
		if mayGiveUp() {
			return true
		}
		e.Router.Silent(to.Instance())
		return false
	})
}

// withVersion returns the call with the version of the instance that was picked, if the
// service has a move.
func withVersion(cfg *gtconfig.Config, c gtcall.Call, to gtmember.Record) gtcall.Call {
	if _, ok := cfg.Move(c.Service()); !ok {
		return c
	}
	return c.WithVersion(to.Version())
}

// retryCall returns the call for the next attempt, after one that failed with
// kind k.
func (e *Edge) retryCall(c gtcall.Call, k gtkind.Kind) gtcall.Call {
	if k == gtkind.Crashed {
		c = c.WithCrashes(c.Crashes() + 1)
	}
	return c.WithRetry(c.IsRetry() || k.Row().UsesRetryBudget())
}

// attempt sends a call to one instance, and reports the outcome to the router and
// as evidence about the instance's version.
func (e *Edge) attempt(ctx context.Context, c gtcall.Call, to gtmember.Record) (gtcall.Response, error) {
	e.Router.Begin(to.Instance())
	start := e.Now()
	var resp gtcall.Response
	var err error
	if to.Instance() == e.Self {
		resp, err = e.LocalBackend.Run(ctx, c)
	} else {
		resp, err = e.Client.Send(ctx, to, c)
	}
	k := gtkind.Of(err)
	load := resp.Load()
	if to.Instance() == e.Self {
		load = e.LocalBackend.Load(c.Route())
	}
	e.Router.End(to.Instance(), c.Route(), k, load)
	d := e.Now().Sub(start)
	if load.Elapsed() > 0 && k == gtkind.None && resp.Stream() == nil {
		e.Router.ObserveNetwork(to.Zone(), d-load.Elapsed())
	}
	e.recordOutcome(c, to, resp, k, d)
	if k == gtkind.None {
		e.Retry.RecordDuration(c.Route(), d)
	}
	if k == gtkind.Crashed && to.Instance() != e.Self {
		e.OnCrash(gtdedup.NewCrash(c.Fingerprint(), c.Crashes()+1, !c.Idempotent(), e.Now().Add(gtdedup.CrashWindow)))
	}
	return resp, err
}

// recordOutcome reports the outcome of an attempt as evidence about the version.
// Of the errors, only a lost connection and a crash count; others may have causes
// outside the version, such as the network.
func (e *Edge) recordOutcome(c gtcall.Call, to gtmember.Record, resp gtcall.Response, k gtkind.Kind, d time.Duration) {
	failed := false
	switch k {
	case gtkind.None:
		failed = resp.Status() >= http.StatusInternalServerError && resp.Status() != http.StatusServiceUnavailable
	case gtkind.ConnectionLost, gtkind.Crashed:
		failed = true
	default:
		if e.OnOmitted != nil {
			e.OnOmitted(k.String())
		}
		return
	}
	e.OnOutcome(c.Service(), c.Route(), to.Version(), gtcanary.NewOutcome(failed, d).WithoutLatency())
}

// sendByKey sends a non-idempotent request to the nodes that rank highest for its
// idempotency key. The next node in rank gets it only after an error with the
// certainty "not run". If all of them have refused it before without running it
// (kind KeyReleased), the first is allowed to run it.
func (e *Edge) sendByKey(ctx context.Context, cfg *gtconfig.Config, c gtcall.Call) (gtcall.Response, error) {
	ranked := e.Router.InstancesForKey(cfg, gtroute.NewQuery(c.Service()).WithKey(c.Key()), keyNodes)
	if len(ranked) == 0 {
		_, err := e.Router.Pick(cfg, gtroute.NewQuery(c.Service()).WithKey(c.Key()))
		return gtcall.Response{}, err
	}
	released, unreachable := 0, 0
	var lastErr error
	for i, to := range ranked {
		last := i == len(ranked)-1
		resp, err := e.attempt(e.withGiveUp(ctx, to, never), withVersion(cfg, c, to).WithLastAttempt(last), to)
		row := gtkind.Of(err).Row()
		if err == nil || row.Certainty() != gtkind.NotRun || !row.RetryElsewhere() || ctx.Err() != nil {
			return resp, err
		}
		switch gtkind.Of(err) {
		case gtkind.KeyReleased:
			released++
		case gtkind.Refused, gtkind.StaleConnection:
			unreachable++
		default:
		}
		lastErr = err
	}
	if released > 0 && unreachable > 0 {
		return gtcall.Response{}, gtkind.Wrap(lastErr, gtkind.OutcomeUnknown, "a node that may have run the request is unreachable")
	}
	if released == len(ranked) {
		c = withVersion(cfg, c.WithKey(c.Key(), c.IsResend(), true).WithLastAttempt(true), ranked[0])
		return e.attempt(e.withGiveUp(ctx, ranked[0], never), c, ranked[0])
	}
	return gtcall.Response{}, lastErr
}

// lookupResult is what one instance returned to a lookup.
type lookupResult struct {
	resp gtcall.Response
	err  error
}

// lookup queries every instance of the service for the outcome of a request that
// the caller has sent before, possibly through another availability zone. It
// returns true with the response if an instance has one, and true with an error
// if an instance can't rule out that the request ran.
func (e *Edge) lookup(ctx context.Context, c gtcall.Call) (gtcall.Response, bool, error) {
	instances := e.Instances(c.Service())
	if len(instances) > maxLookupNodes {
		return gtcall.Response{}, true, gtkind.New(gtkind.OutcomeUnknown, "too many instances to query for the outcome of a resent request")
	}
	results := make([]lookupResult, len(instances))
	var wg sync.WaitGroup
	for i, to := range instances {
		wg.Go(func() { results[i].resp, results[i].err = e.attempt(ctx, c.WithLookupOnly(), to) })
	}
	wg.Wait()
	var unknownErr error
	for _, result := range results {
		if result.err == nil {
			return result.resp, true, nil
		}
		if k := gtkind.Of(result.err); k != gtkind.KeyUnknown {
			unknownErr = result.err
		}
	}
	if unknownErr != nil {
		return gtcall.Response{}, true, gtkind.Wrap(unknownErr, gtkind.OutcomeUnknown, "an instance could not report whether the first request ran")
	}
	return gtcall.Response{}, false, nil
}
