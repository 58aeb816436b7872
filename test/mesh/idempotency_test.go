package mesh

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtfake"
)

// checkExecutions compares the results of non-idempotent requests with ran, the
// number of executions by idempotency key: no request ran twice, none with the
// certainty "not run" ran at all, and each that succeeded ran and got its own
// response.
func checkExecutions(ran map[string]int, results []gtcluster.Result) {
	for key, n := range ran {
		gomega.Expect(n).To(gomega.Equal(1), "request %s ran %d times", key, n)
	}
	for _, r := range results {
		if r.Certainty == "not run" {
			gomega.Expect(ran[r.Key]).To(gomega.BeZero(), "%s has the certainty \"not run\" (%s) but ran", r.Key, r.Kind)
		}
		if r.Status == http.StatusOK {
			gomega.Expect(r.Matched).To(gomega.BeTrue(), "%s got another request's response", r.Key)
			gomega.Expect(ran[r.Key]).To(gomega.Equal(1), "%s succeeded but did not run", r.Key)
		}
	}
}

// retryingProxy returns a proxy that sends each request to up to three random
// backend servers until one succeeds, even if the request is not idempotent.
func retryingProxy(addrs []string) http.Handler {
	client := gtcluster.NewClient(network, len(addrs))
	client.Timeout = time.Second
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		for range 3 {
			addr := addrs[rand.IntN(len(addrs))]
			req, _ := http.NewRequest(r.Method, "http://"+addr+r.URL.RequestURI(), bytes.NewReader(body))
			req.Header = r.Header.Clone()
			resp, err := client.Do(req)
			if err != nil {
				continue
			}
			responseBody, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil && resp.StatusCode < 500 {
				w.WriteHeader(resp.StatusCode)
				_, _ = w.Write(responseBody)
				return
			}
		}
		w.WriteHeader(http.StatusBadGateway)
	})
}

// injectFault injects a random fault and ends it after a while.
func injectFault(cluster *gtcluster.Cluster, sites []*gtcluster.Site, r *rand.Rand) {
	s := sites[r.IntN(len(sites))]
	switch r.IntN(5) {
	case 0:
		cluster.Kill(s)
		sleep(time.Duration(r.IntN(200)) * time.Millisecond)
		gomega.Expect(cluster.Restart(s)).To(gomega.Succeed())
	case 1:
		s.Backend().Crash()
	case 2:
		s.Backend().SetFaults(gtfake.BackendFaults{TruncateShare: 0.5})
		sleep(150 * time.Millisecond)
		s.Backend().SetFaults(gtfake.BackendFaults{})
	case 3:
		cluster.PartitionZone(s.Zone())
		sleep(time.Duration(100+r.IntN(200)) * time.Millisecond)
		cluster.HealZone(s.Zone())
	case 4:
		cluster.SwapResponses(0.3)
		sleep(150 * time.Millisecond)
		cluster.SwapResponses(0)
	}
	sleep(time.Duration(r.IntN(150)) * time.Millisecond)
}

// Seeds of the random histories of non-idempotent requests. Long runs use
// hundreds of them.
var (
	seeds     = flag.Int("seeds", 3, "number of histories")
	firstSeed = flag.Uint64("seed", 1, "first seed of the histories")
)

// runHistory injects random faults under a load of non-idempotent requests,
// resends some of the requests, and checks the executions.
func runHistory(seed uint64) {
	defer ginkgo.GinkgoRecover()
	r := rand.New(rand.NewPCG(seed, 5))
	cluster := newCluster()
	defer cluster.Close()
	sites := addSites(cluster, 2, lendingSpec, "z1", "z2", "z3")
	pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
	ran := map[string]int{}
	backends := map[*gtcluster.Site]*gtfake.Backend{}
	load := &gtcluster.Load{Method: "POST", Path: "/lending/holds", Rate: 250, Keyed: true, Timeout: 3 * time.Second, EdgeURLs: edgeURLs(sites), BodyPrefix: fmt.Sprintf("s%d-", seed)}
	results := runLoadDuring(load, func() {
		for range 8 {
			for _, s := range sites {
				backends[s] = s.Backend()
			}
			injectFault(cluster, sites, r)
			for _, s := range sites {
				if s.Backend() != backends[s] {
					addExecutions(ran, backends[s])
				}
			}
		}
		sleep(500 * time.Millisecond)
	})
	ginkgo.By("resending requests with an unknown outcome through any node")
	sleep(500 * time.Millisecond)
	for i, first := range results {
		if !first.OK() && first.Certainty != "not run" && i%3 == 0 {
			results = append(results, load.Send(sites[r.IntN(len(sites))].EdgeURL(), first.Body, true))
		}
	}
	counts := countOutcomes(results)
	ginkgo.GinkgoWriter.Printf("seed %d: %v\n", seed, counts)
	gomega.Expect(counts["ok"]).To(gomega.BeNumerically(">", len(results)/2), "seed %d: %v", seed, counts)
	for _, s := range sites {
		addExecutions(ran, s.Backend())
	}
	checkExecutions(ran, results)
}

// addExecutions adds the requests that b ran to ran, which counts them by
// idempotency key.
func addExecutions(ran map[string]int, b *gtfake.Backend) {
	for _, entry := range b.Executions() {
		ran[entry.Key]++
	}
}

var _ = ginkgo.Describe("non-idempotent requests", func() {
	it("run at most once despite kills, crashes, partitions, mismatched responses and resends", func() {
		var wg sync.WaitGroup
		next := make(chan uint64)
		for range min(*seeds, 6) {
			wg.Go(func() {
				for seed := range next {
					runHistory(seed)
				}
			})
		}
		for seed := range uint64(*seeds) {
			next <- *firstSeed + seed
		}
		close(next)
		wg.Wait()
	})

	it("never get another request's response when connections exchange bytes", func() {
		cluster := newCluster()
		spec := lendingSpec
		spec.ServiceTime = 20 * time.Millisecond
		sites := addSites(cluster, 2, spec, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		cluster.SwapResponses(0.2)
		for _, method := range []string{"GET", "POST"} {
			load := &gtcluster.Load{Method: method, Path: "/lending/holds", Rate: 300, Keyed: method == "POST", EdgeURLs: edgeURLs(sites)}
			results := runLoadDuring(load, func() { sleep(3 * time.Second) })
			counts := countOutcomes(results)
			ginkgo.GinkgoWriter.Printf("%s: %v, %d swapped reads\n", method, counts, cluster.SwappedReads())
			for _, r := range results {
				gomega.Expect(r.Status != http.StatusOK || r.Matched).To(gomega.BeTrue(), "%s got another request's response", r.Body)
			}
			if method == "POST" {
				gomega.Expect(counts["502 crossed"]).To(gomega.BeNumerically(">", 0), "the fault is detected: %v", counts)
				ran := executions(cluster)
				delete(ran, "") // requests without a key
				checkExecutions(ran, results)
			}
		}
		gomega.Expect(cluster.SwappedReads()).To(gomega.BeNumerically(">", 20))
	})

	it("run twice behind a proxy that retries them, so the check can fail", func() {
		cluster := newCluster()
		sites := addSites(cluster, 2, lendingSpec, "z1", "z2")
		var addrs []string
		for _, s := range sites {
			addrs = append(addrs, s.Settings().Backend.Address)
			s.Backend().SetFaults(gtfake.BackendFaults{TruncateShare: 0.2})
		}
		server := startServer(retryingProxy(addrs))
		load := &gtcluster.Load{Method: "POST", Path: "/lending/holds", Rate: 200, Keyed: true, EdgeURLs: []string{server}}
		runLoadDuring(load, func() { sleep(time.Second) })
		repeated := 0
		for _, n := range executions(cluster) {
			if n > 1 {
				repeated++
			}
		}
		gomega.Expect(repeated).To(gomega.BeNumerically(">", 0), "the check can fail")
	})

	it("get the first response again when resent with the same key", func() {
		cluster := newCluster()
		sites := addSites(cluster, 2, lendingSpec, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		load := &gtcluster.Load{Method: "POST", Path: "/lending/holds", Keyed: true}
		prepareLoad(load)
		var results []gtcluster.Result
		for i := range 10 {
			body := fmt.Sprintf("k%d", i)
			first := load.Send(sites[0].EdgeURL(), body, false)
			results = append(results, first)
			gomega.Expect(first.OK()).To(gomega.BeTrue())
			for _, s := range sites {
				again := load.Send(s.EdgeURL(), body, true)
				results = append(results, again)
				gomega.Expect(again.OK()).To(gomega.BeTrue(), "%+v", again)
				gomega.Expect(again.Backend).To(gomega.Equal(first.Backend))
			}
		}
		ginkgo.By("resending a request that was never sent, which is refused as the nodes have not run long enough to know all keys")
		unknown := load.Send(sites[0].EdgeURL(), "never-sent", true)
		gomega.Expect(unknown.Kind).To(gomega.Equal("forgotten"))
		checkExecutions(executions(cluster), append(results, unknown))
	})
})
