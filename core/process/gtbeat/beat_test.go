package gtbeat

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func follower() (*Follower, *time.Time) {
	now := time.Unix(1000, 0)
	return &Follower{Now: func() time.Time { return now }, Silence: 5 * time.Second}, &now
}

// A heartbeat of a process that has ended comes after one of its successor.
func TestLateBeatOfAnEndedProcessIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	f, _ := follower()
	f.Take(NewBeat("old", "1", 9).WithOrder(100, 7))
	f.Take(NewBeat("new", "1", 9).WithOrder(200, 1))
	last, news := f.Take(NewBeat("old", "1", 9).WithOrder(100, 8))
	g.Expect(news).To(gomega.BeFalse())
	g.Expect(last.ID()).To(gomega.Equal("new"))
}

// A backend server may start again under its id, and counts anew.
func TestProcessMayStartAgainUnderItsID(t *testing.T) {
	g := gomega.NewWithT(t)
	f, _ := follower()
	f.Take(NewBeat("a", "1", 9).WithOrder(100, 70).WithLeaving())
	last, news := f.Take(NewBeat("a", "2", 9).WithOrder(200, 1))
	g.Expect(news).To(gomega.BeTrue())
	g.Expect(last.Version()).To(gomega.Equal("2"))
	g.Expect(last.Leaving()).To(gomega.BeFalse())
}

// Heartbeats of one process may overtake each other, and none takes its leave
// back.
func TestLeavingStays(t *testing.T) {
	g := gomega.NewWithT(t)
	f, _ := follower()
	f.Take(NewBeat("a", "1", 9).WithOrder(100, 3).WithLeaving())
	_, news := f.Take(NewBeat("a", "1", 9).WithOrder(100, 2))
	g.Expect(news).To(gomega.BeFalse())
	last, _ := f.Take(NewBeat("a", "1", 9).WithOrder(100, 4))
	g.Expect(last.Leaving()).To(gomega.BeTrue())
}

func TestLeaveOfAnotherProcessIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	f, _ := follower()
	_, known := f.Leave("a")
	g.Expect(known).To(gomega.BeFalse())
	f.Take(NewBeat("a", "1", 9).WithOrder(100, 3))
	_, known = f.Leave("b")
	g.Expect(known).To(gomega.BeFalse())
	last, known := f.Leave("a")
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(last.Leaving()).To(gomega.BeTrue())
}

func TestSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	f, now := follower()
	g.Expect(f.Silent()).To(gomega.BeFalse(), "nothing was heard yet")
	f.Take(NewBeat("a", "1", 9).WithOrder(100, 1))
	*now = now.Add(5 * time.Second)
	g.Expect(f.Silent()).To(gomega.BeFalse())
	*now = now.Add(time.Millisecond)
	g.Expect(f.Silent()).To(gomega.BeTrue())
}

// A node that was stopped finds no heartbeats from that time. They wait to be
// read, or the next one comes: its server has not stopped.
func TestOwnStandstillIsNoSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	f, now := follower()
	f.Take(NewBeat("a", "1", 9).WithOrder(100, 1))
	*now = now.Add(6 * time.Second)
	woke := *now
	f.Stalled = func(since time.Time) bool { return since.Before(woke) }
	g.Expect(f.Silent()).To(gomega.BeFalse())
	*now = now.Add(f.Silence)
	g.Expect(f.Silent()).To(gomega.BeTrue(), "none has come since")
}

// A node that has just started may hear that its server leaves before it hears a
// heartbeat, and then one that was sent before.
func TestLeaveBeforeTheFirstHeartbeat(t *testing.T) {
	g := gomega.NewWithT(t)
	f, _ := follower()
	_, known := f.Leave("a")
	g.Expect(known).To(gomega.BeFalse())
	last, news := f.Take(NewBeat("a", "1", 9).WithOrder(100, 3))
	g.Expect(news).To(gomega.BeTrue())
	g.Expect(last.Leaving()).To(gomega.BeTrue())
	last, _ = f.Take(NewBeat("b", "1", 9).WithOrder(200, 1))
	g.Expect(last.Leaving()).To(gomega.BeFalse(), "the next process does not")
	later := f.Now().UnixMilli() + 1
	last, _ = f.Take(NewBeat("a", "1", 9).WithOrder(later, 1))
	g.Expect(last.Leaving()).To(gomega.BeFalse(), "nor does a later one with the same id")
	for i := range 3 * maxLeft {
		f.Leave(string(rune('c' + i)))
	}
	g.Expect(len(f.left)).To(gomega.BeNumerically("<=", maxLeft))
}
