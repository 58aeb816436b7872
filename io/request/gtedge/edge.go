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
	"godwittide/core/request/gtstream"
	"godwittide/core/version/gtaccount"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtconfig"
	"godwittide/core/version/gtdelta"
	"godwittide/io/connection/gtpipeline"
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
	// WholeBytes returns the size up to which every body is read whole; nil means
	// gtstream.DefaultWholeBytes.
	WholeBytes func() int
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
	// OnStreamed is called after each request whose body was forwarded in windows, with the
	// cause if the body ended early. It may be nil.
	OnStreamed func(c gtcall.Call, cause gtstream.Cause)
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
	if c.Stream() != nil && c.Stream().WasForwarded() && e.OnStreamed != nil {
		e.OnStreamed(c, c.Stream().Cause())
	}
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
	if err != nil && c.Stream() != nil {
		err = c.Stream().Outcome(err)
	}
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
	reading := e.chooseReading(route, r, key)
	body, stream, err := hold.OpenBody(r, entry, reading, e.MaxBodyBytes(), e.wholeBytes(), bodyDeadline)
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
		WithStream(stream).
		WithRoute(service, route.Name(), class).
		WithAccount(account.Name()).
		WithIdempotent(route.Idempotent(r.Method)).
		WithKey(key, r.Header.Get(gthop.HeaderResend) == "1", false).
		WithRetry(r.Header.Get(gthop.HeaderRetry) == "1").
		WithHops(hops).
		WithMaxBackends(route.MaxAttempts()).
		WithDueAt(dueAt(start, route)).
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

// dueAt returns the time up to which the response to a request has its full value, or the
// zero time if its route has no target.
func dueAt(start time.Time, route gtconfig.Route) time.Time {
	if route.Target() == 0 {
		return time.Time{}
	}
	return start.Add(route.Target())
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

// chooseReading returns how the body of a request is read. If it may be for the local backend
// server, for which it would get no permit now, it is read whole before the request is
// routed: at that depth of the stack a crowd of such bodies takes less memory.
func (e *Edge) chooseReading(route gtconfig.Route, r *http.Request, key string) gtstream.Reading {
	reading := gtstream.Choose(route.Idempotent(r.Method), key != "", r.ContentLength, int64(e.wholeBytes()))
	if reading == gtstream.Whole || e.LocalBackend == nil {
		return reading
	}
	service := e.LocalBackend.Self().Service()
	isLocal := slices.ContainsFunc(route.Destinations(), func(d gtconfig.Destination) bool { return d.Service() == service })
	if isLocal && !e.LocalBackend.MayStream(route.Name()) {
		return gtstream.Whole
	}
	return reading
}

// wholeBytes returns the size up to which every body is read whole.
func (e *Edge) wholeBytes() int {
	if e.WholeBytes == nil {
		return gtstream.DefaultWholeBytes
	}
	return e.WholeBytes()
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
