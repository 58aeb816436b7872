package gtsequence_test

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"godwittide/core/connection/gtsequence"
)

var limits = gtsequence.Limits{Requests: 4, RequestBytes: 100, ResponseBytes: 1000}

// A non-idempotent request that has run before the connection closed could not be sent again.
func TestNonIdempotentRequestsRunAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	s := gtsequence.New(limits)
	s.Start(true, 1)
	g.Expect(s.MayStart(true, 1)).To(gomega.BeTrue())
	g.Expect(s.MayStart(false, 1)).To(gomega.BeFalse(), "one is ahead of it")
	s.Answer(false)
	g.Expect(s.MayStart(false, 1)).To(gomega.BeTrue())
	s.Start(false, 1)
	g.Expect(s.MayRead()).To(gomega.BeFalse(), "what is behind it stays unread")
	g.Expect(s.MayStart(true, 1)).To(gomega.BeFalse())
	s.Answer(false)
	g.Expect(s.MayRead()).To(gomega.BeTrue())
}

// A caller must not make the node keep more than the bounds, in number or bytes.
func TestBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	s := gtsequence.New(limits)
	s.Start(true, 1<<40) // at its turn
	g.Expect(s.MayStart(true, 101)).To(gomega.BeFalse())
	g.Expect(s.MayStart(true, 100)).To(gomega.BeTrue())
	s.Start(true, 60)
	g.Expect(s.MayStart(true, 41)).To(gomega.BeFalse())
	s.Start(true, 40)
	s.Start(true, 0)
	g.Expect(s.MayRead()).To(gomega.BeFalse())
	g.Expect(s.MayStart(true, 0)).To(gomega.BeFalse())
	g.Expect(s.Keep(1, 600)).To(gomega.BeTrue())
	g.Expect(s.Keep(2, 401)).To(gomega.BeFalse())
	g.Expect(s.Keep(2, 400)).To(gomega.BeTrue())
	g.Expect(s.Keep(3, 1)).To(gomega.BeFalse())
	s.Answer(false)
	s.Answer(false)
	g.Expect(s.Keep(3, 600)).To(gomega.BeTrue(), "answered ones keep nothing")
	g.Expect(s.MayStart(true, 60)).To(gomega.BeTrue())
}

// Behind a response that closes the connection none may be answered; when a node drains, the
// last of those that have started carries the close.
func TestCloses(t *testing.T) {
	g := gomega.NewWithT(t)
	s := gtsequence.New(limits)
	a, b := s.Start(true, 1), s.Start(true, 1)
	g.Expect(s.Closes(a, true, false)).To(gomega.BeTrue())
	g.Expect(s.MayStart(true, 1)).To(gomega.BeFalse())
	s.Answer(true)
	g.Expect(s.Ended()).To(gomega.BeTrue())
	g.Expect(s.IsFront(b)).To(gomega.BeFalse())
	g.Expect(s.Keep(b, 1)).To(gomega.BeFalse())

	s = gtsequence.New(limits)
	a, b = s.Start(true, 1), s.Start(true, 1)
	g.Expect(s.Closes(a, false, true)).To(gomega.BeFalse())
	g.Expect(s.Closes(a, true, true)).To(gomega.BeFalse())
	g.Expect(s.MayRead()).To(gomega.BeFalse())
	s.Answer(false)
	g.Expect(s.Ended()).To(gomega.BeFalse())
	g.Expect(s.Closes(b, false, true)).To(gomega.BeTrue())
	s.Answer(true)
	g.Expect(s.Ended()).To(gomega.BeTrue())
}

// Whatever happens in whatever order, the rules hold against a plain model: a list of what
// runs, of which at most one is not idempotent, and then alone.
func TestSequenceOfRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := gtsequence.New(limits)
		var running []bool // idempotent, by request
		next, front, stopped := uint64(0), uint64(0), false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				idempotent, size := rapid.Bool().Draw(t, "idempotent"), rapid.Int64Range(0, 120).Draw(t, "size")
				if !s.MayStart(idempotent, size) {
					if len(running) == 0 && !stopped {
						t.Fatal("a request that is alone may not start")
					}
					continue
				}
				for _, other := range running {
					if !other || !idempotent {
						t.Fatal("a request runs beside a non-idempotent one")
					}
				}
				if stopped || len(running) == limits.Requests {
					t.Fatal("a request starts after the stop or above the bound")
				}
				if n := s.Start(idempotent, size); n != next {
					t.Fatalf("request %d has number %d", next, n)
				}
				running, next = append(running, idempotent), next+1
			case 3, 4:
				if len(running) == 0 {
					continue
				}
				if !s.IsFront(front) || s.IsFront(front+1) {
					t.Fatal("not the oldest request is at the front")
				}
				closes := s.Closes(front, rapid.Float64Range(0, 1).Draw(t, "asked") < 0.05, rapid.Bool().Draw(t, "draining"))
				stopped = s.Stopped()
				s.Answer(closes)
				running, front = running[1:], front+1
				if closes {
					running = nil
				}
			default:
				if rapid.IntRange(0, 9).Draw(t, "stop") == 0 {
					s.Stop()
					stopped = true
				}
			}
			if s.Len() != len(running) || s.Ended() != (stopped && len(running) == 0) {
				t.Fatalf("%d run, %d are known; ended: %v", len(running), s.Len(), s.Ended())
			}
		}
	})
}
