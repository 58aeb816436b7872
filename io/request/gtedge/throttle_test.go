package gtedge

import (
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtthrottle"
	"godwittide/io/connection/gtpipe"
	"godwittide/test/gtclock"
)

// Guards against requests that are sent only to be refused while the servers of a service are
// full, and against refusals whose time to wait is lost on the way to the caller.
func TestRequestsToFullServersAreNotSent(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		edge := newEdge(t, network, []gtmember.Record{serveSilentPeer(t, network, "b")})
		edge.Client.Pool.MaxConns = 40
		edge.Throttle = &gtthrottle.Throttle{Now: time.Now}
		var mu sync.Mutex
		refused, notSent := 0, 0
		edge.OnResponse = func(_ gtcall.Call, err error, _ time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			if gtkind.Of(err) != gtkind.Full {
				return
			}
			wait, ok := gtkind.WaitOf(err)
			g.Expect(ok).To(gomega.BeTrue())
			g.Expect(wait).To(gomega.And(gomega.BeNumerically(">=", 60*time.Millisecond), gomega.BeNumerically("<=", 900*time.Millisecond)))
			if strings.HasPrefix(gtkind.Detail(err), "not sent") {
				notSent++
			} else {
				refused++
			}
		}
		get := func(query string) int {
			w := httptest.NewRecorder()
			edge.ServeHTTP(w, httptest.NewRequest("GET", "/lending/x?"+query, nil))
			return w.Code
		}
		var wg sync.WaitGroup
		for range 15 { // ten slots and five places in the queue
			wg.Go(func() { get("1400ms") })
		}
		time.Sleep(100 * time.Millisecond)
		for range 100 {
			g.Expect(get("0ms")).To(gomega.Equal(503))
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		g.Expect(notSent).To(gomega.BeNumerically(">", 50))
		g.Expect(refused).To(gomega.BeNumerically("<", 50))
		g.Expect(edge.Throttle.Throttled(1)).To(gomega.BeNumerically("==", notSent))
	})
}
