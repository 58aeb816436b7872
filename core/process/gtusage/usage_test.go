package gtusage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// settable is a pair of clocks that a test sets.
type settable struct {
	wall   time.Time
	uptime time.Duration
}

func (s *settable) clock() *Clock {
	return &Clock{Wall: func() time.Time { return s.wall }, Uptime: func() time.Duration { return s.uptime }}
}

func (s *settable) pass(d time.Duration) { s.wall, s.uptime = s.wall.Add(d), s.uptime+d }

func TestWindowsAreNumberedFrom1970(t *testing.T) {
	g := gomega.NewWithT(t)
	w := NewWindows(5 * time.Second)
	g.Expect(w.At(time.Unix(1767225600, 0))).To(gomega.Equal(int64(353445120)))
	g.Expect(w.At(time.Unix(1767225604, 999_999_999))).To(gomega.Equal(int64(353445120)))
	g.Expect(w.End(353445120)).To(gomega.Equal(time.Unix(1767225605, 0)))
	g.Expect(w.At(time.Unix(0, -1))).To(gomega.Equal(int64(-1)))
}

// Guards against windows that a jump of the time of day shifts. The naive clock, which
// follows it at once, is off by the whole jump.
func TestClockIgnoresShortJumps(t *testing.T) {
	for _, jump := range []time.Duration{3 * time.Second, -3 * time.Second, time.Hour} {
		g := gomega.NewWithT(t)
		s := &settable{wall: time.Unix(1000, 0), uptime: 77 * time.Second}
		c := s.clock()
		c.Time()
		s.pass(time.Second)
		s.wall = s.wall.Add(jump)
		for range 50 {
			s.pass(100 * time.Millisecond)
			g.Expect(c.Time()).To(gomega.Equal(s.wall.Add(-jump)), "naive: %s", s.wall)
		}
		s.wall = s.wall.Add(-jump)
		s.pass(time.Minute)
		g.Expect(c.Time()).To(gomega.Equal(s.wall), "the jump was taken back")
		s.wall = s.wall.Add(jump)
		for range 100 {
			s.pass(100 * time.Millisecond)
			c.Time()
		}
		g.Expect(c.Time()).To(gomega.Equal(s.wall), "a jump that lasts is followed")
		s.wall = s.wall.Add(20 * time.Millisecond)
		g.Expect(c.Time()).To(gomega.Equal(s.wall), "a correction is followed at once")
	}
}

// sender is a process that counts, for tests.
type sender struct {
	instance string
	counter  *Counter
	outbox   *Outbox
}

func newSender(instance string, start int64) *sender {
	return &sender{instance, &Counter{}, NewOutbox(start)}
}

// Guards against counts that lost, repeated or reordered messages, restarts of a
// candidate and requests that turn out not to have run make wrong. The naive rule, which
// sends what was counted since the last message, loses or repeats them.
func TestSumsAreExactDespiteLossAndRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		starts := int64(1)
		sums := NewSums(starts)
		truth := map[string]int{}
		s := newSender("a", 5)
		var late []Batch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			account := fmt.Sprint("account-", rapid.IntRange(0, 5).Draw(t, "account"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				s.counter.Begin(account, 10)
				truth[account]++
			case 3:
				if truth[account] > 0 {
					s.counter.NotRun(account, 10)
					truth[account]--
				}
			case 4:
				if b, ok := s.outbox.Next("c", s.counter.Cells(), 10); ok {
					late = append(late, b) // it times out, and may arrive later
				}
			case 5:
				if len(late) > 0 {
					sums.Add("a", 5, late[rapid.IntRange(0, len(late)-1).Draw(t, "late")])
				}
			default:
				if rapid.Bool().Draw(t, "restart") {
					starts++
					sums = NewSums(starts)
				}
				deliver(s, "c", sums, 10)
			}
		}
		deliver(s, "c", sums, 11)
		for account, n := range truth {
			if n == 0 {
				delete(truth, account)
			}
		}
		g.Expect(sums.Counts(10)).To(gomega.Equal(truth))
		_, more := s.outbox.Next("c", s.counter.Cells(), 11)
		g.Expect(more).To(gomega.BeFalse(), "nothing is sent without news")
	})
}

// deliver sends what is new, and all of it if the receiver lacks names.
func deliver(s *sender, to string, sums *Sums, current int64) {
	for range 2 {
		b, ok := s.outbox.Next(to, s.counter.Cells(), current)
		if !ok {
			return
		}
		epoch, ok := sums.Add(s.instance, s.outbox.Start(), b)
		if !ok {
			s.outbox.Reset(to)
		} else if s.outbox.Acked(to, b, epoch) {
			return
		}
	}
}

// Guards against counts of a killed process that its restart overwrites, or that a new
// candidate doesn't get.
func TestCountsOfEarlierProcessesStay(t *testing.T) {
	g := gomega.NewWithT(t)
	sums := NewSums(1)
	old, restarted := newSender("a", 5), newSender("a", 6)
	old.counter.Begin("x", 10)
	deliver(old, "c", sums, 10)
	restarted.counter.Begin("x", 10)
	restarted.counter.Begin("y", 10)
	deliver(restarted, "c", sums, 10)
	g.Expect(sums.Counts(10)).To(gomega.Equal(map[string]int{"x": 2, "y": 1}))

	other := NewSums(2)
	for range 2 {
		for _, v := range sums.Snapshots() {
			other.Merge(v)
		}
	}
	g.Expect(other.Counts(10)).To(gomega.Equal(sums.Counts(10)))
	restarted.counter.Begin("y", 10)
	deliver(restarted, "c", other, 10)
	g.Expect(other.Counts(10)).To(gomega.Equal(map[string]int{"x": 2, "y": 2}))
}

// Guards against a window that is closed without the counts of a node that is late, and
// against one that waits for a node that is dead, has restarted or is idle.
func TestPendingNamesNodesThatAreLate(t *testing.T) {
	g := gomega.NewWithT(t)
	sums := NewSums(1)
	alive := func(instance string) bool { return instance != "dead" }
	for _, name := range []string{"late", "dead", "idle", "ready"} {
		s := newSender(name, 5)
		s.counter.Begin("x", 10)
		deliver(s, "c", sums, 10)
		if name == "ready" || name == "idle" {
			deliver(s, "c", sums, 12)
		}
	}
	g.Expect(sums.Pending(10, alive)).To(gomega.Equal([]string{"late"}))
	g.Expect(sums.Pending(11, alive)).To(gomega.Equal([]string{"late"}))
	g.Expect(sums.Pending(12, alive)).To(gomega.BeEmpty())
	s := newSender("late", 6)
	s.counter.Begin("x", 12)
	deliver(s, "c", sums, 13)
	g.Expect(sums.Pending(10, alive)).To(gomega.BeEmpty(), "the process has ended")
}

// Guards against counts that wait longer than half a cycle for a message to any receiver, and
// against a receiver that is sent them less than once in a cycle, or costs more messages.
func TestTurnsAreSpreadOverReceivers(t *testing.T) {
	for receivers := 1; receivers <= 4; receivers++ {
		g := gomega.NewWithT(t)
		sent, idle := map[int]int{}, 0
		for turn := range 3 * TurnsPerCycle {
			due := Turn(turn, receivers)
			for _, i := range due {
				sent[i]++
			}
			idle++
			if len(due) > 0 {
				idle = 0
			}
			g.Expect(idle).To(gomega.BeNumerically("<", TurnsPerCycle/2), "turns in a row without a message")
		}
		g.Expect(sent).To(gomega.HaveLen(receivers))
		for _, n := range sent {
			g.Expect(n).To(gomega.Equal(max(3, 6/receivers)))
		}
	}
	gomega.NewWithT(t).Expect(Turn(0, 0)).To(gomega.BeEmpty())
}

// Guards against an answer about one window that lacks counts of a process that hasn't
// declared it complete, or that repeats all that is known.
func TestSnapshotsOfAWindowHoldUnfinishedCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	sums := NewSums(1)
	for _, name := range []string{"killed", "finished"} {
		s := newSender(name, 5)
		s.counter.Begin("x", 9)
		s.counter.Begin("y", 10)
		deliver(s, "c", sums, 10)
		if name == "finished" {
			deliver(s, "c", sums, 11)
		}
	}
	other := NewSums(1)
	for _, v := range sums.SnapshotsOf(10) {
		other.Merge(v)
	}
	g.Expect(other.Counts(10)).To(gomega.Equal(map[string]int{"y": 1}))
	g.Expect(other.Counts(9)).To(gomega.BeEmpty())
}

// Guards against messages that name accounts out of range.
func TestInvalidBatchesAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	sums := NewSums(1)
	for _, b := range []Batch{
		NewBatch(1, 1, []string{"x"}, nil),
		NewBatch(1, -1, []string{"x"}, nil),
		NewBatch(1, 0, []string{"x"}, []BatchWindow{NewBatchWindow(1, []int{1, 1}, false)}),
		NewBatch(1, 0, []string{"x"}, []BatchWindow{NewBatchWindow(1, []int{-1, 1}, false)}),
		NewBatch(1, 0, []string{"x"}, []BatchWindow{NewBatchWindow(1, []int{0, -1}, false)}),
		NewBatch(1, 0, []string{"x"}, []BatchWindow{NewBatchWindow(1, []int{0}, false)}),
		NewBatch(1, 0, make([]string, MaxAccounts+1), nil),
	} {
		_, ok := sums.Add("a", 1, b)
		g.Expect(ok).To(gomega.BeFalse(), "%+v", b)
	}
	g.Expect(sums.Counts(1)).To(gomega.BeEmpty())
}

func newLedger(pending *[]string, known *bool) *Ledger {
	return &Ledger{
		Timing:  NewTiming(NewWindows(5*time.Second), 10*time.Second, 4500*time.Millisecond),
		Pending: func(int64) []string { return *pending }, IsKnown: func(int64) bool { return *known }, Random: rand.Float64,
	}
}

func TestLedgerReportsWindowsInOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	var pending []string
	known := true
	l := newLedger(&pending, &known)
	l.Load(9, true, map[int64]map[string]int{9: {"x": 1}, 10: {"x": 2}}, 0)
	g.Expect(l.Obsolete(9)).To(gomega.Equal([]int64{9}))
	end := l.Timing.Windows().End(11)
	act := func(after time.Duration, mayCall bool) Action { return l.Next(end.Add(after), mayCall) }
	g.Expect(act(0, true)).To(gomega.Equal(Action{kind: Call, window: 10}), "the stored window is sent again, as it may not have been")
	g.Expect(act(0, false)).To(gomega.Equal(Action{}))
	g.Expect(act(time.Second, false)).To(gomega.Equal(Action{kind: Close, window: 11}), "it closes while it may not call")
	l.Failed(end)
	g.Expect(act(0, true)).To(gomega.Equal(Action{}), "backoff")
	g.Expect(act(minCallInterval, true)).To(gomega.Equal(Action{kind: Call, window: 10}))
	l.Acked(10)
	g.Expect(l.Obsolete(9)).To(gomega.Equal([]int64{9, 10}))
	pending = []string{"a"}
	g.Expect(act(2*time.Second, true)).To(gomega.Equal(Action{}), "counts are missing")
	g.Expect(act(3*time.Second, true)).To(gomega.Equal(Action{kind: Close, window: 11}), "no longer")
	l.Stored(11, map[string]int{})
	g.Expect(act(3*time.Second, true)).To(gomega.Equal(Action{kind: Call, window: 11}), "an empty window is reported as well")
	l.Acked(11)
	g.Expect(l.Last()).To(gomega.Equal(int64(11)))
	g.Expect(act(3*time.Second, true)).To(gomega.Equal(Action{}))
}

// Guards against windows whose counts were lost, and that would be reported with what
// came later.
func TestLedgerGivesUpWhatIsNotKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	var pending []string
	known := false
	l := newLedger(&pending, &known)
	l.Load(9, true, nil, 12)
	now := l.Timing.Windows().End(11).Add(time.Second)
	g.Expect(l.Next(now, true).Kind()).To(gomega.Equal(Lose))
	l.Lost(l.Next(now, true))
	g.Expect(l.Next(now, true).Window()).To(gomega.Equal(int64(11)))
	l = newLedger(&pending, &known)
	l.Load(0, false, nil, 11)
	g.Expect(l.Next(now, true)).To(gomega.Equal(Action{kind: Close, window: 11}), "a new deployment has lost nothing")
	g.Expect(l.Next(now.Add(time.Hour), true).Kind()).To(gomega.Equal(Lose))
}

// Guards against thousands of log lines after a long time without a holder, and against
// stored windows that are given up with those between.
func TestLedgerGivesUpExpiredWindowsTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	var pending []string
	known := true
	l := newLedger(&pending, &known)
	l.Load(9, true, map[int64]map[string]int{500: {"x": 1}}, 0)
	now := l.Timing.Windows().End(1000).Add(2 * time.Second)
	a := l.Next(now, true)
	g.Expect([]any{a.Kind(), a.Window(), a.Through()}).To(gomega.Equal([]any{Lose, int64(10), int64(499)}))
	l.Lost(a)
	g.Expect(l.Next(now, true)).To(gomega.Equal(Action{kind: Call, window: 500}))
	l.Acked(500)
	a = l.Next(now, true)
	g.Expect([]any{a.Kind(), a.Window()}).To(gomega.Equal([]any{Lose, int64(501)}))
	g.Expect(now.Sub(l.Timing.Windows().End(a.Through()))).To(gomega.BeNumerically(">", l.Timing.Retention()))
	g.Expect(now.Sub(l.Timing.Windows().End(a.Through() + 1))).To(gomega.BeNumerically("<=", l.Timing.Retention()))
	l.Lost(a)
	g.Expect(l.Next(now, true)).To(gomega.Equal(Action{kind: Close, window: a.Through() + 1}))
}

// Guards against a new holder that sends a window anew whose report it has not seen.
func TestLedgerKeepsStoredCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		var pending []string
		known := rapid.Bool().Draw(t, "known")
		l := newLedger(&pending, &known)
		stored := map[int64]map[string]int{}
		last := int64(9)
		sent := map[int64]int{}
		now := l.Timing.Windows().End(9)
		l.Load(last, true, stored, 0)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch a := l.Next(now, true); a.Kind() {
			case Close:
				g.Expect(stored).NotTo(gomega.HaveKey(a.Window()))
				executed, response := rapid.Bool().Draw(t, "executed"), rapid.Bool().Draw(t, "response")
				if executed {
					stored[a.Window()] = map[string]int{"x": rapid.Int().Draw(t, "n")}
				}
				if executed && response {
					l.Stored(a.Window(), stored[a.Window()])
				} else { // the holder reads what the store has
					l.Load(last, true, stored, 0)
				}
			case Call:
				n := l.Counts(a.Window())["x"]
				if before, ok := sent[a.Window()]; ok {
					g.Expect(n).To(gomega.Equal(before), "two different counts")
				}
				sent[a.Window()] = n
				if rapid.Bool().Draw(t, "ack") {
					l.Acked(a.Window())
				} else {
					l.Failed(now)
				}
			case Lose:
				l.Lost(a)
			case Wait:
			}
			if rapid.IntRange(0, 5).Draw(t, "holder") == 0 {
				l = newLedger(&pending, &known)
				l.Load(last, true, stored, 0)
			}
			last = max(last, l.Last())
		}
	})
}
