package mesh

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtsettings"
)

func withoutLearning(s *gtsettings.Settings) { s.Backend.Learn = false }

// metric returns the value of a metric of a node, or 0 if it has none of that name.
func metric(s *gtcluster.Site, name string) float64 {
	client := gtcluster.NewClient(network, 1)
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + s.AdminAddress() + "/metrics")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "godwittide_"+name+" "); ok {
			f, err := strconv.ParseFloat(value, 64)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return f
		}
	}
	return 0
}

// controlRate returns the control bytes a second that the sites send, as a mean.
func controlRate(sites []*gtcluster.Site, during func()) float64 {
	sent := func() (total int64) {
		for _, s := range sites {
			total += s.Node().Status().ControlBytesSent
		}
		return total
	}
	before, start := sent(), time.Now()
	during()
	return float64(sent()-before) / float64(len(sites)) / time.Since(start).Seconds()
}

var _ = ginkgo.Describe("capacity", func() {
	it("is learned at each node and told to the others, and requests are chosen by it", func() {
		cluster := newCluster()
		var sites []*gtcluster.Site
		times := []time.Duration{60 * time.Millisecond, 100 * time.Millisecond, 160 * time.Millisecond}
		for _, zone := range []string{"z1", "z2"} {
			for _, d := range times {
				sites = append(sites, addSites(cluster, 1, gtcluster.SiteSpec{Service: "lending", Version: "1", ServiceTime: d, Jitter: 0.5}, zone)...)
			}
		}
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig + "target = \"150ms\"\n"})
		idle := controlRate(sites, func() { sleep(20 * time.Second) })
		for _, s := range sites {
			gomega.Expect(metric(s, `summaries{of="instance"}`)+metric(s, `summaries{of="zone"}`)).To(gomega.BeZero(), "an idle node sends no summaries")
		}
		// The concurrency limits rise from 1 under a load that they admit.
		warmUp := &gtcluster.Load{Method: "GET", Path: "/lending/holds", Rate: 30, EdgeURLs: edgeURLs(sites)}
		runLoadDuring(warmUp, func() { sleep(20 * time.Second) })
		load := &gtcluster.Load{Method: "GET", Path: "/lending/holds", Rate: 60, EdgeURLs: edgeURLs(sites)}
		loaded := 0.0
		results := runLoadDuring(load, func() { loaded = controlRate(sites, func() { sleep(60 * time.Second) }) })
		fmt.Fprintf(ginkgo.GinkgoWriter, "control bytes a second: %.0f idle, %.0f under load\n", idle, loaded)
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}))
		gomega.Expect(loaded).To(gomega.BeNumerically("<", 8<<10), "the bound of a node")
		for i, s := range sites {
			speed := metric(s, "capacity_speed")
			mean := 3 / (1/0.06 + 1/0.1 + 1/0.16)
			gomega.Expect(speed).To(gomega.BeNumerically("~", mean/times[i%3].Seconds(), 0.2), s.Instance())
			gomega.Expect(metric(s, `choices{by="estimate"}`)).To(gomega.BeNumerically(">", 0), s.Instance())
		}
		zoneSummaries := 0.0
		for _, s := range sites {
			zoneSummaries += metric(s, `summaries{of="zone"}`)
		}
		gomega.Expect(zoneSummaries).To(gomega.BeNumerically(">", 0))
	})

	it("of a zone is told by other nodes when one that told it is killed", func() {
		cluster := newCluster()
		sites := addSites(cluster, 4, gtcluster.SiteSpec{Service: "lending", Version: "1", ServiceTime: 50 * time.Millisecond, Jitter: 0.5}, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		tellers := func() (out []*gtcluster.Site) {
			before := map[*gtcluster.Site]float64{}
			for _, s := range cluster.Sites() {
				if s.Zone() == "z1" && s.Running() {
					before[s] = metric(s, `summaries{of="zone"}`)
				}
			}
			sleep(10 * time.Second)
			for s, n := range before {
				if metric(s, `summaries{of="zone"}`) > n {
					out = append(out, s)
				}
			}
			return out
		}
		load := &gtcluster.Load{Method: "GET", Path: "/lending/holds", Rate: 60, EdgeURLs: edgeURLs(sites[1:2])}
		results := runLoadDuring(load, func() {
			sleep(20 * time.Second)
			first := tellers()
			gomega.Expect(first).To(gomega.HaveLen(2))
			cluster.Kill(first[0])
			sleep(15 * time.Second)
			next := tellers()
			gomega.Expect(next).To(gomega.HaveLen(2))
			gomega.Expect(next).NotTo(gomega.ContainElement(first[0]))
		})
		gomega.Expect(float64(countOutcomes(results)["ok"])).To(gomega.BeNumerically(">", 0.99*float64(len(results))))
	})

	it("is not told where the setting is off", func() {
		cluster := newCluster()
		spec := lendingSpec
		spec.EditSettings = withoutLearning
		sites := addSites(cluster, 1, spec, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		load := &gtcluster.Load{Method: "GET", Path: "/lending/holds", Rate: 50, EdgeURLs: edgeURLs(sites)}
		results := runLoadDuring(load, func() { sleep(20 * time.Second) })
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}))
		for _, s := range sites {
			gomega.Expect(metric(s, "capacity_speed")).To(gomega.Equal(1.0))
			gomega.Expect(metric(s, `summaries{of="instance"}`)).To(gomega.BeZero())
			gomega.Expect(metric(s, `choices{by="estimate"}`)).To(gomega.BeZero())
		}
	})
})
