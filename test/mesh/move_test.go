package mesh

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"godwittide/io/process/gtcluster"
	"godwittide/io/process/gtfake"
	"godwittide/io/process/gtnode"
)

// rollbackLimit is the time after a rollback from which the new version must get
// no requests.
const rollbackLimit = time.Second

// moveConfig returns a configuration with a move that has to end within the given
// time and is watched afterwards for the time in watch.
func moveConfig(name, from, to string, by time.Duration, watch string) map[string]string {
	return map[string]string{"10-base.toml": baseConfig, "20-move.toml": fmt.Sprintf(
		"[move.%s]\nservice = \"lending\"\nfrom = %q\nto = %q\nby = %s\nwatch = %q\n",
		name, from, to, time.Now().Add(by).UTC().Format(time.RFC3339), watch)}
}

// moveStatus returns a node's status of the named move, or the zero value if the
// node has no such move.
func moveStatus(s *gtcluster.Site, name string) gtnode.MoveStatus {
	for _, m := range s.Node().Status().Moves {
		if m.Name == name {
			return m
		}
	}
	return gtnode.MoveStatus{}
}

// startVersions starts version 1 and version 2 of the service in three zones.
func startVersions(cluster *gtcluster.Cluster) (oldSites, newSites []*gtcluster.Site) {
	spec := lendingSpec
	oldSites = addSites(cluster, 1, spec, "z1", "z2", "z3")
	spec.Version = "2"
	newSites = addSites(cluster, 1, spec, "z1", "z2", "z3")
	pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
	return oldSites, newSites
}

func postLoad(sites []*gtcluster.Site) *gtcluster.Load {
	return &gtcluster.Load{Method: "POST", Path: "/lending/holds", Rate: 150, Keyed: true, EdgeURLs: edgeURLs(sites)}
}

var _ = ginkgo.Describe("a move", func() {
	it("to a good version ends in time although its driver is killed and the store is down for a while", func() {
		cluster := newCluster()
		oldSites, newSites := startVersions(cluster)
		all := append(append([]*gtcluster.Site{}, oldSites...), newSites...)
		runLoadDuring(postLoad(oldSites[:1]), func() {
			pushConfig(cluster, moveConfig("m", "1", "2", 28*time.Second, "1s"))
			gomega.Expect(cluster.WaitUntil(8*time.Second, func() bool { return moveStatus(oldSites[0], "m").Share > 0 })).To(gomega.BeTrue())
			ginkgo.By("killing the driver")
			driver := all[0]
			for _, s := range all[1:] {
				if s.Node().DriverRank("m") == 0 {
					driver = s
				}
			}
			cluster.Kill(driver)
			sleep(time.Second)
			cluster.Store().SetFaults(gtfake.StoreFaults{Down: true})
			sleep(4 * time.Second)
			cluster.Store().SetFaults(gtfake.StoreFaults{})
			observer := oldSites[0]
			if driver == observer {
				observer = oldSites[1]
			}
			gomega.Expect(cluster.WaitUntil(35*time.Second, func() bool { return moveStatus(observer, "m").Phase == "done" })).To(gomega.BeTrue(), "%+v", moveStatus(observer, "m"))
			gomega.Expect(moveStatus(observer, "m").MissedDeadline).To(gomega.BeFalse())
		})
	})

	it("to a bad version is rolled back, for failures at the start or slowness after the end, and the version gets no more requests", func() {
		for _, f := range []gtfake.BackendFaults{{ErrorShare: 0.5}, {SlowMS: 20}} {
			cluster := newCluster()
			oldSites, newSites := startVersions(cluster)
			load := postLoad(oldSites)
			runLoadDuring(load, func() {
				sleep(2 * time.Second)
				pushConfig(cluster, moveConfig("m", "1", "2", 20*time.Second, "60s"))
				gomega.Expect(cluster.WaitUntil(8*time.Second, func() bool { return moveStatus(oldSites[0], "m").Share > 0 })).To(gomega.BeTrue())
				ginkgo.By("sending on a request as a peer whose record of the backend server is outdated")
				gomega.Expect(sendCall(newSites[0], "1")).To(gomega.And(gomega.HavePrefix("HTTP/1.1 503"), gomega.ContainSubstring("/refused")))
				gomega.Expect(sendCall(newSites[0], "2")).To(gomega.HavePrefix("HTTP/1.1 200"))
				if f.SlowMS > 0 {
					ginkgo.By("letting the move end first")
					gomega.Expect(cluster.WaitUntil(30*time.Second, func() bool { return moveStatus(oldSites[0], "m").Phase == "watching" })).To(gomega.BeTrue())
				}
				start := time.Now()
				for _, s := range newSites {
					s.Backend().SetFaults(f)
				}
				gomega.Expect(cluster.WaitUntil(10*time.Second, func() bool { return moveStatus(oldSites[0], "m").Phase == "taken back" })).To(gomega.BeTrue(), "%+v", moveStatus(oldSites[0], "m"))
				rolledBack := time.Now()
				ginkgo.GinkgoWriter.Printf("%+v: rolled back after %s: %s\n", f, rolledBack.Sub(start), moveStatus(oldSites[0], "m").Reason)
				sleep(rollbackLimit + time.Second)
				for _, s := range newSites {
					gomega.Expect(startedAfter(s, rolledBack.Add(rollbackLimit))).To(gomega.BeZero())
				}
				ginkgo.By("sending on a request as a peer that has not heard of the rollback")
				for _, s := range newSites {
					gomega.Expect(sendCall(s, "2")).To(gomega.And(gomega.HavePrefix("HTTP/1.1 503"), gomega.ContainSubstring("/leaving")))
					gomega.Expect(startedAfter(s, rolledBack.Add(rollbackLimit))).To(gomega.BeZero())
				}
				gomega.Expect(sendCall(oldSites[0], "1")).To(gomega.HavePrefix("HTTP/1.1 200"))
			})
		}
	})

	it("has its share lowered but not raised by an isolated zone", func() {
		cluster := newCluster()
		oldSites, newSites := startVersions(cluster)
		runLoadDuring(postLoad(oldSites), func() {
			sleep(time.Second)
			pushConfig(cluster, moveConfig("m", "1", "2", 60*time.Second, "60s"))
			gomega.Expect(cluster.WaitUntil(8*time.Second, func() bool { return moveStatus(oldSites[2], "m").Share > 0 })).To(gomega.BeTrue())
			cluster.PartitionStore("z3")
			cluster.PartitionZone("z3")
			share := moveStatus(oldSites[2], "m").Share
			sleep(3 * time.Second)
			gomega.Expect(moveStatus(oldSites[2], "m").Share).To(gomega.Equal(share))
			for _, s := range newSites {
				s.Backend().SetFaults(gtfake.BackendFaults{ErrorShare: 1})
			}
			gomega.Expect(cluster.WaitUntil(20*time.Second, func() bool { return moveStatus(oldSites[2], "m").Share == 0 })).To(gomega.BeTrue(), "the isolated zone lowers the share itself")
			cluster.HealZone("z3")
			gomega.Expect(cluster.WaitUntil(30*time.Second, func() bool {
				return moveStatus(oldSites[0], "m").Phase == "taken back" && moveStatus(oldSites[2], "m").Phase == "taken back"
			})).To(gomega.BeTrue())
		})
	})

	it("follows the operators when they reverse it or remove its file", func() {
		cluster := newCluster()
		oldSites, newSites := startVersions(cluster)
		runLoadDuring(postLoad(oldSites), func() {
			pushConfig(cluster, moveConfig("m", "1", "2", 20*time.Second, "60s"))
			gomega.Expect(cluster.WaitUntil(25*time.Second, func() bool { return moveStatus(oldSites[0], "m").Share >= 0.25 })).To(gomega.BeTrue())
			pushConfig(cluster, moveConfig("back", "2", "1", 20*time.Second, "1s"))
			gomega.Expect(cluster.WaitUntil(8*time.Second, func() bool { return moveStatus(oldSites[0], "back").Share > 0 })).To(gomega.BeTrue())
			gomega.Expect(moveStatus(oldSites[0], "back").Share).To(gomega.BeNumerically(">=", 0.5), "version 1 keeps its share")
			pushConfig(cluster, map[string]string{"10-base.toml": baseConfig})
			removed := time.Now()
			sleep(time.Second)
			for _, s := range newSites {
				gomega.Expect(startedAfter(s, removed.Add(500*time.Millisecond))).To(gomega.BeZero(), "the version of the service applies again")
			}
		})
	})
})
