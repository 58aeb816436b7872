package gtsoak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The bounds of the users' rules on a bad version.
const (
	// exposureShare and exposureSlack bound the requests that a bad version may get: a
	// share of all that reach the service between the order and its deadline, and a
	// number on top.
	exposureShare = 0.1
	exposureSlack = 50
	// rollbackTime is the time after MaxBadAnswers within which requests to a bad
	// version have to end.
	rollbackTime = 5 * time.Second
	// traceInterval is the time that a line of the trace covers.
	traceInterval = 500 * time.Millisecond
)

// MaxBadAnswers is the number of bad answers after which a bad version has to be rolled
// back.
const MaxBadAnswers = 50

// RolloutReport is the result of a run of a rollout. Counts are of requests that reached
// a backend server between the order and the deadline.
type RolloutReport struct {
	Seed    uint64  `json:"seed"`
	Kind    string  `json:"kind"`
	Trouble string  `json:"trouble"`
	Rate    float64 `json:"rate"`
	// Total is the number of requests for the service, New of those to the new version,
	// and NewInTouch of those that nodes in touch sent.
	Total      int `json:"total"`
	New        int `json:"new"`
	NewInTouch int `json:"touch"`
	// BadAnswers is the number of bad answers of the new version until its last request.
	BadAnswers int `json:"bad"`
	// LateMS is the time in milliseconds from the answer number MaxBadAnswers to the last
	// request to the new version, and LateInTouchMS to the last from a node in touch. 0
	// means none.
	LateMS        int64 `json:"late"`
	LateInTouchMS int64 `json:"lateTouch"`
	// LateCount and LateInTouchCount are the numbers of requests later than rollbackTime
	// after that answer.
	LateCount        int `json:"lates"`
	LateInTouchCount int `json:"latesTouch"`
	// MaxShare is the highest share of the new version that a node has shown, and Phase
	// the phase of the move at its deadline.
	MaxShare float64 `json:"share"`
	Phase    string  `json:"phase"`
	// Violations describes the violations of the rule.
	Violations []string `json:"broken"`
}

// newRequest is a request that reached the new version.
type newRequest struct {
	arrival
	sentAt  time.Time
	inTouch bool
}

// check evaluates the run and writes its trace.
func (r *rolloutRun) check() RolloutReport {
	out := RolloutReport{Seed: r.rollout.Seed, Kind: r.rollout.Kind, Trouble: r.rollout.Trouble, Rate: r.rate}
	deadline := r.orderedAt.Add(r.rollout.RolloutTime)
	requests := r.newRequests()
	for _, b := range r.servers {
		if b.site.service == movedService {
			out.Total += countBetween(b.arrivals(), r.orderedAt, deadline)
		}
	}
	for _, q := range requests {
		if q.at.Before(deadline) {
			out.New++
			if q.inTouch {
				out.NewInTouch++
			}
		}
		if q.bad {
			out.BadAnswers++
		}
	}
	r.measureRollback(&out, requests)
	r.summarizeMove(&out, deadline)
	if r.rollout.Kind != kindGood {
		r.checkExposure(out)
	}
	out.Violations = r.report.Violations
	r.writeTrace(r.trace(requests))
	return out
}

// newRequests returns the requests that reached the new version, by time.
func (r *rolloutRun) newRequests() []newRequest {
	var out []newRequest
	for _, s := range r.new {
		for _, a := range r.servers[s].arrivals() {
			sent, ok := r.sends[a.id]
			q := newRequest{arrival: a, sentAt: a.at}
			if ok {
				q.sentAt = sent.SentAt
				q.inTouch = r.inTouch(sent.entry, a.at) && r.inTouch(s, a.at)
			}
			out = append(out, q)
		}
	}
	slices.SortFunc(out, func(a, b newRequest) int { return a.at.Compare(b.at) })
	return out
}

// inTouch reports whether a node has been undisturbed for contactTime. The start of a node
// of the new version is not a disturbance.
func (r *rolloutRun) inTouch(s *site, at time.Time) bool {
	return s.undisturbedExcept(at.Add(-contactTime), at)
}

// measureRollback measures how long after its bad answer number MaxBadAnswers the new
// version got requests. Of the bad answers, only those since the store was last unstable
// count for nodes in touch.
func (r *rolloutRun) measureRollback(out *RolloutReport, requests []newRequest) {
	var answers []time.Time
	for _, q := range requests {
		if q.bad {
			answers = append(answers, q.answeredAt)
		}
	}
	slices.SortFunc(answers, time.Time.Compare)
	for _, q := range requests {
		if late := q.sentAt.Sub(limitAnswer(answers, time.Time{})); late > 0 {
			out.LateMS = max(out.LateMS, late.Milliseconds())
			out.LateCount += countIf(late > rollbackTime)
		}
		late := q.sentAt.Sub(limitAnswer(answers, r.storeStableSince(q.sentAt)))
		if q.inTouch && late > 0 {
			out.LateInTouchMS = max(out.LateInTouchMS, late.Milliseconds())
			out.LateInTouchCount += countIf(late > rollbackTime)
		}
	}
}

// limitAnswer returns the time of the answer number MaxBadAnswers since a time, or a time
// in the far future if there is none.
func limitAnswer(answers []time.Time, since time.Time) time.Time {
	first, _ := slices.BinarySearchFunc(answers, since, time.Time.Compare)
	if len(answers)-first < MaxBadAnswers {
		return time.Now().Add(time.Hour)
	}
	return answers[first+MaxBadAnswers-1]
}

// storeStableSince returns the time at which the store became stable, of the last period
// of trouble before a time.
func (r *rolloutRun) storeStableSince(at time.Time) time.Time {
	var since time.Time
	s := r.old[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.disturbances {
		if strings.HasPrefix(d.kind, "store") && d.from.Before(at) {
			since = d.to.Add(contactTime)
		}
	}
	return since
}

// summarizeMove adds the highest share and the last phase before the deadline.
func (r *rolloutRun) summarizeMove(out *RolloutReport, deadline time.Time) {
	var last time.Time
	for _, s := range r.states {
		out.MaxShare = max(out.MaxShare, s.share)
		if s.at.Before(deadline) && s.at.After(last) {
			last, out.Phase = s.at, s.phase
		}
	}
}

// checkExposure checks the users' rule on bad versions.
func (r *rolloutRun) checkExposure(out RolloutReport) {
	limit := exposureShare*float64(out.Total) + exposureSlack
	if float64(out.NewInTouch) > limit {
		r.reportViolation("exposure: the new version got %d of %d requests from nodes in touch (%d from all); the limit is %.0f", out.NewInTouch, out.Total, out.New, limit)
	}
	if out.LateInTouchCount > 0 {
		r.reportViolation("rollback: the new version got %d requests from nodes in touch later than %s after %d bad answers, the last %d ms after them", out.LateInTouchCount, rollbackTime, MaxBadAnswers, out.LateInTouchMS)
	}
}

// trace returns a line for each traceInterval from the order on: requests to the new
// version, in touch, bad answers, and the states of the move that nodes have shown.
func (r *rolloutRun) trace(requests []newRequest) string {
	var text strings.Builder
	for from := time.Duration(0); from < r.rollout.RolloutTime+afterTime; from += traceInterval {
		start, end := r.orderedAt.Add(from), r.orderedAt.Add(from+traceInterval)
		old, got, inTouch, bad := 0, 0, 0, 0
		for _, s := range r.old {
			old += countBetween(r.servers[s].arrivals(), start, end)
		}
		for _, q := range requests {
			within := !q.at.Before(start) && q.at.Before(end)
			got += countIf(within)
			inTouch += countIf(within && q.inTouch)
			bad += countIf(q.bad && !q.answeredAt.Before(start) && q.answeredAt.Before(end))
		}
		fmt.Fprintf(&text, "%s +%4.1fs old %3d new %3d (in touch %3d) bad %3d %v\n", start.UTC().Format("15:04:05.000"), from.Seconds(), old, got, inTouch, bad, r.statesBetween(start, end))
	}
	for _, s := range r.sites {
		for _, d := range s.disturbances {
			fmt.Fprintf(&text, "%s %s +%.2fs to +%.2fs\n", s.name, d.kind, d.from.Sub(r.orderedAt).Seconds(), d.to.Sub(r.orderedAt).Seconds())
		}
	}
	return text.String()
}

// statesBetween returns the states of the move that nodes have shown in a period, each with
// the number of nodes.
func (r *rolloutRun) statesBetween(start, end time.Time) map[string]int {
	last := map[string]string{}
	for _, s := range r.states {
		if !s.at.Before(start) && s.at.Before(end) {
			last[s.node] = fmt.Sprintf("%s %.2f", s.phase, s.share)
		}
	}
	counts := map[string]int{}
	for _, state := range last {
		counts[state]++
	}
	return counts
}

// countBetween returns the number of arrivals in a period.
func countBetween(list []arrival, start, end time.Time) int {
	n := 0
	for _, a := range list {
		n += countIf(!a.at.Before(start) && a.at.Before(end))
	}
	return n
}

// countIf returns 1 if the condition holds.
func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
