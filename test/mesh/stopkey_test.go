package mesh

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtsettings"
)

var _ = ginkgo.Describe("a request with an idempotency key beside a stop", func() {
	// A node that stopped refused calls of peers before it looked up their idempotency key:
	// the peer ran a request again that had run at the stopping node (TWICE).
	it("does not run again when the node that ran it stops", func() {
		cluster, sites := newStoppingCluster()
		load := &gtcluster.Load{Method: "POST", Path: "/lending/x", Keyed: true, EdgeURLs: edgeURLs(sites[1:])}
		prepareLoad(load)
		var keys []string
		for i := range 10 {
			key := fmt.Sprintf("key-%d.", i)
			gomega.Expect(load.Send(sites[1].EdgeURL(), key, false).Status).To(gomega.Equal(http.StatusOK))
			keys = append(keys, key)
		}
		sites[0].Node().Drain()
		sleep(100 * time.Millisecond)
		for _, key := range keys {
			gomega.Expect(load.Send(sites[1].EdgeURL(), key, false).Status).To(gomega.Equal(http.StatusOK))
		}
		for key, n := range executions(cluster) {
			gomega.Expect(n).To(gomega.Equal(1), key)
		}
	})
})

// stoppingSpec is the spec of nodes that shut down as on the users' platform.
func stoppingSpec() gtcluster.SiteSpec {
	spec := gtcluster.SiteSpec{Service: "lending", Version: "1", ServiceTime: 20 * time.Millisecond, Slots: 100}
	spec.EditSettings = func(s *gtsettings.Settings) {
		s.Limit.LingerPeriod, s.Limit.RefusePeriod = gtsettings.Duration(2100*time.Millisecond), gtsettings.Duration(400*time.Millisecond)
		s.Limit.DrainTimeout = gtsettings.Duration(5200 * time.Millisecond)
	}
	return spec
}

// longTimeoutConfig is a configuration whose timeout is longer than a shutdown.
var longTimeoutConfig = strings.Replace(baseConfig, "2s", "9s", 1)

// newStoppingCluster returns a cluster of two nodes in one zone, with a route whose timeout
// is longer than a shutdown.
func newStoppingCluster() (*gtcluster.Cluster, []*gtcluster.Site) {
	cluster := newCluster()
	sites := addSites(cluster, 2, stoppingSpec(), "z1")
	pushConfig(cluster, map[string]string{"10-base.toml": longTimeoutConfig})
	sleep(time.Second)
	return cluster, sites
}

var _ = ginkgo.Describe("a stop of all instances of a service", func() {
	// Two nodes that stopped refused the calls of peers in favour of each other: each was
	// still announced as ready, and no request that could outlast the stop ran anywhere.
	it("goes on running what peers send while it is not announced", func() {
		cluster, sites := newStoppingCluster()
		other := addSites(cluster, 1, gtcluster.SiteSpec{Service: "other", Version: "1"}, "z1")
		sleep(time.Second)
		load := &gtcluster.Load{Method: "POST", Path: "/lending/x", Rate: 50, EdgeURLs: edgeURLs(other)}
		results := runLoadDuring(load, func() {
			sleep(500 * time.Millisecond)
			sites[0].Node().Drain()
			sites[1].Node().Drain()
			sleep(1500 * time.Millisecond)
		})
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}))
	})
})
