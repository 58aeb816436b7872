package mesh

import (
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtsettings"
)

var _ = ginkgo.Describe("a stop of the last instance outside an evacuated zone", func() {
	// A node that stopped refused the calls of peers in favour of an instance in an evacuated
	// zone, to which no peer may send them: no request that could outlast the stop ran.
	it("goes on running what peers send while it is not announced", func() {
		cluster := newCluster()
		spec := gtcluster.SiteSpec{Service: "lending", Version: "1", ServiceTime: 20 * time.Millisecond, Slots: 100}
		spec.EditSettings = func(s *gtsettings.Settings) {
			s.Limit.LingerPeriod, s.Limit.RefusePeriod = gtsettings.Duration(2100*time.Millisecond), gtsettings.Duration(400*time.Millisecond)
			s.Limit.DrainTimeout = gtsettings.Duration(5200 * time.Millisecond)
		}
		sites := addSites(cluster, 1, spec, "z1", "z2")
		other := addSites(cluster, 1, gtcluster.SiteSpec{Service: "other", Version: "1"}, "z1")
		pushConfig(cluster, map[string]string{"10-base.toml": strings.Replace(baseConfig, "2s", "9s", 1), "20-zone.toml": "[zone.z2]\nout = true\n"})
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
