// Package gtmove decides how a move shifts a service's traffic from one version
// to another: when the new version's share goes up, and when the new version is
// rolled back.
//
// # Usage
//
//	next, changed := gtmove.Advance(state, move, gtmove.NewFindings(...), now)
//	if changed { compare-and-swap next into the store }
//
// The share goes up in steps, each only on evidence that the new version is
// healthy, and drops to 0 at once on a fault. Steps are timed so that the new
// version has all requests by the move's deadline. After that the new version
// is monitored for a while and is still rolled back if a fault shows.
package gtmove

import (
	"slices"
	"strings"
	"time"

	"godwittide/core/version/gtconfig"
)

// Phase is the stage that a move has reached.
type Phase int

// The phases.
const (
	// Running means that the new version's share is being raised.
	Running Phase = iota
	// Watching means that the new version has all requests and is monitored for
	// faults.
	Watching
	// Done means that the move is over and the new version stays.
	Done
	// RolledBack means that the new version was found bad and was rolled back:
	// its share is 0.
	RolledBack
)

var phaseNames = [...]string{"running", "watching", "done", "taken back"}

// String returns the phase's name, as in records, logs and the admin pages.
func (p Phase) String() string { return phaseNames[p] }

// ParsePhase returns the phase with the given name, and whether there is one.
func ParsePhase(name string) (Phase, bool) {
	i := slices.Index(phaseNames[:], name)
	return Phase(max(i, 0)), i >= 0
}

// MaxReason is the maximum length of a reason in bytes.
const MaxReason = 512

// State is the record of a move's progress. It is immutable.
type State struct {
	id      string
	seq     int64
	phase   Phase
	share   float64
	reason  string
	started time.Time
	updated time.Time
	ended   time.Time
	rev     int64
}

// NewState returns a state with the given fields, as decoded from a message or
// the store. The reason is truncated to MaxReason bytes.
func NewState(id string, seq int64, phase Phase, share float64, reason string, started, updated, ended time.Time) State {
	if len(reason) > MaxReason {
		reason = reason[:MaxReason]
	}
	return State{id: id, seq: seq, phase: phase, share: share, reason: reason, started: started, updated: updated, ended: ended}
}

// ID returns the ID of the move.
func (s State) ID() string { return s.id }

// Seq returns the sequence number of the state, which goes up with each change.
func (s State) Seq() int64 { return s.seq }

// Phase returns the stage that the move has reached.
func (s State) Phase() Phase { return s.phase }

// Share returns the share of requests, 0 to 1, that the new version gets.
func (s State) Share() float64 { return s.share }

// Reason returns why the move last changed its state.
func (s State) Reason() string { return s.reason }

// Started returns when the move began.
func (s State) Started() time.Time { return s.started }

// Updated returns when the share or phase last changed.
func (s State) Updated() time.Time { return s.updated }

// Ended returns when the new version got all requests or was rolled back, or
// the zero time before.
func (s State) Ended() time.Time { return s.ended }

// Rev returns the record's revision in the store, or 0 if it is not stored.
func (s State) Rev() int64 { return s.rev }

// WithRev returns a copy with the given revision in the store.
func (s State) WithRev(rev int64) State {
	s.rev = rev
	return s
}

// Supersedes reports whether s replaces old, a state of the same move: the
// higher sequence number wins, and the lower share if the numbers are equal.
func (s State) Supersedes(old State) bool {
	if s.seq != old.seq {
		return s.seq > old.seq
	}
	return s.share < old.share
}

// Findings is the evidence on which the driver, the instance that advances a
// move, decides the next state.
type Findings struct {
	alarm        string
	alarmLevel   float64
	stepRequests uint64
	hasTraffic   bool
	newReady     int
	oldReady     int
	doubt        string
}

// NewFindings returns findings with these fields:
//   - alarm is the text of the alarm against the new version, or "" if there is
//     none.
//   - alarmLevel is how near the evidence is to an alarm: 0 is not at all, above 1
//     is an alarm.
//   - stepRequests is the number of requests of the new version since the last step
//     that are evidence.
//   - hasTraffic tells whether either version has had a request.
//   - newReady and oldReady are the numbers of ready backend servers of the new and
//     the old version.
func NewFindings(alarm string, alarmLevel float64, stepRequests uint64, hasTraffic bool, newReady, oldReady int) Findings {
	return Findings{alarm: alarm, alarmLevel: alarmLevel, stepRequests: stepRequests, hasTraffic: hasTraffic, newReady: newReady, oldReady: oldReady}
}

// WithDoubt returns a copy with a reason for which the evidence is incomplete. The
// share is then not raised.
func (f Findings) WithDoubt(reason string) Findings {
	f.doubt = reason
	return f
}

// Doubt returns the reason for which the evidence is incomplete, or "".
func (f Findings) Doubt() string { return f.doubt }

const (
	// MinStepInterval is the minimum time between two steps.
	MinStepInterval = time.Second
	// MaxStepInterval is the time after which sufficient evidence allows the
	// next step, however far off the move's deadline is.
	MaxStepInterval = time.Minute
	// MinStepRequests is the number of requests since the last step that must be
	// evidence about the new version to allow the next.
	MinStepRequests = 50
	// MinOverdueRequests replaces MinStepRequests for a step that is overdue,
	// which means that twice its planned interval has passed.
	MinOverdueRequests = 3
	// MaxAlarmLevel is the alarm level above which the share is not raised.
	MaxAlarmLevel = 0.3
	// MaxOverdueAlarmLevel replaces MaxAlarmLevel for a step that is overdue.
	MaxOverdueAlarmLevel = 0.6
	// ScheduleReserve is the fraction of the remaining time that is not planned
	// for steps.
	ScheduleReserve = 0.15
)

// stepShares are the shares that a move goes through after its initial one.
var stepShares = []float64{0.1, 0.25, 0.5, 1}

// InitialState returns the first state of a move. If m replaces a move in the
// opposite direction, reversed is the state of that move, otherwise nil. That
// move's old version is m's new version, and keeps its current share if this is
// above m's initial share.
func InitialState(m gtconfig.Move, reversed *State, now time.Time) State {
	share := m.InitialShare()
	reason := "started"
	if reversed != nil && 1-reversed.share > share {
		share = 1 - reversed.share
		reason = "started at the share that the reversed move had left"
	}
	s := State{id: m.ID(), seq: 1, phase: Running, share: share, reason: reason, started: now, updated: now}
	if share >= 1 {
		s.phase, s.ended = Watching, now
	}
	return s
}

// IsReverse reports whether id belongs to a move of the same service in the
// opposite direction, whatever that move's name.
func IsReverse(id string, m gtconfig.Move) bool {
	return strings.HasSuffix(id, m.ReverseIDSuffix())
}

// Advance returns the state that follows s at the time now, and whether it
// differs from s. An alarm in phase Watching rolls the new version back only if
// the old version still has ready backend servers.
func Advance(s State, m gtconfig.Move, f Findings, now time.Time) (State, bool) {
	switch s.phase {
	case Running:
		if f.alarm != "" {
			return s.rollBack(f.alarm, now), true
		}
		return s.stepUp(m, f, now)
	case Watching:
		if f.alarm != "" && f.oldReady > 0 {
			return s.rollBack("after the end: "+f.alarm, now), true
		}
		if now.Sub(s.ended) >= m.WatchPeriod() {
			return s.finish(now), true
		}
	case Done, RolledBack:
	}
	return s, false
}

// rollBack returns the state after a rollback for the given reason.
func (s State) rollBack(reason string, now time.Time) State {
	if len(reason) > MaxReason {
		reason = reason[:MaxReason]
	}
	s.seq++
	s.phase, s.share, s.reason = RolledBack, 0, reason
	s.updated, s.ended = now, now
	return s
}

// finish returns the state after the new version has been monitored for long
// enough.
func (s State) finish(now time.Time) State {
	s.seq++
	s.phase, s.updated = Done, now
	return s
}

// stepUp raises the new version's share by one step and reports whether it did.
// The step must be due, the evidence must suffice and be complete, and the new version
// must have a ready backend server. A service without traffic needs no finished requests.
func (s State) stepUp(m gtconfig.Move, f Findings, now time.Time) (State, bool) {
	if f.newReady == 0 || f.doubt != "" {
		return s, false
	}
	interval := stepInterval(s, m)
	elapsed := now.Sub(s.updated)
	minRequests, maxLevel := uint64(MinStepRequests), MaxAlarmLevel
	if elapsed >= 2*interval {
		minRequests, maxLevel = MinOverdueRequests, MaxOverdueAlarmLevel
	}
	if !f.hasTraffic {
		minRequests = 0
	}
	if elapsed < interval || f.stepRequests < minRequests || f.alarmLevel > maxLevel {
		return s, false
	}
	s.seq++
	s.share = nextShare(s.share)
	s.updated = now
	s.reason = "no fault found"
	if s.share >= 1 {
		s.phase, s.ended = Watching, now
	}
	return s, true
}

// stepInterval returns the time from the last step to the next, such that the
// remaining steps end by the move's deadline. It plans with half of the
// remaining time, so that a step can wait twice as long for evidence.
func stepInterval(s State, m gtconfig.Move) time.Duration {
	remaining := float64(m.Deadline(s.started).Sub(s.updated)) * (1 - ScheduleReserve)
	d := time.Duration(remaining / 2 / float64(remainingSteps(s.share)))
	return min(max(d, MinStepInterval), MaxStepInterval)
}

func remainingSteps(share float64) int {
	n := 0
	for _, v := range stepShares {
		if v > share {
			n++
		}
	}
	return max(n, 1)
}

func nextShare(share float64) float64 {
	for _, v := range stepShares {
		if v > share {
			return v
		}
	}
	return 1
}
