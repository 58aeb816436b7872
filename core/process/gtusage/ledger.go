package gtusage

import (
	"maps"
	"slices"
	"time"
)

const (
	// closeDelay is the least time from the end of a window until it is closed: nodes
	// send within 400 ms, and their clocks differ by some tens of milliseconds.
	closeDelay = time.Second
	// maxCloseDelay bounds the wait for nodes whose counts of a window are missing. A node
	// that is paused or cut off for longer loses them.
	maxCloseDelay = 3 * time.Second
	// AskTime bounds the time for which the holder asks the other receivers for their counts
	// before it closes a window.
	AskTime = 300 * time.Millisecond
	// maxBacklog bounds the number of stored windows that wait for their call. At the
	// default length it is four minutes of an unreachable duty address.
	maxBacklog = 48
	// minCallInterval and maxCallInterval bound the time between two calls for the same
	// window.
	minCallInterval = 200 * time.Millisecond
	maxCallInterval = 2 * time.Second
)

// Timing holds the times that bound a window's way to its report.
type Timing struct {
	windows  Windows
	due      time.Duration
	takeover time.Duration
}

// NewTiming returns the times for windows whose reports are due a time after their end,
// where a new holder's first call comes up to takeover after the end of the holder before.
func NewTiming(w Windows, due, takeover time.Duration) Timing { return Timing{w, due, takeover} }

// Windows returns the windows.
func (t Timing) Windows() Windows { return t.windows }

// Retention returns how long counts are kept after the end of their window.
func (t Timing) Retention() time.Duration { return 3*t.due + t.windows.length }

// CloseDelay returns how long a window may wait for missing counts: not so long that a
// holder that is killed right before the report makes it late.
func (t Timing) CloseDelay() time.Duration {
	return max(closeDelay, min(maxCloseDelay, t.due-t.takeover-AskTime))
}

// ActionKind is what the holder does next.
type ActionKind int

const (
	// Wait means that nothing is to be done now.
	Wait ActionKind = iota
	// Close means that the counts of a window are to be written to the store.
	Close
	// Call means that the stored counts of a window are to be reported.
	Call
	// Lose means that a window is given up. Its counts are not known.
	Lose
)

// Action is what the holder does next, with a window, or, to give them up, with several.
type Action struct {
	kind   ActionKind
	window int64
	// through is the last of the windows that are given up.
	through int64
	reason  string
}

// Kind returns the kind of the action.
func (a Action) Kind() ActionKind { return a.kind }

// Window returns the number of the window.
func (a Action) Window() int64 { return a.window }

// Through returns the last window that is given up.
func (a Action) Through() int64 { return a.through }

// Reason returns why a window is given up.
func (a Action) Reason() string { return a.reason }

// Ledger is the holder's list of windows. It is used by one goroutine. Its exported
// fields are set before use.
type Ledger struct {
	// Timing holds the bounds in time.
	Timing Timing
	// Pending returns the instances whose counts of a window are missing.
	Pending func(window int64) []string
	// IsKnown reports whether the counts of a window are known, but for those of
	// instances that are pending.
	IsKnown func(window int64) bool
	// Random returns a number in [0,1) for the jitter of a backoff.
	Random func() float64

	last     int64 // all windows up to it are acknowledged or lost
	first    int64 // the first window that a new deployment counts
	stored   map[int64]map[string]int
	obsolete []int64 // windows in the store up to last
	failures int
	nextCall time.Time
}

// Load sets the state that the store holds: the last window that was acknowledged or
// given up, if any holder has noted one, and the stored windows. Oldest is the first
// window that may be reported if there is no such note.
func (l *Ledger) Load(last int64, noted bool, stored map[int64]map[string]int, oldest int64) {
	if !noted {
		last = oldest - 1
		for k := range stored {
			last = min(last, k-1)
		}
		l.first = oldest
	}
	l.last, l.stored, l.obsolete = max(l.last, last), map[int64]map[string]int{}, nil
	for k, counts := range stored {
		if k <= l.last {
			l.obsolete = append(l.obsolete, k)
		} else {
			l.stored[k] = counts
		}
	}
	slices.Sort(l.obsolete)
}

// Last returns the last window up to which all are acknowledged or given up.
func (l *Ledger) Last() int64 { return l.last }

// Obsolete returns the stored windows up to Last, in order, at most limit of them.
func (l *Ledger) Obsolete(limit int) []int64 {
	return slices.Clone(l.obsolete[:min(limit, len(l.obsolete))])
}

// Deleted records that obsolete windows were deleted from the store.
func (l *Ledger) Deleted(windows []int64) {
	l.obsolete = slices.DeleteFunc(l.obsolete, func(k int64) bool { return slices.Contains(windows, k) })
}

// Counts returns the stored counts of a window.
func (l *Ledger) Counts(window int64) map[string]int { return l.stored[window] }

// Next returns what to do at a time. MayCall tells whether a call may be begun now.
func (l *Ledger) Next(now time.Time, mayCall bool) Action {
	due := l.last + 1
	if _, ok := l.stored[due]; ok {
		if len(l.stored) > maxBacklog {
			return Action{kind: Lose, window: due, through: due, reason: "too many windows wait for the duty address"}
		}
		if mayCall && !now.Before(l.nextCall) {
			return Action{kind: Call, window: due}
		}
	}
	k := due
	for l.stored[k] != nil {
		k++
	}
	since := now.Sub(l.Timing.windows.End(k))
	switch {
	case since < closeDelay:
		return Action{}
	case since > l.Timing.Retention():
		if k == due {
			return Action{kind: Lose, window: k, through: l.lastExpired(k, now), reason: "no holder of the duty in time"}
		}
		return Action{}
	case since < l.Timing.CloseDelay() && len(l.Pending(k)) > 0:
		return Action{}
	case k >= l.first && l.first > 0 || l.IsKnown(k):
		return Action{kind: Close, window: k}
	case k == due:
		return Action{kind: Lose, window: k, through: k, reason: "counts were lost: all candidates have started since"}
	default:
		return Action{}
	}
}

// Stored records that the store holds counts for a window.
func (l *Ledger) Stored(window int64, counts map[string]int) {
	if window > l.last {
		l.stored[window] = maps.Clone(counts)
	}
}

// Acked records that a window was acknowledged.
func (l *Ledger) Acked(window int64) {
	l.failures, l.nextCall = 0, time.Time{}
	l.settle(window)
}

// Lost records that windows are given up.
func (l *Ledger) Lost(a Action) {
	if a.through > a.window && a.window == l.last+1 {
		l.last = a.through - 1 // none of these is stored
	}
	l.settle(a.through)
}

// lastExpired returns the last of the windows from k on that are too old to be counted
// and aren't stored. After a long time without a holder they are given up together.
func (l *Ledger) lastExpired(k int64, now time.Time) int64 {
	through := max(k, l.Timing.windows.At(now.Add(-l.Timing.Retention()))-1)
	for stored := range l.stored {
		if stored > k {
			through = min(through, stored-1)
		}
	}
	return through
}

// settle moves last on to the window, which is the one after it.
func (l *Ledger) settle(window int64) {
	if window != l.last+1 {
		return
	}
	l.last = window
	if _, ok := l.stored[window]; ok {
		delete(l.stored, window)
		l.obsolete = append(l.obsolete, window)
	}
}

// Failed records that a call wasn't acknowledged, and sets the time of the next.
func (l *Ledger) Failed(now time.Time) {
	l.failures++
	d := minCallInterval << min(l.failures-1, 5)
	d = min(d, maxCallInterval)
	l.nextCall = now.Add(d/2 + time.Duration(l.Random()*float64(d/2)))
}

// Lag returns the time since the end of the last settled window, and false if there is
// none yet.
func (l *Ledger) Lag(now time.Time) (time.Duration, bool) {
	if l.last == 0 {
		return 0, false
	}
	return now.Sub(l.Timing.windows.End(l.last)), true
}
