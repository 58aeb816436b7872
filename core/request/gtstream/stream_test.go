package gtstream

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/request/gtkind"
)

// Guards against a streamed body of a request that may be retried, or whose key needs the hash
// of its body: neither could be served again.
func TestOnlyBodiesThatAreNotKeptAreStreamed(t *testing.T) {
	g := gomega.NewWithT(t)
	const whole = DefaultWholeBytes
	for _, c := range []struct {
		idempotent, hasKey bool
		length             int64
		want               Reading
	}{
		{false, false, whole, Whole},
		{false, false, whole + 1, Windows},
		{false, false, -1, Probed},
		{true, false, whole + 1, Whole},
		{true, false, -1, Whole},
		{false, true, whole + 1, Whole},
		{false, true, -1, Whole},
		{false, false, 0, Whole},
	} {
		g.Expect(Choose(c.idempotent, c.hasKey, c.length, whole)).To(gomega.Equal(c.want), "%+v", c)
	}
}

// clock is a clock that the test sets.
type clock struct{ now time.Time }

func newBody(c *clock, windows ...string) *Body {
	b := NewBody(-1, func() time.Time { return c.now })
	b.Interrupt = func() {}
	b.Read = func() ([]byte, Cause, error) {
		if len(windows) == 0 {
			return nil, None, io.EOF
		}
		w := windows[0]
		windows = windows[1:]
		if w == "cut" {
			return nil, SenderLeft, errors.New("cut")
		}
		b.Moved(len(w))
		return []byte(w), None, nil
	}
	return b
}

// Guards against a second attempt with a body whose beginning is gone.
func TestBodyCanBeSentAgainUntilAWindowIsForwarded(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBody(&clock{time.Unix(1000, 0)}, "a", "b")
	begun := 0
	b.Begin = func(bool) { begun++ }
	g.Expect(b.CanBeSentAgain()).To(gomega.BeTrue())
	_, err := b.Next()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(b.CanBeSentAgain()).To(gomega.BeFalse())
	_, _ = b.Next()
	_, err = b.Next()
	g.Expect(err).To(gomega.Equal(io.EOF))
	g.Expect(b.IsComplete()).To(gomega.BeTrue())
	g.Expect(begun).To(gomega.Equal(1))
}

// Guards against a body that was read whole for an older node and can't be retried, and against
// a retry with one of which only a part was kept.
func TestKeptBodyCanBeSentAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBody(&clock{time.Unix(1000, 0)}, "a")
	rewound := 0
	b.KeepAll, b.Rewind = func() error { return nil }, func() { rewound++ }
	b.Restart()
	g.Expect(rewound).To(gomega.BeZero())
	g.Expect(b.Keep()).To(gomega.Succeed())
	_, _ = b.Next()
	g.Expect(b.CanBeSentAgain()).To(gomega.BeTrue())
	b.Restart()
	g.Expect(rewound).To(gomega.Equal(1))

	failed := newBody(&clock{time.Unix(1000, 0)})
	failed.KeepAll = func() error { return gtkind.New(gtkind.Full, "no room") }
	g.Expect(gtkind.Of(failed.Keep())).To(gomega.Equal(gtkind.Full))
	g.Expect(failed.CanBeSentAgain()).To(gomega.BeFalse())
}

// Guards against a body that holds a slot without progress, and against one that is dropped
// because the backend server, not its sender, is slow.
func TestOnlyTimeSpentReadingCountsAsStalled(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &clock{time.Unix(1000, 0)}
	b := NewBody(-1, func() time.Time { return c.now })
	c.now = c.now.Add(time.Minute) // in the queue
	b.setReading(true)
	c.now = c.now.Add(StallTime - 1)
	g.Expect(b.IsStalled()).To(gomega.BeFalse())
	b.setReading(false)
	c.now = c.now.Add(time.Minute) // the server reads slowly
	g.Expect(b.IsStalled()).To(gomega.BeFalse())
	b.setReading(true)
	g.Expect(b.IsStalled()).To(gomega.BeFalse())
	b.Moved(minMoved - 1) // a trickle is no progress
	c.now = c.now.Add(1)
	g.Expect(b.IsStalled()).To(gomega.BeTrue())
	b.Moved(1)
	g.Expect(b.IsStalled()).To(gomega.BeFalse())
}

// Guards against an error that says "not run", or that counts against the backend server's
// version, for a body that failed after its head was sent.
func TestFailureOfABodyPromisesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	for cause, want := range map[Cause]gtkind.Kind{
		SenderLeft: gtkind.Canceled, DeadlinePassed: gtkind.Deadline, TooLarge: gtkind.ConnectionLost,
		DroppedForMemory: gtkind.ConnectionLost, DroppedForSlot: gtkind.ConnectionLost, ShutDown: gtkind.ConnectionLost,
	} {
		b := newBody(&clock{time.Unix(1000, 0)})
		b.Read = func() ([]byte, Cause, error) { return nil, cause, errors.New("failed") }
		_, err := b.Next()
		g.Expect(gtkind.Of(err)).To(gomega.Equal(gtkind.Canceled), cause.String())
		g.Expect(b.Failure()).To(gomega.HaveOccurred())
		out := b.Outcome(err)
		g.Expect(gtkind.Of(out)).To(gomega.Equal(want), cause.String())
		g.Expect(gtkind.Of(out).Row().Certainty()).To(gomega.Equal(gtkind.Unknown))
	}
	// The peer dropped it: this node's body has no cause of its own.
	b := newBody(&clock{time.Unix(1000, 0)}, "a")
	b.Stop()
	g.Expect(gtkind.Of(b.Outcome(gtkind.New(gtkind.Canceled, "instance a1: cut off")))).To(gomega.Equal(gtkind.ConnectionLost))
	g.Expect(gtkind.Of(b.Outcome(gtkind.New(gtkind.Full, "refused")))).To(gomega.Equal(gtkind.Full))
}

// Guards against an interrupt that reaches the next request of the same connection.
func TestStopDoesNothingOnceTheBodyIsComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBody(&clock{time.Unix(1000, 0)})
	interrupted := 0
	b.Interrupt = func() { interrupted++ }
	_, _ = b.Next()
	b.Stop()
	g.Expect(interrupted).To(gomega.BeZero())
	g.Expect(b.Failure()).NotTo(gomega.HaveOccurred())
	failed := newBody(&clock{time.Unix(1000, 0)}, "cut")
	_, _ = failed.Next()
	failed.Stop()
	g.Expect(gtkind.Of(failed.Outcome(failed.Failure()))).To(gomega.Equal(gtkind.Canceled), "the first cause stays")
	left := newBody(&clock{time.Unix(1000, 0)}, "cut")
	left.Stop() // by the context of the request, which ends as the sender leaves
	_, err := left.Next()
	g.Expect(gtkind.Of(left.Outcome(err))).To(gomega.Equal(gtkind.Canceled))
	open := newBody(&clock{time.Unix(1000, 0)}, "a")
	open.Interrupt = func() { interrupted++ }
	open.Drop(DroppedForSlot)
	open.Stop()
	g.Expect(interrupted).To(gomega.Equal(1))
	g.Expect(open.Failure()).To(gomega.HaveOccurred())
	g.Expect(open.CanBeSentAgain()).To(gomega.BeFalse())
}
