package gthop

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtadmission"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtinflight"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtcanary"
	"godwittide/io/connection/gtpool"
)

// warmUpPeriod is how long after a start of the backend server its latency is not used
// as evidence about its version, if the backend server doesn't report its warm-up.
const warmUpPeriod = 10 * time.Second

// LocalBackend runs calls on the local backend server. All requests to that
// server pass through it, as it applies admission control, deduplication and
// the collection of evidence. Its fields are set before use.
type LocalBackend struct {
	// Now reads the timer service's clock.
	Now func() time.Time
	// Self returns the node's own record.
	Self func() gtmember.Record
	// Address is the backend server's IP and port.
	Address string
	// MaxBufferBytes is the size in bytes up to which a response is buffered; a
	// larger one is streamed.
	MaxBufferBytes int
	// Pool holds the connections to the backend server.
	Pool *gtpool.Pool
	// Gate is the admission gate of the backend server.
	Gate *gtadmission.Gate
	// Keys stores the outcomes of requests with an idempotency key.
	Keys *gtdedup.Keys
	// Crashes stores the fingerprints of requests that were in flight when a
	// backend server crashed.
	Crashes *gtdedup.Crashes
	// Outcomes counts outcomes as evidence about the version.
	Outcomes *gtcanary.OutcomeCounter
	// OnOmitted is called with the reason for which an outcome, or its latency, is not
	// counted. It may be nil.
	OnOmitted func(reason string)
	// HistoryKnown reports whether this node would know an earlier request to the
	// service with the same idempotency key.
	HistoryKnown func(service string) bool
	// OnCrash is called for each request that was in flight when the backend
	// server crashed.
	OnCrash func(c gtdedup.Crash)
	// CheckDown checks the backend server and reports whether it refuses connections.
	CheckDown func(ctx context.Context) bool
	// MayRun returns an error with a kind of certainty NotRun if the call may not run:
	// because of the backend server's version, or a shutdown of the node. It is called
	// before the call waits for admission and again before it is sent. Nil means that all
	// calls may.
	MayRun func(c gtcall.Call) error
	// HasAccounts reports whether the active configuration has client accounts. Nil
	// means that it has none.
	HasAccounts func() bool
	// ReadyAt returns when the backend server last became ready.
	ReadyAt func() time.Time
	// WarmUpEnd returns until when the backend server is warming up, as it reports; nil
	// means that it doesn't report it.
	WarmUpEnd func() time.Time
	// OnResult is called after each call with its status, error and duration. It
	// may be nil.
	OnResult func(c gtcall.Call, status int, err error, d time.Duration)
	// OnBegin is called right before a call is sent to the backend server. The function
	// that it returns is called if the call turns out not to have run. It may be nil.
	OnBegin func(c gtcall.Call) (notRun func())
	// Learned returns what was learned of the backend server, for a route; nil means that
	// nothing is learned.
	Learned func(route string) gtroute.Capacity
	// OnServed is called with the route of each request that the backend server served
	// after its warm-up, the number of requests that ran when it was sent, itself included,
	// and when it ran. It may be nil.
	OnServed func(route string, concurrency int, start, end time.Time)
	// Dialect adapts requests and responses to the backend server's protocol.
	Dialect Dialect
	// Trace starts a span and returns the function that ends it.
	Trace func(ctx context.Context, name string, h http.Header) (context.Context, func(error))

	running atomic.Int64
}

// Load returns the load of the backend server, with what was learned of it for a route.
func (b *LocalBackend) Load(route string) gtroute.Load {
	l := b.Gate.Load(route)
	if b.Learned == nil {
		return l
	}
	return l.WithCapacity(b.Learned(route))
}

// Run runs a call and returns the backend server's response, or an error with a
// kind.
func (b *LocalBackend) Run(ctx context.Context, c gtcall.Call) (gtcall.Response, error) {
	start := b.Now()
	resp, err := b.run(ctx, c)
	if b.OnResult != nil {
		b.OnResult(c, resp.Status(), err, b.Now().Sub(start))
	}
	return resp, err
}

func (b *LocalBackend) run(ctx context.Context, c gtcall.Call) (gtcall.Response, error) {
	if self := b.Self(); c.Service() != self.Service() {
		return gtcall.Response{}, gtkind.New(gtkind.Refused, "instance %s serves %q, not %q", self.Instance(), self.Service(), c.Service())
	}
	if b.Crashes.IsBlocked(c.Fingerprint()) {
		return gtcall.Response{}, BlockedError(c)
	}
	if c.Key() == "" || c.Idempotent() {
		return b.admit(ctx, c, func(gtcall.Response, error) {})
	}
	return b.runDeduplicated(ctx, c)
}

// BlockedError returns the error for a request that is blocked because backend
// servers crashed with an identical one in flight. If the request has an
// idempotency key, the crash may have been caused by an earlier attempt of the
// same request, so its certainty can't be "not run".
func BlockedError(c gtcall.Call) error {
	if c.Key() != "" && !c.Idempotent() {
		return gtkind.New(gtkind.OutcomeUnknown, "a backend server crashed while running this request, possibly with this idempotency key")
	}
	return gtkind.New(gtkind.Poison, "request is blocked: backend servers crashed while running it")
}

// runDeduplicated runs a request that carries an idempotency key, unless its
// outcome is known.
func (b *LocalBackend) runDeduplicated(ctx context.Context, c gtcall.Call) (gtcall.Response, error) {
	id := keyID(c)
	claim := gtdedup.NewClaim(c.IsResend(), b.HistoryKnown(c.Service()), c.ReleasedByAll())
	if c.LookupOnly() && !b.Keys.MayHaveRun(id) {
		return gtcall.Response{}, gtkind.New(gtkind.KeyUnknown, "no request with this idempotency key is known to this node")
	}
	for {
		entry, verdict := b.Keys.Begin(id, c.Fingerprint(), claim)
		switch verdict {
		case gtdedup.Run:
			return b.runAndSettle(ctx, c, entry)
		case gtdedup.Wait:
			gtinflight.FromContext(ctx).MoveTo(gtinflight.Queued, b.Self().Instance())
			select {
			case <-entry.Settled():
			case <-ctx.Done():
				return gtcall.Response{}, gtkind.New(gtkind.Deadline, "stopped waiting for the first request with this idempotency key, which is still running")
			}
		case gtdedup.Replay:
			return entry.Response().(gtcall.Response).WithLoad(b.Load(c.Route())), nil
		default:
			return gtcall.Response{}, verdictError(verdict)
		}
	}
}

// keyID returns the ID under which the outcome of a request with an idempotency key is
// kept. Requests of different accounts never share one, so that no account gets a
// response to another's request.
func keyID(c gtcall.Call) string {
	id := c.Service() + " " + c.Key()
	if c.Account() != "" {
		id = c.Account() + "\x00" + id
	}
	return id
}

// runAndSettle runs a request and settles its entry, also if the request panics.
func (b *LocalBackend) runAndSettle(ctx context.Context, c gtcall.Call, entry *gtdedup.Entry) (gtcall.Response, error) {
	settled := false
	defer func() {
		if !settled {
			entry.SettleUnknown()
		}
	}()
	return b.admit(ctx, c, func(resp gtcall.Response, err error) {
		settleEntry(entry, resp, err)
		settled = true
	})
}

// settleEntry settles the entry of a request with its outcome. A streamed response
// isn't kept, so that resends get OutcomeUnknown.
func settleEntry(entry *gtdedup.Entry, resp gtcall.Response, err error) {
	switch {
	case err == nil && resp.Stream() == nil:
		entry.SettleDone(resp, len(resp.Body()))
	case err != nil && gtkind.Of(err).Row().Certainty() == gtkind.NotRun:
		entry.SettleReleased()
	default:
		entry.SettleUnknown()
	}
}

// verdictError returns the error for a verdict by which the request is refused.
func verdictError(v gtdedup.Verdict) error {
	switch v {
	case gtdedup.Released:
		return gtkind.New(gtkind.KeyReleased, "this node already refused the request with this idempotency key without running it")
	case gtdedup.Mismatch:
		return gtkind.New(gtkind.Conflict, "idempotency key was already used for a different request")
	case gtdedup.Overflow:
		return gtkind.New(gtkind.Full, "idempotency key table is full")
	case gtdedup.OutcomeUnknown:
		return gtkind.New(gtkind.OutcomeUnknown, "the first request with this idempotency key ran or may have run, and its response is not available")
	default:
		return gtkind.New(gtkind.OutcomeUnknown, "can't determine whether the first request with this idempotency key ran")
	}
}

// admit waits for admission and runs the call. It calls settle with the outcome
// before it returns.
func (b *LocalBackend) admit(ctx context.Context, c gtcall.Call, settle func(gtcall.Response, error)) (gtcall.Response, error) {
	reject := func(err error) (gtcall.Response, error) {
		settle(gtcall.Response{}, err)
		return gtcall.Response{}, err
	}
	if err := b.checkMayRun(c); err != nil {
		return reject(err)
	}
	ticket, err := b.Gate.Enter(c.Class(), c.DueAt(), c.Deadline())
	if err != nil {
		return reject(err)
	}
	gtinflight.FromContext(ctx).MoveTo(gtinflight.Queued, b.Self().Instance())
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	select {
	case <-ticket.Decided():
		if err := ticket.Err(); err != nil {
			cancel()
			return reject(err)
		}
	case <-ctx.Done():
		ticket.Abandon()
		cancel()
		return reject(gtkind.New(gtkind.Expired, "deadline passed while the request waited in the admission queue"))
	}
	err = checkCaller(ctx, c, b.Now())
	if err == nil {
		err = b.checkMayRun(c)
	}
	if err != nil {
		ticket.Abandon()
		cancel()
		return reject(err)
	}
	resp, err := b.forward(ctx, c, ticket, cancel)
	settle(resp, err)
	return resp, err
}

func (b *LocalBackend) checkMayRun(c gtcall.Call) error {
	if b.MayRun == nil {
		return nil
	}
	return b.MayRun(c)
}

// forward sends the call to the backend server. It holds the ticket and the
// context until the response body has been read or closed.
func (b *LocalBackend) forward(ctx context.Context, c gtcall.Call, ticket *gtadmission.Ticket, cancel func()) (gtcall.Response, error) {
	req, err := b.newBackendRequest(c)
	if err != nil {
		ticket.Done(c.Route(), 0, gtadmission.NoResponse)
		cancel()
		return gtcall.Response{}, err
	}
	gtinflight.FromContext(ctx).MoveTo(gtinflight.Working, b.Self().Instance())
	// The span is written to the header of this request, as other attempts may
	// read the header of the call concurrently.
	ctx, end := b.Trace(ctx, "backend", req.Header)
	start := b.Now()
	concurrency := int(b.running.Add(1))
	var status int
	finish := func(err error) {
		latency := b.Now().Sub(start)
		b.running.Add(-1)
		result := admissionResult(status, err)
		ticket.Done(c.Route(), latency, result)
		if result == gtadmission.Succeeded && b.OnServed != nil && !start.Before(b.warmUpEnd()) {
			b.OnServed(c.Route(), concurrency, start, start.Add(latency))
		}
		b.recordEvidence(c, status, start, latency, err)
		end(err)
		cancel()
	}
	notRun := func() {}
	if b.OnBegin != nil {
		notRun = b.OnBegin(c)
	}
	httpResp, err := b.Pool.Do(ctx, b.Address, c.Class().PoolName(), req, c.Idempotent())
	if err == nil {
		status = httpResp.StatusCode
		if err := b.Dialect.checkResponse(c, status, httpResp.Header); err != nil {
			if isNotRun(err) {
				notRun()
			}
			gtpool.Discard(httpResp)
			finish(err)
			return gtcall.Response{}, err
		}
		var resp gtcall.Response
		resp, err = readResponse(httpResp, b.MaxBufferBytes, finish)
		if err == nil {
			b.forgetCrashes(c)
			return resp.WithLoad(b.Load(c.Route())), nil
		}
		return gtcall.Response{}, b.classifyFailure(ctx, c, err)
	}
	err = b.classifyFailure(ctx, c, err)
	if isNotRun(err) {
		notRun()
	}
	finish(err)
	return gtcall.Response{}, err
}

// isNotRun reports whether an error says that the call has not run.
func isNotRun(err error) bool { return gtkind.Of(err).Row().Certainty() == gtkind.NotRun }

// forgetCrashes deletes the record of crashes with a request that has now
// completed without one.
func (b *LocalBackend) forgetCrashes(c gtcall.Call) {
	if c.Crashes() > 0 || b.Crashes.Len() > 0 {
		b.Crashes.Forget(c.Fingerprint())
	}
}

// classifyFailure refines the kind of a failed exchange. A backend server that
// refuses connections now either crashed with the request in flight, or was
// down before.
func (b *LocalBackend) classifyFailure(ctx context.Context, c gtcall.Call, err error) error {
	switch gtkind.Of(err) {
	case gtkind.Refused, gtkind.StaleConnection:
		b.CheckDown(context.WithoutCancel(ctx))
		return gtkind.Wrap(err, gtkind.Down, "backend server is not reachable")
	case gtkind.ConnectionLost:
		if !b.CheckDown(context.WithoutCancel(ctx)) {
			return err
		}
		b.OnCrash(b.Crashes.Record(c.Fingerprint(), c.Idempotent()))
		return gtkind.Wrap(err, gtkind.Crashed, "backend server crashed with the request in flight")
	default:
		return err
	}
}

func (b *LocalBackend) newBackendRequest(c gtcall.Call) (*http.Request, error) {
	req, err := newRequest(c, b.Address)
	if err != nil {
		return nil, err
	}
	b.Dialect.setBackendHeader(req.Header, c, max(0, c.Deadline().Sub(b.Now())))
	b.Dialect.setAccount(req.Header, c, b.HasAccounts != nil && b.HasAccounts())
	return req, nil
}

func admissionResult(status int, err error) gtadmission.Result {
	switch {
	case gtkind.Of(err) == gtkind.NotExecuted:
		return gtadmission.Shed
	case err != nil:
		return gtadmission.NoResponse
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return gtadmission.Shed
	case isServerError(status):
		return gtadmission.ServerError
	default:
		return gtadmission.Succeeded
	}
}

// recordEvidence records the outcome as evidence about the version, unless the
// caller caused it or the backend server did not run the request.
func (b *LocalBackend) recordEvidence(c gtcall.Call, status int, start time.Time, latency time.Duration, err error) {
	switch k := gtkind.Of(err); k {
	case gtkind.Canceled, gtkind.BadRequest, gtkind.Down, gtkind.NotExecuted:
		b.omit(k.String())
		return
	default:
	}
	o := gtcanary.NewOutcome(err != nil || isServerError(status), latency)
	if start.Before(b.warmUpEnd()) {
		b.omit("warming up")
		o = o.WithoutLatency()
	}
	b.Outcomes.Add(c.Route(), o)
}

// warmUpEnd returns the time before which latencies are not evidence about the version.
func (b *LocalBackend) warmUpEnd() time.Time {
	if b.WarmUpEnd != nil {
		return b.WarmUpEnd()
	}
	return b.ReadyAt().Add(warmUpPeriod)
}

// omit reports why an outcome or its latency is not counted.
func (b *LocalBackend) omit(reason string) {
	if b.OnOmitted != nil {
		b.OnOmitted(reason)
	}
}

// isServerError reports whether a status is an error of the backend server. 503
// is not, as it means load shedding.
func isServerError(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable
}
