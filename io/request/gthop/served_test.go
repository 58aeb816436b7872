package gthop

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtadmission"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/version/gtcanary"
	"godwittide/core/version/gtconfig"
	"godwittide/io/connection/gtpipe"
	"godwittide/io/process/gttrace"
	"godwittide/test/gtclock"
)

// What is learned of the backend server must come from requests that it served after its
// warm-up, each with the number that ran when it was sent: failures are quick, and a
// server that warms up is slow.
func TestOnlyServedRequestsAreLearnedFrom(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		address := serve(t, network, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			if r.URL.Path == "/fails" {
				w.WriteHeader(http.StatusInternalServerError)
			}
		})
		type sample struct {
			route       string
			concurrency int
			latency     time.Duration
		}
		var mu sync.Mutex
		var served []sample
		warmUpEnd := time.Now().Add(time.Second)
		b := &LocalBackend{
			Now: time.Now, Self: func() gtmember.Record { return gtmember.NewRecord("i", "z", "", "").WithBackend("s", "1", 9) },
			WarmUpEnd: func() time.Time { return warmUpEnd }, Address: address, MaxBufferBytes: 1000, Pool: newPool(t, network, false),
			Gate: &gtadmission.Gate{Now: time.Now, Slots: 9, Fixed: true}, Crashes: &gtdedup.Crashes{Now: time.Now}, Outcomes: &gtcanary.OutcomeCounter{},
			Trace: (&gttrace.Tracer{}).Start,
			OnServed: func(route string, concurrency int, start, end time.Time) {
				mu.Lock()
				defer mu.Unlock()
				served = append(served, sample{route, concurrency, end.Sub(start)})
			},
		}
		run := func(path string) {
			c := gtcall.New("mine", "GET", path).WithDeadline(time.Now().Add(time.Second)).WithRoute("s", "r", gtconfig.Normal).WithIdempotent(true)
			_, err := b.Run(t.Context(), c)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		run("/warms-up")
		g.Expect(served).To(gomega.BeEmpty())
		time.Sleep(time.Second)
		run("/fails")
		g.Expect(served).To(gomega.BeEmpty())
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() { run("/x") })
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		ms := 100 * time.Millisecond
		g.Expect(served).To(gomega.Equal([]sample{{"r", 1, ms}, {"r", 2, ms}, {"r", 3, ms}}))
	})
}
