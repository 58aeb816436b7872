package mesh

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtfake"
	"godwittide/io/process/gtsettings"
)

var _ = ginkgo.Describe("requests", func() {
	it("are neither interrupted nor refused during a rolling restart of the nodes", func() {
		cluster := newCluster()
		sites := addSites(cluster, 2, gtcluster.SiteSpec{Service: "lending", Version: "1", ServiceTime: 20 * time.Millisecond, Jitter: 0.5}, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		permanent := addSites(cluster, 1, lendingSpec, "z1", "z2")
		load := &gtcluster.Load{Method: "POST", Path: "/lending/holds", Rate: 60, Keyed: true, EdgeURLs: edgeURLs(permanent)}
		sleep(2 * time.Second) // concurrency limits rise from their initial value
		results := runLoadDuring(load, func() {
			for range 2 {
				for _, s := range sites {
					cluster.Stop(s)
					gomega.Expect(cluster.Restart(s)).To(gomega.Succeed())
					gomega.Expect(cluster.WaitUntil(10*time.Second, func() bool { return cluster.ReadyAtLeast(6) })).To(gomega.BeTrue())
				}
			}
		})
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}))
	})

	it("that crash backend servers are not retried after two crashes, or after one if non-idempotent", func() {
		cluster := newCluster()
		sites := addSites(cluster, 2, lendingSpec, "z1", "z2", "z3")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		for _, s := range sites {
			s.Backend().SetFaults(gtfake.BackendFaults{CrashOn: "poison"})
		}
		crashes := func() int {
			n := 0
			for _, s := range sites {
				n += s.Backend().CrashCount()
			}
			return n
		}
		others := &gtcluster.Load{Method: "GET", Path: "/lending/fine", Rate: 100, EdgeURLs: edgeURLs(sites)}
		results := runLoadDuring(others, func() {
			get := &gtcluster.Load{Method: "GET", Path: "/lending/x"}
			prepareLoad(get)
			for _, s := range sites {
				get.Send(s.EdgeURL(), "poison-get", false)
				sleep(200 * time.Millisecond)
			}
			gomega.Expect(crashes()).To(gomega.Equal(2))
			post := &gtcluster.Load{Method: "POST", Path: "/lending/x"}
			prepareLoad(post)
			var last gtcluster.Result
			for _, s := range sites {
				last = post.Send(s.EdgeURL(), "poison-post", false)
				sleep(200 * time.Millisecond)
			}
			gomega.Expect(crashes()).To(gomega.Equal(3))
			gomega.Expect(last.Kind).To(gomega.Equal("poison"))
			keyed := &gtcluster.Load{Method: "POST", Path: "/lending/x", Keyed: true}
			prepareLoad(keyed)
			gomega.Expect(keyed.Send(sites[0].EdgeURL(), "poison-keyed", false).Kind).To(gomega.Equal("crashed"))
			sleep(200 * time.Millisecond)
			for i, s := range sites {
				again := keyed.Send(s.EdgeURL(), "poison-keyed", i%2 == 0)
				gomega.Expect(again.Certainty).To(gomega.Equal("unknown"), "the first request with this key ran: %s", again.Kind)
			}
			gomega.Expect(crashes()).To(gomega.Equal(4))
		})
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}), "other requests are not affected")
	})

	it("through a chain of five services under overload are not multiplied by retries", func() {
		cluster := newCluster()
		text := ""
		const depth = 5
		var first []*gtcluster.Site
		for i := depth; i >= 1; i-- {
			text += fmt.Sprintf("[service.s%d]\nversion = \"1\"\ntimeout = \"1s\"\n[route.r%d]\nservice = \"s%d\"\npath = \"/s%d\"\n", i, i, i, i)
			spec := gtcluster.SiteSpec{Zone: "z1", Service: fmt.Sprintf("s%d", i), Version: "1", Slots: 8, ServiceTime: 4 * time.Millisecond}
			if i == depth {
				spec.Slots, spec.ServiceTime = 2, 20*time.Millisecond
			}
			for range 2 {
				var local *gtcluster.Site
				if i < depth {
					spec.Call = callNextService(&local, i+1)
				}
				s, err := cluster.Add(spec)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				local = s
				if i == 1 {
					first = append(first, s)
				}
			}
		}
		gomega.Expect(cluster.WaitUntil(10*time.Second, func() bool { return cluster.ReadyAtLeast(2 * depth) })).To(gomega.BeTrue())
		pushConfig(cluster, map[string]string{"10.toml": text})
		load := &gtcluster.Load{Method: "GET", Path: "/s1/x", Rate: 400, EdgeURLs: edgeURLs(first), Timeout: 2 * time.Second}
		results := runLoadDuring(load, func() { sleep(5 * time.Second) })
		arrived := map[string]int{}
		for _, s := range cluster.Sites() {
			arrived[s.Settings().Backend.Service] += len(s.Backend().Executions())
		}
		ginkgo.GinkgoWriter.Printf("%d sent: %v, %v\n", len(results), countOutcomes(results), arrived)
		for i := 1; i <= depth; i++ {
			gomega.Expect(arrived[fmt.Sprintf("s%d", i)]).To(gomega.BeNumerically("<=", 1.1*float64(len(results))))
		}
		gomega.Expect(arrived["s5"]).To(gomega.BeNumerically(">", 100), "requests reach the last service")
	})

	it("of the fast class do not wait behind slow requests", func() {
		cluster := newCluster()
		sites := addSites(cluster, 1, gtcluster.SiteSpec{Service: "lending", Version: "1", Slots: 8, ServiceTime: 5 * time.Millisecond}, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig + `
[route.checks]
service = "lending"
path = "/lending/check"
class = "fast"
[route.reports]
service = "lending"
path = "/lending/report"
timeout = "5s"
`})
		fast := &gtcluster.Load{Method: "GET", Path: "/lending/check", Rate: 60, EdgeURLs: edgeURLs(sites)}
		baseline := runLoadDuring(fast, func() { sleep(3 * time.Second) })
		for _, s := range sites {
			s.Backend().SetFaults(gtfake.BackendFaults{SlowMS: 300, Route: "report"})
		}
		slow := &gtcluster.Load{Method: "GET", Path: "/lending/report", Rate: 300, EdgeURLs: edgeURLs(sites)}
		fast = &gtcluster.Load{Method: "GET", Path: "/lending/check", Rate: 60, EdgeURLs: edgeURLs(sites)}
		var overloaded []gtcluster.Result
		runLoadDuring(slow, func() {
			sleep(500 * time.Millisecond)
			overloaded = runLoadDuring(fast, func() { sleep(4 * time.Second) })
		})
		a, b := gtcluster.Quantile(baseline, 0.99), gtcluster.Quantile(overloaded, 0.99)
		ginkgo.GinkgoWriter.Printf("p99 of the fast class: alone %s, during slow requests %s; %v\n", a, b, countOutcomes(overloaded))
		gomega.Expect(countOutcomes(overloaded)["ok"]).To(gomega.BeNumerically(">=", len(overloaded)*99/100), "%v", countOutcomes(overloaded))
		gomega.Expect(b).To(gomega.BeNumerically("<", 300*time.Millisecond/2), "no request of the fast class waits for a slow one")
	})

	it("carry a shorter deadline at each hop, and their cancellation reaches the backend server", func() {
		cluster := newCluster()
		sites := addSites(cluster, 1, gtcluster.SiteSpec{Service: "lending", Version: "1", ServiceTime: 700 * time.Millisecond}, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		client := gtcluster.NewClient(network, 4)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, sites[0].EdgeURL()+"/lending/x", nil)
		_, err := client.Do(req)
		gomega.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeTrue())
		gomega.Eventually(func() int {
			busy := 0
			for _, s := range sites {
				peak, _ := s.Backend().TakePeak()
				busy += peak
			}
			return busy
		}, "400ms", "20ms").Should(gomega.BeZero(), "the backend server stops work on a canceled request")
		req, _ = http.NewRequest(http.MethodGet, sites[0].EdgeURL()+"/lending/x", nil)
		req.Header.Set("Gt-Left", "150")
		start := time.Now()
		resp, err := client.Do(req)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		resp.Body.Close()
		gomega.Expect(resp.StatusCode).To(gomega.Equal(http.StatusGatewayTimeout))
		gomega.Expect(time.Since(start)).To(gomega.BeNumerically("<", 500*time.Millisecond))
	})

	it("are checked against limits, and malformed ones get a specific error response", func() {
		cluster := newCluster()
		sites := addSites(cluster, 1, lendingSpec, "z1")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		edge := sites[0].Settings().Listen.Edge
		hop, peer := sites[0].Settings().Listen.Hop, sites[0].Settings().Listen.Peer
		big := bytes.Repeat([]byte("x"), gtsettings.Default().Limit.MaxBodyBytes+1)
		client := gtcluster.NewClient(network, 4)
		resp, err := client.Post("http://"+edge+"/lending/x", "text/plain", bytes.NewReader(big))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		resp.Body.Close()
		gomega.Expect(resp.Header.Get("Gt-Kind")).To(gomega.Equal("toolarge"))
		for text, want := range map[string]string{
			"GET /lending/x HTTP/1.1\r\nHost: a\r\nX: " + string(bytes.Repeat([]byte("y"), 64<<10)) + "\r\n\r\n": "431",
			"POST /lending/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd":          "400",
			"POST /lending/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n":       "501",
			"GET /lending/x HTTP/1.1\r\n\r\n": "400",
			"GARBAGE\r\n\r\n":                 "400",
			"GET /nowhere HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n":                                                                       "404",
			"GET /lending/x HTTP/1.1\r\nHost: a\r\nGt-Hops: 99\r\nConnection: close\r\n\r\n":                                                      "508",
			"POST /lending/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nIdempotency-Key: " + string(big[:300]) + "\r\nContent-Length: 0\r\n\r\n": "400",
		} {
			gomega.Expect(sendRaw(edge, text)).To(gomega.HavePrefix("HTTP/1.1 "+want), "%.60q", text)
		}
		for call, want := range map[string]string{
			"":                                    "400",
			"1/another/100//normal/lending/r/":    "400",
			"1/another/100//normal/lending/r/0/0": "503",
		} {
			text := "GET /lending/x HTTP/1.1\r\nHost: a\r\nGt-Call: " + call + "\r\nConnection: close\r\n\r\n"
			gomega.Expect(sendRaw(hop, text)).To(gomega.HavePrefix("HTTP/1.1 "+want), call)
		}
		for _, text := range []string{"\xff\xff\xff\xff garbage", "\x00\x00\x00\x02{}", "\x00\x00\x00\x05hello", "GET / HTTP/1.1\r\n\r\n"} {
			sendRaw(peer, text)
		}
		ginkgo.By("smuggling a second request in a body with Content-Length and chunked encoding")
		before := len(sites[0].Backend().Executions())
		sendRaw(edge, "POST /lending/x HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\nPOST /lending/hidden HTTP/1.1\r\nHost: a\r\n\r\n")
		for _, e := range sites[0].Backend().Executions()[before:] {
			gomega.Expect(e.Target).NotTo(gomega.ContainSubstring("hidden"))
		}
		load := &gtcluster.Load{Method: "GET", Path: "/lending/x", Rate: 50, EdgeURLs: edgeURLs(sites)}
		results := runLoadDuring(load, func() { sleep(300 * time.Millisecond) })
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}), "other requests are not affected")
	})
})
