package mesh

import (
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"godwittide/core/connection/gtlink"
	"godwittide/core/process/gtmember"
	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtsettings"
)

const (
	// leaveLimit is the time after which a leaving backend server must get no
	// new requests.
	leaveLimit = 2 * time.Second
	// zoneDrainLimit is the same for a zone that operators drain.
	zoneDrainLimit = 3 * time.Second
	// deadConnectionLimit is the time within which a blackholed connection must be
	// detected.
	deadConnectionLimit = 2 * time.Second
)

// startedAfter returns the number of requests that the site's backend server
// started after at.
func startedAfter(s *gtcluster.Site, at time.Time) int {
	n := 0
	for _, e := range s.Backend().Executions() {
		if e.StartedAt.After(at) {
			n++
		}
	}
	return n
}

var _ = ginkgo.Describe("membership", func() {
	it("sends a leaving backend server no new requests after two seconds", func() {
		cluster := newCluster()
		sites := addSites(cluster, 2, gtcluster.SiteSpec{Service: "lending", Version: "1", ServiceTime: 10 * time.Millisecond}, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		sleep(time.Second)
		load := &gtcluster.Load{Method: "POST", Path: "/lending/x", Rate: 100, Keyed: true, EdgeURLs: edgeURLs(sites[1:])}
		results := runLoadDuring(load, func() {
			sleep(time.Second)
			start := time.Now()
			sites[0].Node().Drain()
			sleep(leaveLimit)
			gomega.Expect(startedAfter(sites[0], start.Add(leaveLimit))).To(gomega.BeZero())
			late := startedAfter(sites[0], start.Add(100*time.Millisecond))
			ginkgo.GinkgoWriter.Printf("requests started more than 100 ms after the drain began: %d\n", late)
			sleep(time.Second)
			gomega.Expect(startedAfter(sites[0], start.Add(leaveLimit))).To(gomega.BeZero())
		})
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}))
	})

	// A node that stopped broke off requests that peers had sent to it early in its stop,
	// with a deadline after its end; their callers got 502 "cut" (LOST).
	it("breaks off no request of a peer at the end of a stop", func() {
		cluster := newCluster()
		spec := gtcluster.SiteSpec{Service: "lending", Version: "1", ServiceTime: 3800 * time.Millisecond, Slots: 100}
		spec.EditSettings = func(s *gtsettings.Settings) {
			s.Backend.FixedLimit = true
			s.Limit.LingerPeriod, s.Limit.RefusePeriod = gtsettings.Duration(2100*time.Millisecond), gtsettings.Duration(400*time.Millisecond)
			s.Limit.DrainTimeout = gtsettings.Duration(5200 * time.Millisecond)
		}
		sites := addSites(cluster, 2, spec, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": strings.Replace(baseConfig, "2s", "4s", 1)})
		load := &gtcluster.Load{Method: "POST", Path: "/lending/x", Rate: 40, EdgeURLs: edgeURLs(sites[1:])}
		results := runLoadDuring(load, func() {
			sleep(time.Second)
			sites[0].Node().Drain()
			sleep(6 * time.Second)
		})
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}))
	})

	it("detects a crash within seconds and lets the instance rejoin", func() {
		cluster := newCluster()
		sites := addSites(cluster, 2, lendingSpec, "z1", "z2")
		cluster.Kill(sites[3])
		start := time.Now()
		gomega.Expect(cluster.WaitUntil(8*time.Second, func() bool {
			for _, s := range sites[:3] {
				if s.Node().CountReady() != 3 {
					return false
				}
			}
			return true
		})).To(gomega.BeTrue())
		ginkgo.GinkgoWriter.Printf("every node detected the crash after %s\n", time.Since(start))
		gomega.Expect(time.Since(start)).To(gomega.BeNumerically("<", 4*time.Second))
		gomega.Expect(cluster.Restart(sites[3])).To(gomega.Succeed())
		gomega.Expect(cluster.WaitUntil(10*time.Second, func() bool { return cluster.ReadyAtLeast(4) })).To(gomega.BeTrue())
	})

	it("limits the announcements of a flapping backend server", func() {
		cluster := newCluster()
		sites := addSites(cluster, 2, lendingSpec, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		first, _ := sites[1].Node().Member(sites[0].Instance())
		load := &gtcluster.Load{Method: "GET", Path: "/lending/x", Rate: 50, EdgeURLs: edgeURLs(sites[1:])}
		results := runLoadDuring(load, func() {
			for range 8 {
				sites[0].Backend().Crash()
				sleep(1500 * time.Millisecond)
			}
		})
		last, _ := sites[1].Node().Member(sites[0].Instance())
		ginkgo.GinkgoWriter.Printf("incarnations in 8 crashes: %d\n", last.Incarnation()-first.Incarnation())
		gomega.Expect(last.Incarnation() - first.Incarnation()).To(gomega.BeNumerically("<=", 2*gtmember.FlapBurst))
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}), "no request fails")
		gomega.Expect(cluster.WaitUntil(5*time.Second, func() bool { return cluster.ReadyAtLeast(4) })).To(gomega.BeTrue())
		ginkgo.By("sending requests to the recovered backend server")
		sleep(time.Second)
		before := len(sites[0].Backend().Executions())
		runLoadDuring(load, func() { sleep(2 * time.Second) })
		gomega.Expect(len(sites[0].Backend().Executions())).To(gomega.BeNumerically(">", before))
	})

	it("recovers from connections that go silent without being closed", func() {
		cluster := newCluster()
		sites := addSites(cluster, 2, lendingSpec, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		load := &gtcluster.Load{Method: "POST", Path: "/lending/x", Rate: 50, Keyed: true, EdgeURLs: edgeURLs(sites)}
		runLoadDuring(load, func() { sleep(time.Second) })
		ginkgo.By("losing all bytes sent on connections that were idle")
		sleep(time.Second)
		cluster.BlackholeConnections()
		after := &gtcluster.Load{Method: "POST", Path: "/lending/y", BodyPrefix: "after-", Rate: 50, Keyed: true, EdgeURLs: edgeURLs(sites), Timeout: 5 * time.Second}
		results := runLoadDuring(after, func() { sleep(3 * time.Second) })
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}), "no request is lost")
		gomega.Expect(gtcluster.Quantile(results, 1)).To(gomega.BeNumerically("<", deadConnectionLimit))
		ginkgo.By("detecting the silent links of the overlay")
		start := time.Now()
		pushConfig(cluster, numberedConfig(1))
		gomega.Expect(time.Since(start)).To(gomega.BeNumerically("<", propagationLimit))
		sleep(gtlink.HeartbeatTimeout)
		gomega.Expect(cluster.ReadyAtLeast(4)).To(gomega.BeTrue(), "no instance is lost")
	})

	it("converges after all nodes of a zone restart at once, with bounded links and bytes", func() {
		cluster := newCluster()
		sites := addSites(cluster, 6, lendingSpec, "z1", "z2")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		var restarted []*gtcluster.Site
		before := map[string]uint64{}
		for _, s := range sites {
			if s.Zone() == "z2" {
				local, _ := s.Node().Member(s.Instance())
				before[s.Instance()] = local.Incarnation()
				restarted = append(restarted, s)
				cluster.Kill(s)
			}
		}
		rejoined := func() bool { // on every node, with a newer incarnation than before the restart
			for _, s := range sites {
				for _, other := range restarted {
					m, ok := s.Node().Member(other.Instance())
					if !ok || m.State() != gtmember.Ready || m.Incarnation() <= before[other.Instance()] {
						return false
					}
				}
			}
			return true
		}
		start := time.Now()
		for _, s := range restarted {
			gomega.Expect(cluster.Restart(s)).To(gomega.Succeed())
		}
		gomega.Expect(cluster.WaitUntil(15*time.Second, func() bool { return cluster.ReadyAtLeast(len(sites)) && cluster.AllActiveAt(1) && rejoined() })).To(gomega.BeTrue())
		ginkgo.GinkgoWriter.Printf("converged after %s\n", time.Since(start))
		sleep(2 * time.Second)
		for _, s := range sites {
			st := s.Node().Status()
			gomega.Expect(st.Links).To(gomega.BeNumerically("<=", gtlink.SameZoneLinks+gtlink.CrossZoneLinks+gtlink.MaxInbound))
			gomega.Expect(st.ControlBytesSent).To(gomega.BeNumerically("<", 1<<20))
		}
	})

	it("keeps the rate of store calls constant for 10, 50 and 200 nodes", func() {
		cluster := newCluster()
		rates := map[int]int{}
		for _, n := range []int{10, 50, 200} {
			for len(cluster.Sites()) < n {
				i := len(cluster.Sites())
				_, err := cluster.Add(gtcluster.SiteSpec{Zone: []string{"z1", "z2"}[i%2], Service: "lending", Version: "1"})
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
			gomega.Expect(cluster.WaitUntil(60*time.Second, func() bool { return cluster.ReadyAtLeast(n) })).To(gomega.BeTrue(), "%d nodes", n)
			sleep(3 * time.Second)
			a := cluster.Store().Counts()
			sleep(6 * time.Second)
			b := cluster.Store().Counts()
			rates[n] = b.Reads + b.Writes + b.Leases + b.Watches - a.Reads - a.Writes - a.Leases - a.Watches
		}
		ginkgo.GinkgoWriter.Printf("store calls in 6 s, by number of nodes: %v\n", rates)
		gomega.Expect(rates[200]).To(gomega.BeNumerically("<=", 2*rates[10]))
		gomega.Expect(cluster.Store().Counts().OpenWatches).To(gomega.BeNumerically("<=", 6))
	})
})

var _ = ginkgo.Describe("an availability zone", func() {
	it("taken out gets no new requests, causes no failed calls, and is brought back gradually", func() {
		cluster := newCluster()
		sites := addSites(cluster, 2, gtcluster.SiteSpec{Service: "lending", Version: "1", Slots: 10, ServiceTime: 10 * time.Millisecond, Jitter: 0.3, WarmUp: 2 * time.Second}, "z1", "z2", "z3")
		pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
		sleep(5 * time.Second) // all are warmed up, concurrency limits have risen
		var drained []*gtcluster.Site
		for _, s := range sites {
			if s.Zone() == "z2" {
				drained = append(drained, s)
			}
		}
		get := &gtcluster.Load{Method: "GET", Path: "/lending/x", Rate: 150, EdgeURLs: edgeURLs(sites)}
		results := runLoadDuring(get, func() {
			sleep(3 * time.Second)
			for _, s := range sites {
				s.Backend().TakePeak()
			}
			start := time.Now()
			pushConfig(cluster, map[string]string{"10-base.toml": baseConfig, "20-out.toml": "[zone.z2]\nout = true\n"})
			sleep(zoneDrainLimit + 2*time.Second) // long enough for hundreds of requests after the limit
			for _, s := range drained {
				gomega.Expect(startedAfter(s, start.Add(zoneDrainLimit))).To(gomega.BeZero())
				ginkgo.GinkgoWriter.Printf("requests started more than 200 ms after the change: %d\n", startedAfter(s, start.Add(200*time.Millisecond)))
			}
			for _, s := range sites {
				_, shed := s.Backend().TakePeak()
				gomega.Expect(shed).To(gomega.BeZero(), "no backend server is overloaded")
			}
			for _, s := range drained {
				s.Backend().TakePeak()
				s.Backend().SetFaults(restartWarmUp)
			}
			pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
			sleep(3 * time.Second)
			for _, s := range drained {
				peak, shed := s.Backend().TakePeak()
				ginkgo.GinkgoWriter.Printf("server that is warming up after the return: at most %d requests at once, %d shed\n", peak, shed)
				gomega.Expect(startedAfter(s, time.Now().Add(-time.Second))).To(gomega.BeNumerically(">", 0), "it gets requests again")
			}
		})
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}), "no idempotent request fails")
	})
})
