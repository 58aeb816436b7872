package gtkind

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestTableIsComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	names := map[string]bool{}
	for _, k := range All() {
		row := k.Row()
		g.Expect(row.Name()).NotTo(gomega.BeEmpty())
		g.Expect(names).NotTo(gomega.HaveKey(row.Name()))
		names[row.Name()] = true
		g.Expect(row.Status()).To(gomega.BeNumerically(">=", 400), row.Name())
		g.Expect(Parse(row.Name())).To(gomega.Equal(k))
		g.Expect(k.String()).To(gomega.Equal(row.Name()))
		g.Expect(Of(New(k, "x"))).To(gomega.Equal(k))
	}
	g.Expect(Parse("kind of a later version")).To(gomega.Equal(Internal))
	g.Expect(Kind(-1).Row()).To(gomega.Equal(Internal.Row()))
	g.Expect(kindCount.Row()).To(gomega.Equal(Internal.Row()))
}

// A status that callers read as "not run" is returned only if that is certain or
// if it is the backend server's own response.
func TestStatusMatchesCertainty(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, k := range All() {
		row := k.Row()
		switch row.Status() {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			g.Expect(row.Certainty() == NotRun || k == Shed).To(gomega.BeTrue(), row.Name())
		case http.StatusBadGateway, http.StatusInternalServerError, http.StatusConflict:
			g.Expect(row.Certainty()).To(gomega.Equal(Unknown), row.Name())
		}
		if row.RetryAfter() > 0 {
			g.Expect(row.RetryElsewhere() || k == NoConfig || k == NoBackend).To(gomega.BeTrue(), "%s has a backoff but is not transient", row.Name())
		}
	}
}

func TestErrorsCarryTheirKind(t *testing.T) {
	g := gomega.NewWithT(t)
	cause := errors.New("connection reset")
	err := Wrap(cause, ConnectionLost, "read the response")
	g.Expect(Of(err)).To(gomega.Equal(ConnectionLost))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("connection reset")))
	g.Expect(Of(Wrap(err, Crashed, "backend server crashed"))).To(gomega.Equal(Crashed), "the outer kind takes precedence")
	g.Expect(Of(cause)).To(gomega.Equal(Internal))
	_, ok := WaitOf(err)
	g.Expect(ok).To(gomega.BeFalse())
	refusal := WithWait(New(Full, "no room"), time.Second)
	wait, ok := WaitOf(refusal)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(wait).To(gomega.Equal(time.Second))
	g.Expect(Of(refusal)).To(gomega.Equal(Full))
	g.Expect(Detail(refusal)).To(gomega.Equal("no room"))
	g.Expect(Of(nil)).To(gomega.Equal(None))
	g.Expect(Detail(New(Full, "queue of %s", "x"))).To(gomega.Equal("queue of x"))
	g.Expect(Detail(cause)).To(gomega.Equal("connection reset"))
}
