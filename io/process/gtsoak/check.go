package gtsoak

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// propagationMargin is how long a site must have been undisturbed before a request
// or a zone drain for the guarantees of graceful stops and drains to be checked.
const propagationMargin = 4 * time.Second

// checkGuarantees checks the finished calls and the backend servers' execution
// logs, and reports each violated guarantee. No faults were active after
// faultsEnded.
func (r *soakRun) checkGuarantees(faultsEnded time.Time) {
	executions := r.executions()
	r.report.Calls = map[string]int{}
	for _, c := range r.calls.finishedCalls() {
		r.countOutcome(c)
		r.checkResponseMatches(c)
		if c.method == "POST" {
			r.checkAtMostOnce(c, len(executions[c.attempts[0].Body]))
		}
		if r.soak.Stops {
			r.checkNothingBrokenOff(c, executions[c.attempts[0].Body])
		} else {
			r.checkGracefulStops(c)
		}
		if last := c.attempts[len(c.attempts)-1]; c.attempts[0].SentAt.After(faultsEnded) && !last.OK() {
			r.reportViolation("after the faults ended, a %s request to %s got: %s", c.method, r.sites[last.site].name, outcome(last))
		}
	}
	r.checkDrainedZones()
}

// ranAt is an execution of a request.
type ranAt struct {
	site      *site
	startedAt time.Time
}

// executions returns the executions of each request, by its body or query.
func (r *soakRun) executions() map[string][]ranAt {
	executions := map[string][]ranAt{}
	for _, s := range r.sites {
		for _, e := range s.backend.Executions() {
			body := e.Body
			if e.Method == "GET" {
				body = e.Target[strings.LastIndexAny(e.Target, "?&")+1:]
			}
			executions[body] = append(executions[body], ranAt{s, e.StartedAt})
		}
	}
	return executions
}

// countOutcome counts the outcome of a call's last attempt in the report.
func (r *soakRun) countOutcome(c call) {
	name := c.method
	if c.keyed {
		name += " with a key"
	}
	r.report.Calls[name+": "+outcome(c.attempts[len(c.attempts)-1])]++
}

// outcome returns the text by which the report counts the outcome of an attempt.
// "no whole answer" stands for a missing or incomplete response, except after a
// refused connection.
func outcome(a attempt) string {
	switch {
	case a.OK():
		return "ok"
	case a.Kind != "":
		return fmt.Sprintf("%d %s (%s)", a.Status, a.Kind, a.Certainty)
	case a.Status != 0:
		return fmt.Sprint(a.Status)
	case errors.Is(a.Err, syscall.ECONNREFUSED):
		return "no connection"
	default:
		return "no whole answer"
	}
}

// checkResponseMatches checks that each response with status 200 belongs to its
// request.
func (r *soakRun) checkResponseMatches(c call) {
	for _, a := range c.attempts {
		if a.Status == 200 && !a.Matched {
			r.reportViolation("a %s request to %s got a mismatched response", c.method, r.sites[a.site].name)
		}
	}
}

// checkAtMostOnce checks that a request ran at most once, that it did not run if
// all its responses say so, and that it ran if a response was a success.
func (r *soakRun) checkAtMostOnce(c call, executions int) {
	body := c.attempts[0].Body
	if executions > 1 {
		r.reportViolation("request %s ran %d times (idempotency key: %v)", body, executions, c.keyed)
	}
	if executions > 0 && !slices.ContainsFunc(c.attempts, func(a attempt) bool { return !a.saysNotRun() }) {
		r.reportViolation("request %s ran, but its response says that it did not: %s", body, outcome(c.attempts[0]))
	}
	if executions == 0 && slices.ContainsFunc(c.attempts, func(a attempt) bool { return a.OK() }) {
		r.reportViolation("request %s got a success response but never ran", body)
	}
}

// checkGracefulStops checks that no request was cut off at a site that was either
// undisturbed or stopped gracefully. Refused connections and timeouts are allowed,
// and so are requests to a site that another fault disturbed.
func (r *soakRun) checkGracefulStops(c call) {
	for _, a := range c.attempts {
		if a.Status != 0 || errors.Is(a.Err, syscall.ECONNREFUSED) || strings.Contains(fmt.Sprint(a.Err), "deadline") {
			continue
		}
		target := r.sites[a.site]
		from, to := a.SentAt.Add(-propagationMargin), a.SentAt.Add(a.Duration)
		if target.undisturbedExcept(from, to, "term", "pause") {
			r.reportViolation("a %s request to %s was cut off at %s, after %s: %v", c.method, target.name, to.Format("15:04:05.000"), a.Duration, a.Err)
		}
	}
}

// checkDrainedZones checks that sites in a drained zone got no new requests later
// than maxDrainTime after the configuration change. Disturbed sites are exempt,
// since the change may not have reached them.
func (r *soakRun) checkDrainedZones() {
	for _, drain := range r.drainPeriods {
		for _, s := range r.sites {
			if s.zone != drain.zone || !s.undisturbedExcept(drain.from.Add(-propagationMargin), drain.to) {
				continue
			}
			n := 0
			for _, e := range s.backend.Executions() {
				if e.StartedAt.After(drain.from.Add(maxDrainTime)) && e.StartedAt.Before(drain.to) {
					n++
				}
			}
			if n > 0 {
				r.reportViolation("%d requests ran at %s later than %s after its zone was drained", n, s.name, maxDrainTime)
			}
		}
	}
}
