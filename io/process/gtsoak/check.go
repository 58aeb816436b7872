package gtsoak

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// learnMargin is how long before planned work a site has to be undisturbed for
// the work to be held to its promises.
const learnMargin = 4 * time.Second

// check looks at all that callers and backend servers have seen. From calm on
// there were no faults.
func (r *run) check(calm time.Time) {
	runs := r.runs()
	r.report.Calls = map[string]int{}
	for _, c := range r.calls.all() {
		r.tally(c)
		r.checkWhole(c)
		if c.method == "POST" {
			r.checkOnce(c, runs[c.sends[0].Body])
		}
		r.checkDrain(c)
		if last := c.sends[len(c.sends)-1]; c.sends[0].At.After(calm) && !last.OK() {
			r.find("after all faults a %s to %s got %s", c.method, r.sites[last.site].name, outcome(last))
		}
	}
	r.checkOut()
}

// runs counts the runs of each request that is not to be repeated, by its body.
func (r *run) runs() map[string]int {
	runs := map[string]int{}
	for _, s := range r.sites {
		for _, one := range s.backend.Log() {
			if one.Method == "POST" {
				runs[one.Body]++
			}
		}
	}
	return runs
}

func (r *run) tally(c call) {
	name := c.method
	if c.keyed {
		name += " with a key"
	}
	r.report.Calls[name+": "+outcome(c.sends[len(c.sends)-1])]++
}

// outcome names what came of a send.
func outcome(s send) string {
	switch {
	case s.OK():
		return "ok"
	case s.Kind != "":
		return fmt.Sprintf("%d %s (%s)", s.Status, s.Kind, s.Certainty)
	case s.Status != 0:
		return fmt.Sprint(s.Status)
	case errors.Is(s.Err, syscall.ECONNREFUSED):
		return "no connection"
	default:
		return "no whole answer"
	}
}

// checkWhole holds an answer of success to be the whole answer to its request.
func (r *run) checkWhole(c call) {
	for _, s := range c.sends {
		if s.Status == 200 && !s.Right {
			r.find("a %s to %s got another answer than its own", c.method, r.sites[s.site].name)
		}
	}
}

// checkOnce holds a request to have run at most once, and not at all if all its
// answers say so.
func (r *run) checkOnce(c call, runs int) {
	body := c.sends[0].Body
	if runs > 1 {
		r.find("request %s ran %d times (key: %v)", body, runs, c.keyed)
	}
	if runs > 0 && !slices.ContainsFunc(c.sends, func(s send) bool { return !s.notRun() }) {
		r.find("request %s ran, and its answer says that it did not: %s", body, outcome(c.sends[0]))
	}
	if runs == 0 && slices.ContainsFunc(c.sends, func(s send) bool { return s.OK() }) {
		r.find("request %s got a success and never ran", body)
	}
}

// checkDrain holds a graceful stop to have cut off nothing that was sent before
// the process was gone.
func (r *run) checkDrain(c call) {
	for _, s := range c.sends {
		if s.Status != 0 || errors.Is(s.Err, syscall.ECONNREFUSED) || strings.Contains(fmt.Sprint(s.Err), "deadline") {
			continue
		}
		at := r.sites[s.site]
		from, to := s.At.Add(-learnMargin), s.At.Add(s.Duration)
		if at.undisturbed("term", from, to) {
			r.find("a %s to %s was cut off at %s, after %s: %v", c.method, at.name, to.Format("15:04:05.000"), s.Duration, s.Err)
		}
	}
}

// checkOut holds a zone that was taken out to get no new work, where its nodes
// could learn of it.
func (r *run) checkOut() {
	for _, o := range r.outs {
		for _, s := range r.sites {
			if s.zone != o.zone || !s.undisturbed("", o.from.Add(-learnMargin), o.to) {
				continue
			}
			n := 0
			for _, one := range s.backend.Log() {
				if one.At.After(o.from.Add(outLimit)) && one.At.Before(o.to) {
					n++
				}
			}
			if n > 0 {
				r.find("%d requests ran at %s later than %s after its zone was taken out", n, s.name, outLimit)
			}
		}
	}
}
