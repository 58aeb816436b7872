package mesh

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"godwittide/io/process/gtcluster"
)

var _ = ginkgo.Describe("a stop of the last instance outside an evacuated zone", func() {
	// A node that stopped refused the calls of peers in favour of an instance in an evacuated
	// zone, to which no peer may send them: no request that could outlast the stop ran.
	it("goes on running what peers send while it is not announced", func() {
		cluster := newCluster()
		sites := addSites(cluster, 1, stoppingSpec(), "z1", "z2")
		other := addSites(cluster, 1, gtcluster.SiteSpec{Service: "other", Version: "1"}, "z1")
		pushConfig(cluster, map[string]string{"10-base.toml": longTimeoutConfig, "20-zone.toml": "[zone.z2]\nout = true\n"})
		sleep(2 * time.Second)
		load := &gtcluster.Load{Method: "POST", Path: "/lending/x", Rate: 50, EdgeURLs: edgeURLs(other)}
		results := runLoadDuring(load, func() {
			sleep(500 * time.Millisecond)
			sites[0].Node().Drain()
			sleep(1500 * time.Millisecond)
		})
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}))
	})
})
