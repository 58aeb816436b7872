// Package gtmove decides the course of a move of a service from one version to
// another: when the share of the new version goes up, and when the version is
// taken back.
//
// # Usage
//
//	next, changed := gtmove.Advance(state, move, gtmove.NewFindings(...), now)
//	if changed { compare-and-swap next into the store }
//
// The share goes up only on evidence and goes down at once. Steps are paced so
// that the move ends by its time. After the end the new version is watched for
// a while; a fault that shows then is still taken back.
package gtmove

import (
	"slices"
	"strings"
	"time"

	"godwittide/core/version/gtconfig"
)

// Phase is where a move stands.
type Phase int

// The phases.
const (
	// Running means that the share is on its way up.
	Running Phase = iota
	// Watching means that the new version has all requests and is watched.
	Watching
	// Done means that the move is over and the new version stays.
	Done
	// TakenBack means that the new version was found bad and gets nothing.
	TakenBack
)

var phaseNames = [...]string{"running", "watching", "done", "taken back"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// ParsePhase returns the phase with the given name.
func ParsePhase(name string) (Phase, bool) {
	i := slices.Index(phaseNames[:], name)
	return Phase(max(i, 0)), i >= 0
}

// MaxReason bounds the length of a reason in bytes.
const MaxReason = 512

// State is the record of a move. It is a value.
type State struct {
	id      string
	seq     int64
	phase   Phase
	share   float64
	reason  string
	started time.Time
	stepped time.Time
	ended   time.Time
	rev     int64
}

// NewState returns a state as decoded from a message or the store.
func NewState(id string, seq int64, phase Phase, share float64, reason string, started, stepped, ended time.Time) State {
	if len(reason) > MaxReason {
		reason = reason[:MaxReason]
	}
	return State{id: id, seq: seq, phase: phase, share: share, reason: reason, started: started, stepped: stepped, ended: ended}
}

// ID returns the move's identity.
func (s State) ID() string { return s.id }

// Seq returns the number of the state, which only grows.
func (s State) Seq() int64 { return s.seq }

// Phase returns where the move stands.
func (s State) Phase() Phase { return s.phase }

// Share returns the share of requests, 0 to 1, that the new version gets.
func (s State) Share() float64 { return s.share }

// Reason says why the state is as it is.
func (s State) Reason() string { return s.reason }

// Started returns when the move began.
func (s State) Started() time.Time { return s.started }

// Stepped returns when the share last changed.
func (s State) Stepped() time.Time { return s.stepped }

// Ended returns when the new version had all requests or was taken back.
func (s State) Ended() time.Time { return s.ended }

// Rev returns the store's revision of the record, or 0 if it has none.
func (s State) Rev() int64 { return s.rev }

// WithRev returns a copy with the store's revision.
func (s State) WithRev(rev int64) State {
	s.rev = rev
	return s
}

// Supersedes says whether s wins over old when both are about one move: the
// higher number, and in the same number the lower share.
func (s State) Supersedes(old State) bool {
	if s.seq != old.seq {
		return s.seq > old.seq
	}
	return s.share < old.share
}

// Findings is what the driver knows when it decides.
type Findings struct {
	alarm    string
	doubt    float64
	answered uint64
	traffic  bool
	ready    int
	old      int
}

// NewFindings returns findings: the alarm's text or "", how near the evidence
// is to one (0 to 1), how many requests the new version has answered in this
// step, whether the service has any traffic, and how many backend servers of
// the new and old version are ready.
func NewFindings(alarm string, doubt float64, answered uint64, traffic bool, ready, old int) Findings {
	return Findings{alarm: alarm, doubt: doubt, answered: answered, traffic: traffic, ready: ready, old: old}
}

const (
	// MinStep is the least time between two steps up.
	MinStep = time.Second
	// MaxStep is the time after which enough evidence is let lead to the next
	// step, however far off the end is.
	MaxStep = time.Minute
	// EnoughEvidence is the number of answers of the new version in a step
	// that allows the next.
	EnoughEvidence = 50
	// LeastEvidence is the number that must do when time is short.
	LeastEvidence = 3
	// MaxDoubt is the doubt at which the share stays where it is.
	MaxDoubt = 0.3
	// MaxDoubtDue is the same when the step is overdue.
	MaxDoubtDue = 0.6
	// Margin is the part of the time left that is kept in hand.
	Margin = 0.15
)

// steps are the shares that a move goes through after its first.
var steps = []float64{0.1, 0.25, 0.5, 1}

// Start returns the first state of a move. Was is the state of the move in the
// other direction, if that is what the operators replaced: its share is kept.
func Start(m gtconfig.Move, was *State, now time.Time) State {
	share := m.Start()
	reason := "started"
	if was != nil && 1-was.share > share {
		share = 1 - was.share
		reason = "started at the share that the reversed move had left"
	}
	s := State{id: m.ID(), seq: 1, phase: Running, share: share, reason: reason, started: now, stepped: now}
	if share >= 1 {
		s.phase, s.ended = Watching, now
	}
	return s
}

// IsReverse says whether id is of a move of the same service in the other
// direction, whatever its name.
func IsReverse(id string, m gtconfig.Move) bool {
	return strings.HasSuffix(id, m.ReverseID())
}

// Advance returns the next state of a move, and whether it differs.
func Advance(s State, m gtconfig.Move, f Findings, now time.Time) (State, bool) {
	switch s.phase {
	case Running:
		if f.alarm != "" {
			return s.takeBack(f.alarm, now), true
		}
		return s.step(m, f, now)
	case Watching:
		if f.alarm != "" && f.old > 0 {
			return s.takeBack("after the end: "+f.alarm, now), true
		}
		if now.Sub(s.ended) >= m.Watch() {
			return s.done(now), true
		}
	case Done, TakenBack:
	}
	return s, false
}

func (s State) takeBack(reason string, now time.Time) State {
	if len(reason) > MaxReason {
		reason = reason[:MaxReason]
	}
	s.seq++
	s.phase, s.share, s.reason = TakenBack, 0, reason
	s.stepped, s.ended = now, now
	return s
}

func (s State) done(now time.Time) State {
	s.seq++
	s.phase, s.stepped = Done, now
	return s
}

func (s State) step(m gtconfig.Move, f Findings, now time.Time) (State, bool) {
	if f.ready == 0 {
		return s, false
	}
	wait := stepTime(s, m)
	passed := now.Sub(s.stepped)
	need, doubt := uint64(EnoughEvidence), MaxDoubt
	if passed >= 2*wait {
		need, doubt = LeastEvidence, MaxDoubtDue
	}
	if !f.traffic {
		need = 0
	}
	if passed < wait || f.answered < need || f.doubt > doubt {
		return s, false
	}
	s.seq++
	s.share = nextShare(s.share)
	s.stepped = now
	s.reason = "no fault found"
	if s.share >= 1 {
		s.phase, s.ended = Watching, now
	}
	return s, true
}

// stepTime returns how long a step takes so that the steps left end in time.
// The time left is halved, so that a step may wait twice as long for evidence.
func stepTime(s State, m gtconfig.Move) time.Duration {
	left := float64(m.By(s.started).Sub(s.stepped)) * (1 - Margin)
	d := time.Duration(left / 2 / float64(stepsLeft(s.share)))
	return min(max(d, MinStep), MaxStep)
}

func stepsLeft(share float64) int {
	n := 0
	for _, v := range steps {
		if v > share {
			n++
		}
	}
	return max(n, 1)
}

func nextShare(share float64) float64 {
	for _, v := range steps {
		if v > share {
			return v
		}
	}
	return 1
}
