package gtedge

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/core/connection/gtsequence"
	"godwittide/core/process/gtmember"
	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtdedup"
	"godwittide/core/request/gtkind"
	"godwittide/core/request/gtretry"
	"godwittide/core/request/gtroute"
	"godwittide/core/request/gtsplit"
	"godwittide/core/version/gtdelta"
	"godwittide/io/connection/gtpipe"
	"godwittide/io/connection/gtpipeline"
	"godwittide/io/process/gttrace"
	"godwittide/io/version/gtfolder"
	"godwittide/test/gtclock"
)

// repeatConfig returns a configuration with a route whose requests may be repeated or not.
func repeatConfig(repeat string) map[string]string {
	return map[string]string{"10.toml": "[service.lending]\nversion = \"1\"\n[route.holds]\nservice = \"lending\"\npath = \"/lending\"\n" + repeat}
}

// aheadEdge returns an edge without instances, which answers what it would run by NoBackend.
func aheadEdge(answered func(k gtkind.Kind)) (*Edge, func(version int64, files map[string]string)) {
	holder := &gtdelta.Holder{Now: time.Now}
	none := func(string) []gtmember.Record { return nil }
	e := &Edge{
		Now: time.Now, MaxHops: 5, MaxBodyBytes: func() int { return 100 }, Split: &gtsplit.Split{Rand: func() float64 { return 0 }}, Holder: holder, Instances: none,
		Crashes: &gtdedup.Crashes{Now: time.Now}, Retry: &gtretry.Policy{Now: time.Now}, Router: &gtroute.Router{Now: time.Now, Instances: none},
		Trace: (&gttrace.Tracer{}).Start, OnResponse: func(_ gtcall.Call, err error, _ time.Duration) { answered(gtkind.Of(err)) },
	}
	return e, func(version int64, files map[string]string) {
		cfg, _ := (&gtfolder.Parser{}).Merge(files)
		holder.Offer(gtdelta.NewSnapshot(version, version, files), cfg)
	}
}

// What runs beside others is decided by the configuration. Without a route, or a configuration,
// a request is not known to be idempotent: the next version may say that it isn't.
func TestIsIdempotentFollowsTheRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	e, offer := aheadEdge(func(gtkind.Kind) {})
	get, post := httptest.NewRequest("GET", "/lending/x", nil), httptest.NewRequest("POST", "/lending/x", nil)
	g.Expect(e.IsIdempotent(get)).To(gomega.BeFalse())
	offer(1, repeatConfig(""))
	g.Expect(e.IsIdempotent(get)).To(gomega.BeTrue())
	g.Expect(e.IsIdempotent(post)).To(gomega.BeFalse())
	g.Expect(e.IsIdempotent(httptest.NewRequest("GET", "/other", nil))).To(gomega.BeFalse())
	offer(2, repeatConfig("repeat = true\n"))
	g.Expect(e.IsIdempotent(post)).To(gomega.BeTrue())
	offer(3, repeatConfig("repeat = false\n"))
	g.Expect(e.IsIdempotent(get)).To(gomega.BeFalse())
}

// A route becomes non-idempotent between the look-up and the start of a request that was sent
// ahead: it must not run beside others.
func TestRequestThatBecameNonIdempotentIsRefused(t *testing.T) {
	gtclock.Run(t, func(t *testing.T, network *gtpipe.Network) {
		g := gomega.NewWithT(t)
		kinds := make(chan gtkind.Kind, 2)
		e, offer := aheadEdge(func(k gtkind.Kind) { kinds <- k })
		offer(1, repeatConfig("repeat = true\n"))
		changing := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/lending/first" {
				time.Sleep(time.Second)
				return
			}
			offer(2, repeatConfig("repeat = false\n"))
			e.ServeHTTP(w, r)
		})
		p := &gtpipeline.Server{
			Handler: changing, Idempotent: e.IsIdempotent, MaxHeadBytes: 1 << 13, ReadTimeout: time.Second, IdleTimeout: time.Second,
			Limits: gtsequence.Limits{Requests: 4, RequestBytes: 1 << 10, ResponseBytes: 1 << 10},
		}
		ln, err := network.Listen("a:1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		server := &http.Server{Handler: p, ConnContext: p.ConnContext, ConnState: p.ConnState}
		defer server.Close()
		go func() { _ = server.Serve(p.Listener(ln)) }()
		c, err := network.Dial(t.Context(), "a:1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer c.Close()
		for _, path := range []string{"first", "second"} {
			_, _ = c.Write([]byte("POST /lending/" + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"))
		}
		g.Expect(<-kinds).To(gomega.Equal(gtkind.Refused))
	})
}
