package gtinflight

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/request/gtkind"
)

// A stop that waits has to name what it waits for: who sent it, how far it has come, and
// for how long.
func TestOldestRequestsAreNamedWithTheirStage(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	table := &Table{Now: func() time.Time { return now }}
	var entries []*Entry
	for i := range 40 {
		e := table.Begin(Origin(i%int(originCount)), fmt.Sprintf("10.0.0.%d:5", i))
		e.Identify(fmt.Sprint(i), "hold", now.Add(time.Minute))
		e.MoveTo(Stage(i%int(stageCount)), "b-1")
		entries = append(entries, e)
		now = now.Add(time.Second)
	}
	g.Expect(table.Len()).To(gomega.Equal(40))
	oldest := table.Oldest(3)
	g.Expect(oldest).To(gomega.HaveLen(3))
	for i, r := range oldest {
		g.Expect(r.ID()).To(gomega.Equal(fmt.Sprint(i)))
		g.Expect(r.Origin()).To(gomega.Equal(Origin(i)))
		g.Expect(r.Stage()).To(gomega.Equal(Stage(i)))
		g.Expect(r.From()).To(gomega.Equal(fmt.Sprintf("10.0.0.%d:5", i)))
		g.Expect(r.Route()).To(gomega.Equal("hold"))
		g.Expect(r.Instance()).To(gomega.Equal("b-1"))
		g.Expect(r.Began()).To(gomega.Equal(time.Unix(1000+int64(i), 0)))
		g.Expect(r.Deadline()).To(gomega.Equal(r.Began().Add(time.Minute)))
	}
	sum := 0
	table.Counts().Each(func(_ Origin, _ Stage, n int) { sum += n })
	g.Expect(sum).To(gomega.Equal(40))
	for i, e := range entries {
		e.SetOutcome(Outcome(i % int(outcomeCount)))
		e.End()
		e.End()
	}
	g.Expect(table.Len()).To(gomega.BeZero())
	g.Expect(table.Outcomes()).To(gomega.Equal(Outcomes{8, 8, 8, 8, 8}))
	g.Expect(table.Outcomes().Since(Outcomes{1, 2, 3, 4, 5})).To(gomega.Equal(Outcomes{7, 6, 5, 4, 3}))
	g.Expect(table.Oldest(3)).To(gomega.BeEmpty())
}

// A request that ends without an outcome, as one whose handler panics, counts as cut.
func TestCountDoesNotLeakUnderConcurrentUse(t *testing.T) {
	g := gomega.NewWithT(t)
	table := &Table{Now: time.Now}
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			defer func() { _ = recover() }()
			e := table.Begin(Caller, "a")
			defer e.End()
			FromContext(NewContext(context.Background(), e)).MoveTo(Working, "b-1")
			_, _, _ = table.Len(), table.Counts(), table.Oldest(5)
			panic("handler")
		})
	}
	wg.Wait()
	g.Expect(table.Len()).To(gomega.BeZero())
	g.Expect(table.Outcomes().Of(Cut)).To(gomega.Equal(int64(50)))
}

func TestOutcomeFollowsFromTheError(t *testing.T) {
	g := gomega.NewWithT(t)
	for outcome, err := range map[Outcome]error{
		Answered:  nil,
		Refused:   gtkind.New(gtkind.Leaving, "x"),
		Failed:    gtkind.New(gtkind.Unresponsive, "x"),
		Abandoned: gtkind.New(gtkind.Canceled, "x"),
	} {
		g.Expect(OutcomeOf(err)).To(gomega.Equal(outcome))
	}
}

// A part that is used without a table records nothing.
func TestNilTableRecordsNothing(t *testing.T) {
	var table *Table
	e := table.Begin(Peer, "a")
	e.Identify("1", "r", time.Time{})
	e.MoveTo(Queued, "")
	e.SetOutcome(Answered)
	e.End()
	FromContext(NewContext(t.Context(), e)).MoveTo(Writing, "")
}
