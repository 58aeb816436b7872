package gthop

import (
	"context"
	"net/http"
	"time"

	"godwittide/core/request/gtadmission"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/version/gtcanary"
)

// release releases the slot of a call that has ended. If the server was full lately and may
// still run the call, as nobody waited for the response any longer, the slot stays in use for
// as long as requests of its route usually take.
func release(c gtcall.Call, ticket *gtadmission.Ticket, latency time.Duration, result gtadmission.Result, err error) {
	done := func() { ticket.Done(c.Route(), latency, result) }
	if k := gtkind.Of(err); k == gtkind.Deadline || k == gtkind.Canceled {
		if rest := ticket.Linger(latency); rest > 0 {
			time.AfterFunc(rest, done)
			return
		}
	}
	done()
}

// classifyUnanswered refines the kind of an exchange that failed before the head of its
// response. A server that was full never responds, or has reset the connection and still
// accepts others. The idle connections are then closed, too, to leave it room.
func (b *LocalBackend) classifyUnanswered(ctx context.Context, c gtcall.Call, ticket *gtadmission.Ticket, err error) error {
	k := gtkind.Of(err)
	switch {
	case ticket.IsStuck() && (k == gtkind.Refused || k == gtkind.StaleConnection):
		err = gtkind.Wrap(err, gtkind.Full, "backend server responds to later requests, but nothing was written of this one: it was full")
	case ticket.IsStuck() && k == gtkind.Canceled:
		err = gtkind.Wrap(err, gtkind.Overflowed, "backend server never responds to the request, but to later ones: it was full")
	case k == gtkind.ConnectionLost:
		full := ticket.WasReset()
		if err = b.classifyFailure(ctx, c, err); gtkind.Of(err) != gtkind.ConnectionLost || !full {
			return err
		}
		err = gtkind.Wrap(err, gtkind.Overflowed, "backend server reset the connection while it had many requests: it is full")
	default:
		return b.classifyFailure(ctx, c, err)
	}
	b.Pool.CloseIdle(b.Address)
	return err
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

func admissionResult(status int, err error) gtadmission.Result {
	switch {
	case gtkind.Of(err) == gtkind.Overflowed:
		return gtadmission.Overflowed
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
