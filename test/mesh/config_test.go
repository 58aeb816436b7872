package mesh

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtfake"
	"godwittide/io/process/gtnode"
)

// versionHistory records the active versions of each node, in order.
type versionHistory struct {
	mu       sync.Mutex
	observed map[*gtnode.Node][]observation
	stop     chan struct{}
	ended    sync.WaitGroup
}

type observation struct {
	version  int64
	checksum string
}

// recordVersions starts to record the active versions, until check is called.
func recordVersions(cluster *gtcluster.Cluster) *versionHistory {
	h := &versionHistory{observed: map[*gtnode.Node][]observation{}, stop: make(chan struct{})}
	h.ended.Go(func() {
		for {
			for _, s := range cluster.Sites() {
				if s.Running() {
					h.observe(s)
				}
			}
			select {
			case <-h.stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	return h
}

func (h *versionHistory) observe(s *gtcluster.Site) {
	node := s.Node()
	st := node.Status()
	h.mu.Lock()
	defer h.mu.Unlock()
	// A restarted node has its own history. The key is the pointer itself, which
	// keeps the stopped node in memory; its formatted address could be reused by a
	// later node.
	list := h.observed[node]
	current := observation{st.Version, st.Checksum}
	if len(list) == 0 || list[len(list)-1] != current {
		h.observed[node] = append(list, current)
	}
}

// check ends the recording and checks that the version of no node decreased.
func (h *versionHistory) check() {
	close(h.stop)
	h.ended.Wait()
	for node, list := range h.observed {
		for i := 1; i < len(list); i++ {
			gomega.Expect(list[i].version).To(gomega.BeNumerically(">", list[i-1].version),
				"%s went from version %d (%s) to %d (%s)", node.Status().Instance, list[i-1].version, list[i-1].checksum, list[i].version, list[i].checksum)
		}
	}
}

func numberedConfig(n int) map[string]string {
	return map[string]string{"10-base.toml": baseConfig, "20-n.toml": fmt.Sprintf("[zone.n%d]\nout = true\n", n)}
}

var _ = ginkgo.Describe("the configuration", func() {
	it("never goes back to an older version despite lost data, lost responses, partitions, kills and a slow store", func() {
		r := rand.New(rand.NewPCG(11, 1))
		cluster := newCluster()
		sites := addSites(cluster, 2, lendingSpec, "z1", "z2", "z3")
		pushConfig(cluster, numberedConfig(0))
		h := recordVersions(cluster)
		old := cluster.Store().Snapshot()
		pushed := 0
		for i := 1; i <= 40; i++ {
			if err := cluster.Push(numberedConfig(i)); err == nil {
				pushed = i
			}
			switch r.IntN(8) {
			case 0:
				cluster.Store().SetFaults(gtfake.StoreFaults{LoseResponseShare: 0.5})
			case 1:
				cluster.Store().SetFaults(gtfake.StoreFaults{SlowMS: 50})
			case 2:
				cluster.Store().SetFaults(gtfake.StoreFaults{StallWatches: true, ExpireLeases: true})
			case 3:
				cluster.Store().Restore(old)
			case 4:
				old = cluster.Store().Snapshot()
				cluster.PartitionZone([]string{"z1", "z2", "z3"}[r.IntN(3)])
			case 5:
				s := sites[r.IntN(len(sites))]
				cluster.Kill(s)
				gomega.Expect(cluster.Restart(s)).To(gomega.Succeed())
			default:
				cluster.Store().SetFaults(gtfake.StoreFaults{})
				for _, z := range []string{"z1", "z2", "z3"} {
					cluster.HealZone(z)
				}
			}
			sleep(time.Duration(r.IntN(300)) * time.Millisecond)
		}
		cluster.Store().SetFaults(gtfake.StoreFaults{})
		for _, z := range []string{"z1", "z2", "z3"} {
			cluster.HealZone(z)
		}
		ginkgo.By("converging on one version after the faults")
		sleep(3 * time.Second)
		gomega.Eventually(func() error { return cluster.Push(numberedConfig(100)) }, "10s", "200ms").Should(gomega.Succeed())
		gomega.Expect(pushed).To(gomega.BeNumerically(">", 20))
		gomega.Eventually(func() []string {
			versions := map[string]bool{}
			for _, s := range cluster.Sites() {
				st := s.Node().Status()
				versions[fmt.Sprint(st.Version, st.Checksum)] = true
			}
			var list []string
			for v := range versions {
				list = append(list, v)
			}
			return list
		}, "15s", "50ms").Should(gomega.HaveLen(1))
		h.check()
	})

	it("becomes active on every node in time despite a killed watcher, an unreachable store and restarting nodes", func() {
		cluster := newCluster()
		sites := addSites(cluster, 4, lendingSpec, "z1", "z2", "z3")
		pushConfig(cluster, numberedConfig(0))
		for round := 1; round <= 4; round++ {
			version := highestVersion(cluster) + 1
			start := time.Now()
			gomega.Expect(cluster.Push(numberedConfig(round))).To(gomega.Succeed())
			switch round {
			case 1:
				cluster.PartitionStore("z2")
			case 2:
				for _, s := range sites {
					if s.Node().Status().IsWatcher && s.Zone() == "z1" {
						cluster.Kill(s)
					}
				}
			case 3:
				for _, s := range sites[4:8] {
					if s.Running() {
						cluster.Kill(s)
						gomega.Expect(cluster.Restart(s)).To(gomega.Succeed())
					}
				}
			}
			gomega.Expect(cluster.WaitUntil(2*propagationLimit, func() bool { return cluster.AllActiveAt(version) })).To(gomega.BeTrue())
			took := time.Since(start)
			ginkgo.GinkgoWriter.Printf("round %d: active on every node after %s\n", round, took)
			gomega.Expect(took).To(gomega.BeNumerically("<", propagationLimit), "round %d", round)
		}
	})

	it("stays available without the store and causes no burst of calls when the store returns", func() {
		cluster := newCluster()
		sites := addSites(cluster, 3, lendingSpec, "z1", "z2")
		pushConfig(cluster, numberedConfig(0))
		cluster.Store().SetFaults(gtfake.StoreFaults{Down: true})
		late, err := cluster.Add(gtcluster.SiteSpec{Zone: "z1", Service: "lending", Version: "1", ServiceTime: time.Millisecond})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(cluster.WaitUntil(5*time.Second, func() bool { return late.Running() && late.Node().Status().Version == 1 })).To(gomega.BeTrue(), "a node gets the configuration from its peers alone")
		load := &gtcluster.Load{Method: "GET", Path: "/lending/x", Rate: 200, EdgeURLs: edgeURLs(append(sites, late))}
		before := cluster.Store().Counts()
		results := runLoadDuring(load, func() { sleep(4 * time.Second) })
		gomega.Expect(countOutcomes(results)).To(gomega.HaveLen(1), "%v", countOutcomes(results))
		mid := cluster.Store().Counts()
		calls := mid.Reads + mid.Writes + mid.Watches + mid.Leases - before.Reads - before.Writes - before.Watches - before.Leases
		ginkgo.GinkgoWriter.Printf("store calls in 4 s while the store was down: %d\n", calls)
		gomega.Expect(calls).To(gomega.BeNumerically("<", 4*2*2*8), "a few calls a second for each watching node")
		cluster.Store().SetFaults(gtfake.StoreFaults{})
		sleep(time.Second)
		after := cluster.Store().Counts()
		gomega.Expect(after.Reads + after.Writes - mid.Reads - mid.Writes).To(gomega.BeNumerically("<", 4*10))
		pushConfig(cluster, numberedConfig(1))
	})

	it("reaches a zone without access to the store, and an isolated zone keeps serving its last version", func() {
		cluster := newCluster()
		sites := addSites(cluster, 2, lendingSpec, "z1", "z2", "z3")
		pushConfig(cluster, numberedConfig(0))
		cluster.PartitionStore("z3")
		pushConfig(cluster, numberedConfig(1))
		cluster.PartitionZone("z3")
		version := highestVersion(cluster) + 1
		gomega.Expect(cluster.Push(numberedConfig(2))).To(gomega.Succeed())
		gomega.Expect(cluster.WaitUntil(propagationLimit, func() bool { return sites[0].Node().Status().Version == version })).To(gomega.BeTrue())
		var isolated []*gtcluster.Site
		for _, s := range sites {
			if s.Zone() == "z3" {
				isolated = append(isolated, s)
				gomega.Expect(s.Node().Status().Version).To(gomega.Equal(version - 1))
			}
		}
		sleep(5 * time.Second) // the two sides declare each other gone
		load := &gtcluster.Load{Method: "GET", Path: "/lending/x", Rate: 100, EdgeURLs: edgeURLs(isolated)}
		results := runLoadDuring(load, func() { sleep(time.Second) })
		gomega.Expect(countOutcomes(results)).To(gomega.Equal(map[string]int{"ok": len(results)}))
		cluster.HealZone("z3")
		gomega.Expect(cluster.WaitUntil(40*time.Second, func() bool { return cluster.AllActiveAt(version) && cluster.ReadyAtLeast(6) })).To(gomega.BeTrue(), "the two sides merge")
	})
})
