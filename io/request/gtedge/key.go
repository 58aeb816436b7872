package gtedge

import (
	"context"
	"sync"

	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtroute"
	"godwittide/core/version/gtconfig"
)

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
