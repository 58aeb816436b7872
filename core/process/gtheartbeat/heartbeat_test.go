package gtheartbeat

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// newMonitor returns a monitor and the time that it sees, which the test
// advances.
func newMonitor() (*Monitor, *time.Time) {
	now := time.Unix(1000, 0)
	return &Monitor{Now: func() time.Time { return now }, Timeout: 5 * time.Second}, &now
}

// A heartbeat of an ended process can arrive after one of its successor.
func TestDelayedHeartbeatOfEndedProcessIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	m, _ := newMonitor()
	m.Observe(NewHeartbeat("old", "1", 9).WithOrder(100, 7))
	m.Observe(NewHeartbeat("new", "1", 9).WithOrder(200, 1))
	last, newer := m.Observe(NewHeartbeat("old", "1", 9).WithOrder(100, 8))
	g.Expect(newer).To(gomega.BeFalse())
	g.Expect(last.ID()).To(gomega.Equal("new"))
}

// A backend server may restart with the same id; its sequence numbers then begin
// again.
func TestRestartWithSameIDIsAccepted(t *testing.T) {
	g := gomega.NewWithT(t)
	m, _ := newMonitor()
	m.Observe(NewHeartbeat("a", "1", 9).WithOrder(100, 70).WithLeaving())
	last, newer := m.Observe(NewHeartbeat("a", "2", 9).WithOrder(200, 1))
	g.Expect(newer).To(gomega.BeTrue())
	g.Expect(last.Version()).To(gomega.Equal("2"))
	g.Expect(last.Leaving()).To(gomega.BeFalse())
}

// Heartbeats of one process can arrive out of order. None of them may reset the
// leaving state.
func TestProcessStaysLeaving(t *testing.T) {
	g := gomega.NewWithT(t)
	m, _ := newMonitor()
	m.Observe(NewHeartbeat("a", "1", 9).WithOrder(100, 3).WithLeaving())
	_, newer := m.Observe(NewHeartbeat("a", "1", 9).WithOrder(100, 2))
	g.Expect(newer).To(gomega.BeFalse())
	last, _ := m.Observe(NewHeartbeat("a", "1", 9).WithOrder(100, 4))
	g.Expect(last.Leaving()).To(gomega.BeTrue())
}

func TestMarkLeavingOfOtherProcessIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	m, _ := newMonitor()
	_, _, known := m.MarkLeaving("a")
	g.Expect(known).To(gomega.BeFalse())
	m.Observe(NewHeartbeat("a", "1", 9).WithOrder(100, 3))
	_, _, known = m.MarkLeaving("b")
	g.Expect(known).To(gomega.BeFalse())
	_, last, known := m.MarkLeaving("a")
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(last.Leaving()).To(gomega.BeTrue())
}

func TestHeartbeatTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	m, now := newMonitor()
	g.Expect(m.TimedOut()).To(gomega.BeFalse(), "no heartbeat was received yet")
	m.Observe(NewHeartbeat("a", "1", 9).WithOrder(100, 1))
	*now = now.Add(5 * time.Second)
	g.Expect(m.TimedOut()).To(gomega.BeFalse())
	*now = now.Add(time.Millisecond)
	g.Expect(m.TimedOut()).To(gomega.BeTrue())
}

// A paused node reads no heartbeats. They are still unread when it resumes, or the
// next one arrives soon, so the pause must not count as a heartbeat timeout.
func TestProcessPauseIsNoHeartbeatTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	m, now := newMonitor()
	m.Observe(NewHeartbeat("a", "1", 9).WithOrder(100, 1))
	*now = now.Add(6 * time.Second)
	resumed := *now
	m.PausedSince = func(since time.Time) bool { return since.Before(resumed) }
	g.Expect(m.TimedOut()).To(gomega.BeFalse())
	*now = now.Add(m.Timeout)
	g.Expect(m.TimedOut()).To(gomega.BeTrue(), "no heartbeat since the pause")
}

// A node that has just started can learn that its backend server is shutting down
// before it receives a heartbeat, and then receive one that was sent earlier.
func TestMarkLeavingBeforeFirstHeartbeat(t *testing.T) {
	g := gomega.NewWithT(t)
	m, _ := newMonitor()
	_, _, known := m.MarkLeaving("a")
	g.Expect(known).To(gomega.BeFalse())
	last, newer := m.Observe(NewHeartbeat("a", "1", 9).WithOrder(100, 3))
	g.Expect(newer).To(gomega.BeTrue())
	g.Expect(last.Leaving()).To(gomega.BeTrue())
	last, _ = m.Observe(NewHeartbeat("b", "1", 9).WithOrder(200, 1))
	g.Expect(last.Leaving()).To(gomega.BeFalse(), "a process with another id is not leaving")
	later := m.Now().UnixMilli() + 1
	last, _ = m.Observe(NewHeartbeat("a", "1", 9).WithOrder(later, 1))
	g.Expect(last.Leaving()).To(gomega.BeFalse(), "a later process with the same id is not leaving")
	for i := range 3 * maxDepartures {
		m.MarkLeaving(string(rune('c' + i)))
	}
	g.Expect(len(m.departures)).To(gomega.BeNumerically("<=", maxDepartures))
}

// A process that has announced its shutdown is known by its start time, so that a step
// of the time of day does not make a later process with the same id look like it.
func TestDepartureIsOfOneProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.UnixMilli(100_000)
	m := &Monitor{Now: func() time.Time { return now }, Timeout: time.Second}
	first := NewHeartbeat("i", "1", 3).WithOrder(90_000, 1)
	m.Observe(first)
	now = now.Add(4 * time.Second) // the clock steps ahead
	_, _, known := m.MarkLeaving("i")
	g.Expect(known).To(gomega.BeTrue())
	now = now.Add(-4 * time.Second)
	last, _ := m.Observe(NewHeartbeat("i", "1", 3).WithOrder(102_000, 1))
	g.Expect(last.Leaving()).To(gomega.BeFalse(), "a later process with the same id")

	restarted := &Monitor{Now: func() time.Time { return now }, Timeout: time.Second}
	_, known = restarted.MarkDeparted(first.Process())
	g.Expect(known).To(gomega.BeFalse())
	last, _ = restarted.Observe(first.WithOrder(90_000, 7))
	g.Expect(last.Leaving()).To(gomega.BeTrue(), "a heartbeat that was held up")
	last, _ = restarted.Observe(NewHeartbeat("i", "1", 3).WithOrder(102_000, 1))
	g.Expect(last.Leaving()).To(gomega.BeFalse())
	_, known = restarted.MarkDeparted(NewProcess("i", 102_000))
	g.Expect(known).To(gomega.BeTrue(), "the peer's memory comes after the heartbeat")
	for range 3 * maxDepartures {
		restarted.MarkDeparted(NewProcess("i", 102_000))
	}
	g.Expect(restarted.departures).To(gomega.HaveLen(2), "what is told again and again pushes no other departure out")
}

// A backend server crashes and starts again under its id, and leaves before its first
// heartbeat arrives (review/2): the departure is of the process that has sent it, not
// of the one that the node knows.
func TestDepartureIsOfEveryProcessThatStartedBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	m, now := newMonitor()
	crashed, again := now.UnixMilli(), now.UnixMilli()+2000
	m.Observe(NewHeartbeat("a", "1", 9).WithOrder(crashed, 5))
	*now = now.Add(3 * time.Second)
	departed, _, known := m.MarkLeaving("a")
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(departed).To(gomega.Equal(NewProcess("a", now.UnixMilli())), "what peers are told")
	*now = now.Add(2 * time.Second)
	last, newer := m.Observe(NewHeartbeat("a", "1", 9).WithOrder(again, 1))
	g.Expect(newer).To(gomega.BeTrue())
	g.Expect(last.Leaving()).To(gomega.BeTrue(), "its heartbeat was held up")
	last, _ = m.Observe(NewHeartbeat("a", "1", 9).WithOrder(now.UnixMilli()-1, 1))
	g.Expect(last.Leaving()).To(gomega.BeFalse(), "a process that started after the departure")

	restarted, _ := newMonitor()
	restarted.Now = func() time.Time { return *now }
	restarted.MarkDeparted(departed)
	last, _ = restarted.Observe(NewHeartbeat("a", "1", 9).WithOrder(again, 1))
	g.Expect(last.Leaving()).To(gomega.BeTrue(), "the node has restarted, and a peer remembers")
	last, _ = restarted.Observe(NewHeartbeat("a", "1", 9).WithOrder(now.UnixMilli()-1, 1))
	g.Expect(last.Leaving()).To(gomega.BeFalse())
}

// The time of day steps back after a departure. What was remembered of it must not hold
// a process for left that starts afterwards, also not after a restart of the node.
func TestDepartureUnderAClockThatIsAheadHoldsNoLaterProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	m, now := newMonitor()
	*now = now.Add(time.Minute) // ahead
	departed, _, _ := m.MarkLeaving("a")
	*now = now.Add(-time.Minute)
	for _, m := range []*Monitor{m, {Now: m.Now, Timeout: m.Timeout}} {
		m.MarkDeparted(departed)
		last, _ := m.Observe(NewHeartbeat("a", "1", 9).WithOrder(now.UnixMilli()+500, 1))
		g.Expect(last.Leaving()).To(gomega.BeFalse())
		last, _ = m.Observe(NewHeartbeat("a", "1", 9).WithOrder(departed.StartMillis(), 1))
		g.Expect(last.Leaving()).To(gomega.BeTrue(), "the process itself")
	}
}

// All nodes are killed right after a departure was acknowledged (review/3), and the store
// that keeps it can't be read: a single heartbeat, which may have been held up, is not
// enough to take the process into use.
func TestSingleHeartbeatAdmitsNobodyUntilDeparturesAreKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	beat := func(seq int64) Heartbeat { return NewHeartbeat("a", "1", 9).WithOrder(100, seq) }
	first, _ := newMonitor()
	first.Observe(beat(7))
	g.Expect(first.Admits()).To(gomega.BeTrue(), "a node that has had no earlier process")

	m, _ := newMonitor()
	m.NodeStart = time.UnixMilli(150)
	m.Observe(beat(7))
	g.Expect(m.Admits()).To(gomega.BeFalse())
	m.Observe(beat(7))
	m.Observe(beat(6))
	g.Expect(m.Admits()).To(gomega.BeFalse(), "the same heartbeat, and an earlier one")
	m.Observe(beat(8))
	g.Expect(m.Admits()).To(gomega.BeTrue(), "the process is still there")
	m.Observe(NewHeartbeat("b", "1", 9).WithOrder(149, 1))
	g.Expect(m.Admits()).To(gomega.BeFalse(), "another process")
	m.Observe(NewHeartbeat("c", "1", 9).WithOrder(150, 1))
	g.Expect(m.Admits()).To(gomega.BeTrue(), "a process that started after the node")
	m.Observe(NewHeartbeat("d", "1", 9).WithOrder(0, 1))
	g.Expect(m.Admits()).To(gomega.BeFalse(), "a process whose start time is unknown")
	m.FinishRecall()
	g.Expect(m.Admits()).To(gomega.BeTrue())
}
