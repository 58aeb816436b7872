package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	spans "go.opentelemetry.io/proto/otlp/trace/v1"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtsettings"
)

// spanCollector is a collector that receives spans by OTLP over HTTP.
type spanCollector struct {
	mu    sync.Mutex
	spans []*spans.Span
}

// ServeHTTP stores the spans of an export request.
func (s *spanCollector) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	var m collector.ExportTraceServiceRequest
	if proto.Unmarshal(b, &m) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rs := range m.ResourceSpans {
		for _, ss := range rs.ScopeSpans {
			s.spans = append(s.spans, ss.Spans...)
		}
	}
}

// byName returns the spans of the trace with the given ID, by name.
func (s *spanCollector) byName(trace string) map[string]*spans.Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]*spans.Span{}
	for _, sp := range s.spans {
		if fmt.Sprintf("%x", sp.TraceId) == trace {
			out[sp.Name] = sp
		}
	}
	return out
}

var _ = ginkgo.Describe("the system", func() {
	it("works with mutual TLS, and rejects nodes without a certificate of its authority", func() {
		meshCA, err := gtcluster.NewAuthority()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		foreignCA, err := gtcluster.NewAuthority()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		secured := func(a *gtcluster.Authority) gtcluster.SiteSpec {
			spec := lendingSpec
			spec.EditSettings = func(cfg *gtsettings.Settings) {
				cfg.TLS, err = a.Issue(ginkgo.GinkgoT().TempDir())
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
			return spec
		}
		cluster := newCluster()
		sites := addSites(cluster, 2, secured(meshCA), "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		for _, a := range []*gtcluster.Authority{foreignCA, nil} {
			spec := lendingSpec
			if a != nil {
				spec = secured(a)
			}
			spec.Zone, spec.Version = "z1", "foreign"
			_, err := cluster.Add(spec)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		load := &gtcluster.Load{Method: "POST", Path: "/lending/x", Rate: 50, Keyed: true, EdgeURLs: edgeURLs(sites)}
		results := runLoadDuring(load, func() { sleep(3 * time.Second) })
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}))
		gomega.Expect(len(results)).To(gomega.BeNumerically(">", 50))
		for _, s := range sites {
			gomega.Expect(s.Node().CountReady()).To(gomega.Equal(len(sites)), "the foreign nodes are not members")
		}
	})

	itOnLoopback("records a span for each hop, in the caller's trace", func() {
		collected := &spanCollector{}
		server := httptest.NewServer(collected)
		ginkgo.DeferCleanup(server.Close)
		traced := func(service string) gtcluster.SiteSpec {
			return gtcluster.SiteSpec{Service: service, Version: "1", EditSettings: func(cfg *gtsettings.Settings) {
				cfg.Trace = gtsettings.Trace{Endpoint: server.URL + "/v1/traces", Ratio: 1}
			}}
		}
		cluster := newCluster()
		front := addSites(cluster, 1, traced("front"), "z1")
		back := addSites(cluster, 1, traced("lending"), "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig + "[service.front]\nversion = \"1\"\n"})
		const trace, parent = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
		r, err := http.NewRequest(http.MethodGet, front[0].EdgeURL()+"/lending/x", nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		r.Header.Set("Traceparent", "00-"+trace+"-"+parent+"-01")
		resp, err := http.DefaultClient.Do(r)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(resp.Body.Close()).To(gomega.Succeed())
		gomega.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
		cluster.Stop(front[0]) // exports the remaining spans
		cluster.Stop(back[0])
		got := collected.byName(trace)
		gomega.Expect(got).To(gomega.HaveLen(3))
		parentID := parent
		for _, name := range []string{"edge", "hop", "backend"} {
			gomega.Expect(got).To(gomega.HaveKey(name))
			gomega.Expect(fmt.Sprintf("%x", got[name].ParentSpanId)).To(gomega.Equal(parentID), name)
			parentID = fmt.Sprintf("%x", got[name].SpanId)
		}
	})

	it("closes the connections of slow senders and serves others meanwhile", func() {
		const limit = time.Second
		spec := lendingSpec
		spec.EditSettings = func(cfg *gtsettings.Settings) { cfg.Limit.ReadTimeout = gtsettings.Duration(limit) }
		cluster := newCluster()
		sites := addSites(cluster, 1, spec, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		ended := make(chan time.Duration, 200)
		for i := range cap(ended) {
			head := "POST /lending/x HTTP/1.1\r\nHost: x\r\n"
			if i%2 == 0 {
				head += "Content-Length: 100000\r\n\r\n" // slow in the body
			}
			go func() { ended <- sendSlowly(strings.TrimPrefix(sites[0].EdgeURL(), "http://"), head) }()
		}
		load := &gtcluster.Load{Method: "GET", Path: "/lending/y", Rate: 50, EdgeURLs: edgeURLs(sites)}
		results := runLoadDuring(load, func() {
			for range cap(ended) {
				var took time.Duration
				gomega.Eventually(ended, 3*limit).Should(gomega.Receive(&took))
				gomega.Expect(took).To(gomega.BeNumerically("<", 3*limit))
			}
		})
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}))
		for _, e := range sites[0].Backend().Executions() {
			gomega.Expect(e.Target).NotTo(gomega.Equal("/lending/x"), "an incomplete request does not run")
		}
	})

	it("leaks no goroutine", func() {
		before := goleak.IgnoreCurrent()
		cluster := &gtcluster.Cluster{Net: network}
		gomega.Expect(cluster.Open(context.Background())).To(gomega.Succeed())
		sites := addSites(cluster, 2, lendingSpec, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		load := &gtcluster.Load{Method: "POST", Path: "/lending/x", Rate: 100, Keyed: true, EdgeURLs: edgeURLs(sites)}
		runLoadDuring(load, func() {
			sleep(time.Second)
			cluster.Kill(sites[3])
			cluster.PartitionZone("z2")
			sleep(time.Second)
			cluster.Stop(sites[0])
		})
		cluster.Close()
		gomega.Expect(goleak.Find(before)).To(gomega.Succeed())
	})
})

// sendSlowly sends head and then one byte every 50 ms until the node closes the
// connection, and returns the time until then.
func sendSlowly(addr, head string) time.Duration {
	start := time.Now()
	conn, err := network.Connect(context.Background(), addr)
	if err != nil {
		return time.Hour
	}
	defer func() { _ = conn.Close() }()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	}()
	_, _ = io.WriteString(conn, head)
	for {
		select {
		case <-closed:
			return time.Since(start)
		case <-time.After(50 * time.Millisecond):
			_, _ = io.WriteString(conn, "a")
		}
	}
}
