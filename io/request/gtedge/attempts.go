package gtedge

import (
	"context"
	"net/http"
	"slices"
	"time"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtretry"
	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtconfig"
	"godwittide/io/connection/gtpool"
)

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
			if k != gtkind.Leaving || c.IsLastAttempt() || ctx.Err() != nil || !c.CanBeSentAgain() {
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
	if ctx.Err() != nil || !c.CanBeSentAgain() || e.Crashes.IsBlocked(c.Fingerprint()) {
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
		e.Retry.RecordDuration(c.Route(), d-c.Stream().Waited())
	}
	if k == gtkind.Crashed && to.Instance() != e.Self {
		e.OnCrash(gtdedup.NewCrash(c.Fingerprint(), c.Crashes()+1, !c.Idempotent(), e.Now().Add(gtdedup.CrashWindow)))
	}
	return resp, err
}

// recordOutcome reports the outcome of an attempt as evidence about the version.
// Of the errors, only a lost connection, also if the server was full, and a crash count; others may have causes
// outside the version, such as the network.
func (e *Edge) recordOutcome(c gtcall.Call, to gtmember.Record, resp gtcall.Response, k gtkind.Kind, d time.Duration) {
	failed := false
	switch k {
	case gtkind.None:
		failed = resp.Status() >= http.StatusInternalServerError && resp.Status() != http.StatusServiceUnavailable
	case gtkind.ConnectionLost, gtkind.Overflowed, gtkind.Crashed:
		failed = true
	default:
		if e.OnOmitted != nil {
			e.OnOmitted(k.String())
		}
		return
	}
	e.OnOutcome(c.Service(), c.Route(), to.Version(), gtcanary.NewOutcome(failed, d).WithoutLatency())
}
