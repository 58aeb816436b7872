package mesh

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"godwittide/io/process/gtlab"
	"godwittide/io/process/gtnode"
	"godwittide/io/process/gtstand"
)

// history records which version each node had in force, as it changed.
type history struct {
	mu    sync.Mutex
	seen  map[*gtnode.Node][]seen
	stop  chan struct{}
	ended sync.WaitGroup
}

type seen struct {
	version int64
	sum     string
}

func record(lab *gtlab.Lab) *history {
	h := &history{seen: map[*gtnode.Node][]seen{}, stop: make(chan struct{})}
	h.ended.Go(func() {
		for {
			for _, s := range lab.Sites() {
				if s.Running() {
					h.look(s)
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

func (h *history) look(s *gtlab.Site) {
	node := s.Node()
	st := node.Status()
	h.mu.Lock()
	defer h.mu.Unlock()
	// A node that was started again has a life of its own. The key holds the
	// ended node, as its address in text would be given to a later one.
	list := h.seen[node]
	now := seen{st.Version, st.Checksum}
	if len(list) == 0 || list[len(list)-1] != now {
		h.seen[node] = append(list, now)
	}
}

func (h *history) check() {
	close(h.stop)
	h.ended.Wait()
	for node, list := range h.seen {
		for i := 1; i < len(list); i++ {
			gomega.Expect(list[i].version).To(gomega.BeNumerically(">", list[i-1].version),
				"%s went from version %d (%s) to %d (%s)", node.Status().Instance, list[i-1].version, list[i-1].sum, list[i].version, list[i].sum)
		}
	}
}

func numbered(n int) map[string]string {
	return map[string]string{"10-base.toml": base, "20-n.toml": fmt.Sprintf("[zone.n%d]\nout = true\n", n)}
}

var _ = ginkgo.Describe("the configuration", func() {
	it("never goes back through lost data, lost answers, cuts, kills and a slow store", func() {
		r := rand.New(rand.NewPCG(11, 1))
		lab := newLab()
		sites := grow(lab, 2, lending, "z1", "z2", "z3")
		push(lab, numbered(0))
		h := record(lab)
		old := lab.Store().Image()
		pushed := 0
		for i := 1; i <= 40; i++ {
			if err := lab.Push(numbered(i)); err == nil {
				pushed = i
			}
			switch r.IntN(8) {
			case 0:
				lab.Store().Fail(gtstand.StoreFaults{Lose: 0.5})
			case 1:
				lab.Store().Fail(gtstand.StoreFaults{Slow: 50})
			case 2:
				lab.Store().Fail(gtstand.StoreFaults{Silent: true, Lapse: true})
			case 3:
				lab.Store().Restore(old)
			case 4:
				old = lab.Store().Image()
				lab.Cut([]string{"z1", "z2", "z3"}[r.IntN(3)])
			case 5:
				s := sites[r.IntN(len(sites))]
				lab.Kill(s)
				gomega.Expect(lab.Restart(s)).To(gomega.Succeed())
			default:
				lab.Store().Fail(gtstand.StoreFaults{})
				for _, z := range []string{"z1", "z2", "z3"} {
					lab.Heal(z)
				}
			}
			pause(time.Duration(r.IntN(300)) * time.Millisecond)
		}
		lab.Store().Fail(gtstand.StoreFaults{})
		for _, z := range []string{"z1", "z2", "z3"} {
			lab.Heal(z)
		}
		ginkgo.By("converging on one version once all is well")
		pause(3 * time.Second)
		gomega.Eventually(func() error { return lab.Push(numbered(100)) }, "10s", "200ms").Should(gomega.Succeed())
		gomega.Expect(pushed).To(gomega.BeNumerically(">", 20))
		gomega.Eventually(func() []string {
			sums := map[string]bool{}
			for _, s := range lab.Sites() {
				st := s.Node().Status()
				sums[fmt.Sprint(st.Version, st.Checksum)] = true
			}
			var list []string
			for s := range sums {
				list = append(list, s)
			}
			return list
		}, "15s", "50ms").Should(gomega.HaveLen(1))
		h.check()
	})

	it("is in force everywhere in time with a killed acceptor, a cut store and nodes that restart", func() {
		lab := newLab()
		sites := grow(lab, 4, lending, "z1", "z2", "z3")
		push(lab, numbered(0))
		for round := 1; round <= 4; round++ {
			version := highest(lab) + 1
			start := time.Now()
			gomega.Expect(lab.Push(numbered(round))).To(gomega.Succeed())
			switch round {
			case 1:
				lab.CutStore("z2")
			case 2:
				for _, s := range sites {
					if s.Node().Status().IsWatcher && s.Zone() == "z1" {
						lab.Kill(s)
					}
				}
			case 3:
				for _, s := range sites[4:8] {
					if s.Running() {
						lab.Kill(s)
						gomega.Expect(lab.Restart(s)).To(gomega.Succeed())
					}
				}
			}
			gomega.Expect(lab.Until(2*inForceLimit, func() bool { return lab.InForce(version) })).To(gomega.BeTrue())
			took := time.Since(start)
			ginkgo.GinkgoWriter.Printf("round %d: in force everywhere after %s\n", round, took)
			gomega.Expect(took).To(gomega.BeNumerically("<", inForceLimit), "round %d", round)
		}
	})

	it("goes on without the store and needs no storm of calls when it returns", func() {
		lab := newLab()
		sites := grow(lab, 3, lending, "z1", "z2")
		push(lab, numbered(0))
		lab.Store().Fail(gtstand.StoreFaults{Down: true})
		late, err := lab.Add(gtlab.Spec{Zone: "z1", Service: "lending", Version: "1", Work: time.Millisecond})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(lab.Until(5*time.Second, func() bool { return late.Running() && late.Node().Status().Version == 1 })).To(gomega.BeTrue(), "a node starts from its peers alone")
		load := &gtlab.Load{Method: "GET", Path: "/lending/x", Rate: 200, Edges: edges(append(sites, late))}
		before := lab.Store().Counts()
		results := during(load, func() { pause(4 * time.Second) })
		gomega.Expect(tally(results)).To(gomega.HaveLen(1), "%v", tally(results))
		mid := lab.Store().Counts()
		calls := mid.Reads + mid.Writes + mid.Watches + mid.Leases - before.Reads - before.Writes - before.Watches - before.Leases
		ginkgo.GinkgoWriter.Printf("calls to the store in 4 s while it was down: %d\n", calls)
		gomega.Expect(calls).To(gomega.BeNumerically("<", 4*2*2*8), "a few calls a second for each watching node")
		lab.Store().Fail(gtstand.StoreFaults{})
		pause(time.Second)
		after := lab.Store().Counts()
		gomega.Expect(after.Reads + after.Writes - mid.Reads - mid.Writes).To(gomega.BeNumerically("<", 4*10))
		push(lab, numbered(1))
	})

	it("reaches a zone that is cut off from the store, and a zone cut from all serves what it has", func() {
		lab := newLab()
		sites := grow(lab, 2, lending, "z1", "z2", "z3")
		push(lab, numbered(0))
		lab.CutStore("z3")
		push(lab, numbered(1))
		lab.Cut("z3")
		version := highest(lab) + 1
		gomega.Expect(lab.Push(numbered(2))).To(gomega.Succeed())
		gomega.Expect(lab.Until(inForceLimit, func() bool { return sites[0].Node().Status().Version == version })).To(gomega.BeTrue())
		var inside []*gtlab.Site
		for _, s := range sites {
			if s.Zone() == "z3" {
				inside = append(inside, s)
				gomega.Expect(s.Node().Status().Version).To(gomega.Equal(version - 1))
			}
		}
		pause(5 * time.Second) // the two sides declare each other gone
		load := &gtlab.Load{Method: "GET", Path: "/lending/x", Rate: 100, Edges: edges(inside)}
		results := during(load, func() { pause(time.Second) })
		gomega.Expect(tally(results)).To(gomega.Equal(map[string]int{"ok": len(results)}))
		lab.Heal("z3")
		gomega.Expect(lab.Until(40*time.Second, func() bool { return lab.InForce(version) && lab.Know(6) })).To(gomega.BeTrue(), "the sides merge")
	})
})
