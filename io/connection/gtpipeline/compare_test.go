package gtpipeline_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/io/connection/gtpipe"
	"godwittide/test/gtclock"
)

const (
	// targetLatency is the latency up to which a response has its full value.
	targetLatency = 250 * time.Millisecond
	// workTime is how long a request takes in the mean.
	workTime = 110 * time.Millisecond
	// callerRequests is how many requests the caller sends.
	callerRequests = 300
)

// countInTime returns how many requests of a caller that sends them without waiting, on one
// connection and a period apart in the mean, are answered within the target latency.
func countInTime(t *testing.T, depth int, period time.Duration) int {
	inTime := 0
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		s := newSite(network, depth)
		defer s.server.Close()
		c := s.dial()
		defer c.Close()
		sent := make(chan time.Time, callerRequests)
		go func() {
			random := rand.New(rand.NewPCG(1, 2))
			for i := range callerRequests {
				work := time.Duration((0.5 + random.Float64()) * float64(workTime))
				sent <- time.Now()
				_, _ = io.WriteString(c, request(http.MethodGet, fmt.Sprintf("%d?ms=%d", i, work.Milliseconds())))
				time.Sleep(time.Duration(random.ExpFloat64() * float64(period)))
			}
		}()
		start := time.Now()
		answers := readAnswers(c, callerRequests)
		g.Expect(answers).To(gomega.HaveLen(callerRequests))
		for i, a := range answers {
			g.Expect(a.id).To(gomega.Equal(fmt.Sprint(i)))
			if start.Add(a.after).Sub(<-sent) <= targetLatency {
				inTime++
			}
		}
	})
	return inTime
}

// A caller that doesn't wait for responses is served as well as others, and not, as with one
// request at a time, behind all that it has sent before.
func TestRequestsInTimeComparedWithOneAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, period := range []time.Duration{100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond} {
		naive, pipelined := countInTime(t, 1, period), countInTime(t, 16, period)
		t.Logf("a request every %v, in time of %d: %d one at a time, %d pipelined", period, callerRequests, naive, pipelined)
		g.Expect(pipelined).To(gomega.BeNumerically(">=", callerRequests*95/100), "what other callers get")
		g.Expect(naive).To(gomega.BeNumerically("<", pipelined))
	}
}
