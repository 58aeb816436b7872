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

	"godwittide/io/process/gtlab"
	"godwittide/io/process/gtstand"
)

// checkRuns holds the results of requests that may not be repeated against the
// execution logs: none ran twice, none that was answered "not run" ran at all,
// and each that was answered ran, and got its own answer.
func checkRuns(ran map[string]int, results []gtlab.Result) {
	for key, n := range ran {
		gomega.Expect(n).To(gomega.Equal(1), "request %s ran %d times", key, n)
	}
	for _, r := range results {
		if r.Certainty == "not run" {
			gomega.Expect(ran[r.Key]).To(gomega.BeZero(), "%s was answered not run (%s) and ran", r.Key, r.Kind)
		}
		if r.Status == http.StatusOK {
			gomega.Expect(r.Right).To(gomega.BeTrue(), "%s got another's answer", r.Key)
			gomega.Expect(ran[r.Key]).To(gomega.Equal(1), "%s was answered and did not run", r.Key)
		}
	}
}

// naiveProxy sends a request to backend servers in turn until one answers.
func naiveProxy(addrs []string) http.Handler {
	client := gtlab.NewClient(network, len(addrs))
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
			answer, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil && resp.StatusCode < 500 {
				w.WriteHeader(resp.StatusCode)
				_, _ = w.Write(answer)
				return
			}
		}
		w.WriteHeader(http.StatusBadGateway)
	})
}

// harm breaks something at random, and mends it after a while.
func harm(lab *gtlab.Lab, sites []*gtlab.Site, r *rand.Rand) {
	s := sites[r.IntN(len(sites))]
	switch r.IntN(5) {
	case 0:
		lab.Kill(s)
		pause(time.Duration(r.IntN(200)) * time.Millisecond)
		gomega.Expect(lab.Restart(s)).To(gomega.Succeed())
	case 1:
		s.Backend().Crash()
	case 2:
		s.Backend().Fail(gtstand.BackendFaults{Cut: 0.5})
		pause(150 * time.Millisecond)
		s.Backend().Fail(gtstand.BackendFaults{})
	case 3:
		lab.Cut(s.Zone())
		pause(time.Duration(100+r.IntN(200)) * time.Millisecond)
		lab.Heal(s.Zone())
	case 4:
		lab.Cross(0.3)
		pause(150 * time.Millisecond)
		lab.Cross(0)
	}
	pause(time.Duration(r.IntN(150)) * time.Millisecond)
}

// The seeds of the histories of requests that may not be repeated. A long run
// asks for hundreds.
var (
	seeds     = flag.Int("seeds", 3, "number of histories")
	firstSeed = flag.Uint64("seed", 1, "first seed of the histories")
)

// oneHistory breaks things at random while requests run that may not be
// repeated, resends some, and checks what ran.
func oneHistory(seed uint64) {
	defer ginkgo.GinkgoRecover()
	r := rand.New(rand.NewPCG(seed, 5))
	lab := newLab()
	defer lab.Close()
	sites := grow(lab, 2, lending, "z1", "z2", "z3")
	push(lab, map[string]string{"10-base.toml": base})
	ran := map[string]int{}
	backends := map[*gtlab.Site]*gtstand.Backend{}
	load := &gtlab.Load{Method: "POST", Path: "/lending/holds", Rate: 250, Keys: true, Limit: 3 * time.Second, Edges: edges(sites), Tag: fmt.Sprintf("s%d-", seed)}
	results := during(load, func() {
		for range 8 {
			for _, s := range sites {
				backends[s] = s.Backend()
			}
			harm(lab, sites, r)
			for _, s := range sites {
				if s.Backend() != backends[s] {
					addRuns(ran, backends[s])
				}
			}
		}
		pause(500 * time.Millisecond)
	})
	ginkgo.By("resending what had no sure outcome, by way of any node")
	pause(500 * time.Millisecond)
	for i, first := range results {
		if !first.OK() && first.Certainty != "not run" && i%3 == 0 {
			results = append(results, load.Send(sites[r.IntN(len(sites))].Edge(), first.Body, true))
		}
	}
	counts := tally(results)
	ginkgo.GinkgoWriter.Printf("seed %d: %v\n", seed, counts)
	gomega.Expect(counts["ok"]).To(gomega.BeNumerically(">", len(results)/2), "seed %d: %v", seed, counts)
	for _, s := range sites {
		addRuns(ran, s.Backend())
	}
	checkRuns(ran, results)
}

func addRuns(ran map[string]int, b *gtstand.Backend) {
	for _, entry := range b.Log() {
		ran[entry.Key]++
	}
}

var _ = ginkgo.Describe("requests that may not be repeated", func() {
	it("run at most once through kills, crashes, cuts, crossed answers and resends", func() {
		var wg sync.WaitGroup
		next := make(chan uint64)
		for range min(*seeds, 6) {
			wg.Go(func() {
				for seed := range next {
					oneHistory(seed)
				}
			})
		}
		for seed := range uint64(*seeds) {
			next <- *firstSeed + seed
		}
		close(next)
		wg.Wait()
	})

	it("never get another's answer from connections that are crossed", func() {
		lab := newLab()
		spec := lending
		spec.Work = 20 * time.Millisecond
		sites := grow(lab, 2, spec, "z1", "z2")
		push(lab, map[string]string{"10-base.toml": base})
		lab.Cross(0.2)
		for _, method := range []string{"GET", "POST"} {
			load := &gtlab.Load{Method: method, Path: "/lending/holds", Rate: 300, Keys: method == "POST", Edges: edges(sites)}
			results := during(load, func() { pause(3 * time.Second) })
			counts := tally(results)
			ginkgo.GinkgoWriter.Printf("%s: %v, %d pieces exchanged\n", method, counts, lab.Crossed())
			for _, r := range results {
				gomega.Expect(r.Status != http.StatusOK || r.Right).To(gomega.BeTrue(), "%s got another's answer", r.Body)
			}
			if method == "POST" {
				gomega.Expect(counts["502 crossed"]).To(gomega.BeNumerically(">", 0), "the fault is seen: %v", counts)
				ran := runs(lab)
				delete(ran, "") // those of the requests without a key
				checkRuns(ran, results)
			}
		}
		gomega.Expect(lab.Crossed()).To(gomega.BeNumerically(">", 20))
	})

	it("run twice behind a naive proxy that retries, under the same check", func() {
		lab := newLab()
		sites := grow(lab, 2, lending, "z1", "z2")
		var addrs []string
		for _, s := range sites {
			addrs = append(addrs, s.Settings().Backend.Address)
			s.Backend().Fail(gtstand.BackendFaults{Cut: 0.2})
		}
		server := serve(naiveProxy(addrs))
		load := &gtlab.Load{Method: "POST", Path: "/lending/holds", Rate: 200, Keys: true, Edges: []string{server}}
		during(load, func() { pause(time.Second) })
		twice := 0
		for _, n := range runs(lab) {
			if n > 1 {
				twice++
			}
		}
		gomega.Expect(twice).To(gomega.BeNumerically(">", 0), "the check can fail")
	})

	it("get the first outcome again when resent with the same key", func() {
		lab := newLab()
		sites := grow(lab, 2, lending, "z1", "z2")
		push(lab, map[string]string{"10-base.toml": base})
		load := &gtlab.Load{Method: "POST", Path: "/lending/holds", Keys: true}
		open(load)
		var results []gtlab.Result
		for i := range 10 {
			body := fmt.Sprintf("k%d", i)
			first := load.Send(sites[0].Edge(), body, false)
			results = append(results, first)
			gomega.Expect(first.OK()).To(gomega.BeTrue())
			for _, s := range sites {
				again := load.Send(s.Edge(), body, true)
				results = append(results, again)
				gomega.Expect(again.OK()).To(gomega.BeTrue(), "%+v", again)
				gomega.Expect(again.Backend).To(gomega.Equal(first.Backend))
			}
		}
		ginkgo.By("refusing a marked resend that nobody can know of, since the nodes are young")
		unknown := load.Send(sites[0].Edge(), "never-sent", true)
		gomega.Expect(unknown.Kind).To(gomega.Equal("forgotten"))
		checkRuns(runs(lab), append(results, unknown))
	})
})
