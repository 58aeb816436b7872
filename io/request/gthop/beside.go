package gthop

import (
	"context"
	"net/http"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtadmit"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtonce"
	"godwittide/core/version/gtevidence"
	"godwittide/io/connection/gtpool"
)

// WarmUp is how long after a start of the backend server its latency does not
// count as evidence about its version.
const WarmUp = 10 * time.Second

// Beside runs calls on the backend server beside the node. It is the only way
// in: the gate, the keys and the evidence stand here. Its fields are set
// before use.
type Beside struct {
	// Now reads the timer service's clock.
	Now func() time.Time
	// Self returns the node's own record.
	Self func() gtmember.Record
	// Address is the backend server's IP and port.
	Address string
	// Buffer is the size up to which an answer is held until it is whole.
	Buffer int
	// Pool holds the connections to the backend server.
	Pool *gtpool.Pool
	// Gate admits.
	Gate *gtadmit.Gate
	// Keys remembers the outcomes of requests with a key.
	Keys *gtonce.Keys
	// Crashes remembers requests that were in flight at a crash.
	Crashes *gtonce.Crashes
	// Ledger counts outcomes.
	Ledger *gtevidence.Ledger
	// Sure says whether this node would know if a request with a key for the
	// service had been sent before.
	Sure func(service string) bool
	// Crashed is told of each request that was in flight at a crash.
	Crashed func(c gtonce.Crash)
	// Down checks whether the backend server refuses connections, and says so.
	Down func(ctx context.Context) bool
	// ReadyAt returns when the backend server last became ready.
	ReadyAt func() time.Time
	// Ran is told of each call that came to this node, and what became of it.
	Ran func(c gtcall.Call, status int, err error, d time.Duration)
	// Dialect is how the backend server is spoken to.
	Dialect Dialect
	// Trace starts a span and returns the function that ends it.
	Trace func(ctx context.Context, name string, h http.Header) (context.Context, func(error))
}

// Run runs a call and returns the backend server's answer, or an error with a
// kind.
func (b *Beside) Run(ctx context.Context, c gtcall.Call) (gtcall.Answer, error) {
	start := b.Now()
	a, err := b.run(ctx, c)
	if b.Ran != nil {
		b.Ran(c, a.Status(), err, b.Now().Sub(start))
	}
	return a, err
}

func (b *Beside) run(ctx context.Context, c gtcall.Call) (gtcall.Answer, error) {
	if self := b.Self(); c.Service() != self.Service() {
		return gtcall.Answer{}, gtkind.New(gtkind.Refused, "instance %s serves %q, not %q", self.Instance(), self.Service(), c.Service())
	}
	if b.Crashes.Blocked(c.Fingerprint()) {
		return gtcall.Answer{}, Blocked(c)
	}
	if c.Key() == "" || c.Idempotent() {
		return b.admit(ctx, c, func(gtcall.Answer, error) {})
	}
	return b.runOnce(ctx, c)
}

// Blocked returns the answer to a request that is held up because backend
// servers crashed with one like it in flight. Where it has a key, that may have
// been this very request: then it can't be called not run.
func Blocked(c gtcall.Call) error {
	if c.Key() != "" && !c.Idempotent() {
		return gtkind.New(gtkind.Forgotten, "a backend server crashed while it ran this request, perhaps under this key")
	}
	return gtkind.New(gtkind.Poison, "backend servers crashed while they ran this request")
}

// runOnce runs a request that carries a key, unless its outcome is known.
func (b *Beside) runOnce(ctx context.Context, c gtcall.Call) (gtcall.Answer, error) {
	id := c.Service() + " " + c.Key()
	claim := gtonce.NewClaim(c.Resend(), b.Sure(c.Service()), c.Again())
	if c.Find() && !b.Keys.Knows(id) {
		return gtcall.Answer{}, gtkind.New(gtkind.Absent, "no request with this key is known here")
	}
	for {
		entry, verdict := b.Keys.Begin(id, c.Fingerprint(), claim)
		switch verdict {
		case gtonce.Run:
			return b.admit(ctx, c, func(a gtcall.Answer, err error) { settle(entry, a, err) })
		case gtonce.Wait:
			select {
			case <-entry.Settled():
			case <-ctx.Done():
				return gtcall.Answer{}, gtkind.New(gtkind.Deadline, "the first request with this key is still running")
			}
		case gtonce.Replay:
			return entry.Answer().(gtcall.Answer).WithLoad(b.Gate.Load(c.Route())), nil
		default:
			return gtcall.Answer{}, refusal(verdict)
		}
	}
}

func settle(entry *gtonce.Entry, a gtcall.Answer, err error) {
	switch {
	case err == nil && a.Stream() == nil:
		entry.Done(a, len(a.Body()))
	case err != nil && gtkind.Of(err).Row().Certainty() == gtkind.NotRun:
		entry.Passed()
	default:
		entry.Lost()
	}
}

func refusal(v gtonce.Verdict) error {
	switch v {
	case gtonce.Passed:
		return gtkind.New(gtkind.Passed, "this node passed the request with this key on")
	case gtonce.Mismatch:
		return gtkind.New(gtkind.Conflict, "the key was used for another request")
	case gtonce.Overflow:
		return gtkind.New(gtkind.Full, "too many keys are remembered")
	case gtonce.Lost:
		return gtkind.New(gtkind.Forgotten, "the first request with this key ran, and its answer is not known")
	default:
		return gtkind.New(gtkind.Forgotten, "this node can't know whether the first request with this key ran")
	}
}

// admit waits for the gate and runs the call. Settled is told the outcome
// before it is returned.
func (b *Beside) admit(ctx context.Context, c gtcall.Call, settled func(gtcall.Answer, error)) (gtcall.Answer, error) {
	refuse := func(err error) (gtcall.Answer, error) {
		settled(gtcall.Answer{}, err)
		return gtcall.Answer{}, err
	}
	ticket, err := b.Gate.Enter(c.Class(), c.Deadline())
	if err != nil {
		return refuse(err)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline())
	select {
	case <-ticket.Granted():
	case <-ctx.Done():
		ticket.Abandon()
		cancel()
		return refuse(gtkind.New(gtkind.Expired, "deadline passed while the request waited"))
	}
	a, err := b.forward(ctx, c, ticket, cancel)
	settled(a, err)
	return a, err
}

// forward sends the call to the backend server. The ticket and the context end
// with the answer's body.
func (b *Beside) forward(ctx context.Context, c gtcall.Call, ticket *gtadmit.Ticket, cancel func()) (gtcall.Answer, error) {
	req, err := b.request(c)
	if err != nil {
		ticket.Done(c.Route(), 0, gtadmit.Failed)
		cancel()
		return gtcall.Answer{}, err
	}
	// The span goes into the request's own header, as other attempts may read
	// the call's at the same time.
	ctx, end := b.Trace(ctx, "backend", req.Header)
	start := b.Now()
	var status int
	finish := func(err error) {
		latency := b.Now().Sub(start)
		ticket.Done(c.Route(), latency, result(status, err))
		b.count(c, status, latency, err)
		end(err)
		cancel()
	}
	resp, err := b.Pool.Do(ctx, b.Address, c.Class().Lane(), req, c.Idempotent())
	if err == nil {
		status = resp.StatusCode
		if err := b.Dialect.check(c, status, resp.Header); err != nil {
			gtpool.Discard(resp)
			finish(err)
			return gtcall.Answer{}, err
		}
		var a gtcall.Answer
		a, err = readAnswer(resp, b.Buffer, finish)
		if err == nil {
			b.survived(c)
			return a.WithLoad(b.Gate.Load(c.Route())), nil
		}
		return gtcall.Answer{}, b.broken(ctx, c, err)
	}
	err = b.broken(ctx, c, err)
	finish(err)
	return gtcall.Answer{}, err
}

func (b *Beside) survived(c gtcall.Call) {
	if c.Crashes() > 0 || b.Crashes.Len() > 0 {
		b.Crashes.Clear(c.Fingerprint())
	}
}

// broken looks closer at a failed exchange: a backend server that refuses
// connections now has crashed with the request in flight, or was down before.
func (b *Beside) broken(ctx context.Context, c gtcall.Call, err error) error {
	switch gtkind.Of(err) {
	case gtkind.Refused, gtkind.NotAlive:
		b.Down(context.WithoutCancel(ctx))
		return gtkind.Wrap(err, gtkind.Down, "backend server does not answer")
	case gtkind.Cut:
		if !b.Down(context.WithoutCancel(ctx)) {
			return err
		}
		b.Crashed(b.Crashes.Note(c.Fingerprint(), c.Idempotent()))
		return gtkind.Wrap(err, gtkind.Crashed, "backend server crashed")
	default:
		return err
	}
}

func (b *Beside) request(c gtcall.Call) (*http.Request, error) {
	req, err := newRequest(c, b.Address)
	if err != nil {
		return nil, err
	}
	b.Dialect.dress(req.Header, c, max(0, c.Deadline().Sub(b.Now())))
	return req, nil
}

func result(status int, err error) gtadmit.Result {
	switch {
	case gtkind.Of(err) == gtkind.Turned:
		return gtadmit.Shed
	case err != nil:
		return gtadmit.Failed
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return gtadmit.Shed
	case failed(status):
		return gtadmit.Faulty
	default:
		return gtadmit.Good
	}
}

// count records the outcome as evidence about the version. What the caller
// brought about does not count.
func (b *Beside) count(c gtcall.Call, status int, latency time.Duration, err error) {
	switch gtkind.Of(err) {
	case gtkind.Canceled, gtkind.BadRequest, gtkind.Down, gtkind.Turned:
		return
	default:
	}
	o := gtevidence.NewOutcome(err != nil || failed(status), latency)
	if b.Now().Sub(b.ReadyAt()) < WarmUp {
		o = o.Untimed()
	}
	b.Ledger.Add(c.Route(), o)
}

// failed says whether a status is a fault of the backend server. Shedding load
// is not.
func failed(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable
}
