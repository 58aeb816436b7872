package gtedge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtinflight"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtretry"
	"godwittide/core/request/gtroute"
	"godwittide/core/request/gtsplit"
	"godwittide/core/version/gtdelta"
	"godwittide/io/process/gttrace"
	"godwittide/io/version/gtfolder"
)

// A request that arrives while the first version is activated must see the state
// before or after it, never a mixture: the caller would not retry after an error of
// the kind NoRoute.
func TestFirstVersionIsActivatedAtomically(t *testing.T) {
	g := gomega.NewWithT(t)
	files := map[string]string{"10.toml": "[service.lending]\nversion = \"1\"\n[route.holds]\nservice = \"lending\"\npath = \"/lending\"\n"}
	cfg, problems := (&gtfolder.Parser{}).Merge(files)
	g.Expect(problems).To(gomega.BeEmpty())
	snapshot := gtdelta.NewSnapshot(1, 1, files)
	var mu sync.Mutex
	seen := map[gtkind.Kind]int{}
	for range 3000 {
		holder := &gtdelta.Holder{Now: time.Now}
		noInstances := func(string) []gtmember.Record { return nil }
		e := &Edge{
			Now: time.Now, MaxHops: 5, MaxBodyBytes: func() int { return 100 }, Split: &gtsplit.Split{Rand: func() float64 { return 0 }}, Holder: holder, Instances: noInstances, Crashes: &gtdedup.Crashes{Now: time.Now},
			Retry: &gtretry.Policy{Now: time.Now}, Router: &gtroute.Router{Now: time.Now, Instances: noInstances},
			Trace: (&gttrace.Tracer{}).Start,
			OnResponse: func(_ gtcall.Call, err error, _ time.Duration) {
				mu.Lock()
				seen[gtkind.Of(err)]++
				mu.Unlock()
			},
		}
		var wg sync.WaitGroup
		wg.Go(func() { holder.Offer(snapshot, cfg) })
		for range 4 {
			wg.Go(func() { e.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/lending/x", nil)) })
		}
		wg.Wait()
	}
	g.Expect(seen).NotTo(gomega.HaveKey(gtkind.NoRoute), "%v", seen)
	g.Expect(seen[gtkind.NoConfig]).To(gomega.BeNumerically(">", 0), "%v", seen)
	g.Expect(seen[gtkind.NoBackend]).To(gomega.BeNumerically(">", 0), "%v", seen)
}

// A request whose handler panics must not stay in the count that a stop waits for.
func TestPanicLeavesNoRequestInFlight(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, value := range []any{"fault", http.ErrAbortHandler} {
		requests := &gtinflight.Table{Now: time.Now}
		e := &Edge{
			Now: time.Now, Requests: requests, OnPanic: func(any) {},
			Trace: func(context.Context, string, http.Header) (context.Context, func(error)) {
				g.Expect(requests.Len()).To(gomega.Equal(1))
				panic(value)
			},
		}
		func() {
			defer func() { _ = recover() }()
			e.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/", nil))
		}()
		g.Expect(requests.Len()).To(gomega.BeZero())
		g.Expect(requests.Outcomes().Of(gtinflight.Cut)).To(gomega.Equal(int64(1)))
	}
}
