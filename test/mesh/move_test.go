package mesh

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"godwittide/io/process/gtlab"
	"godwittide/io/process/gtnode"
	"godwittide/io/process/gtstand"
)

// afterVerdict is the time after a version was taken back from which it must
// get no request.
const afterVerdict = time.Second

func moveFile(name, from, to string, by time.Duration, watch string) map[string]string {
	return map[string]string{"10-base.toml": base, "20-move.toml": fmt.Sprintf(
		"[move.%s]\nservice = \"lending\"\nfrom = %q\nto = %q\nby = %s\nwatch = %q\n",
		name, from, to, time.Now().Add(by).UTC().Format(time.RFC3339), watch)}
}

func moveOf(s *gtlab.Site, name string) gtnode.MoveStatus {
	for _, m := range s.Node().Status().Moves {
		if m.Name == name {
			return m
		}
	}
	return gtnode.MoveStatus{}
}

// versions starts the old and the new version side by side in three zones.
func versions(lab *gtlab.Lab) (old, fresh []*gtlab.Site) {
	spec := lending
	old = grow(lab, 1, spec, "z1", "z2", "z3")
	spec.Version = "2"
	fresh = grow(lab, 1, spec, "z1", "z2", "z3")
	push(lab, map[string]string{"10-base.toml": base})
	return old, fresh
}

func posts(sites []*gtlab.Site) *gtlab.Load {
	return &gtlab.Load{Method: "POST", Path: "/lending/holds", Rate: 150, Keys: true, Edges: edges(sites)}
}

var _ = ginkgo.Describe("a move", func() {
	it("of a good version ends in time though its driver is killed and the store is out for a while", func() {
		lab := newLab()
		old, fresh := versions(lab)
		all := append(append([]*gtlab.Site{}, old...), fresh...)
		during(posts(old[:1]), func() {
			push(lab, moveFile("m", "1", "2", 28*time.Second, "1s"))
			gomega.Expect(lab.Until(8*time.Second, func() bool { return moveOf(old[0], "m").Share > 0 })).To(gomega.BeTrue())
			ginkgo.By("killing the driver")
			driver := all[0]
			for _, s := range all[1:] {
				if s.Node().DriverRank("m") == 0 {
					driver = s
				}
			}
			lab.Kill(driver)
			pause(time.Second)
			lab.Store().Fail(gtstand.StoreFaults{Down: true})
			pause(4 * time.Second)
			lab.Store().Fail(gtstand.StoreFaults{})
			watcher := old[0]
			if driver == watcher {
				watcher = old[1]
			}
			gomega.Expect(lab.Until(35*time.Second, func() bool { return moveOf(watcher, "m").Phase == "done" })).To(gomega.BeTrue(), "%+v", moveOf(watcher, "m"))
			gomega.Expect(moveOf(watcher, "m").Late).To(gomega.BeFalse())
		})
	})

	it("of a bad version is taken back, early, later, by slowness, and after the end, and gets no more", func() {
		for _, f := range []gtstand.BackendFaults{{Fail: 0.5}, {Slow: 20}} {
			lab := newLab()
			old, fresh := versions(lab)
			load := posts(old)
			during(load, func() {
				pause(2 * time.Second)
				push(lab, moveFile("m", "1", "2", 20*time.Second, "60s"))
				gomega.Expect(lab.Until(8*time.Second, func() bool { return moveOf(old[0], "m").Share > 0 })).To(gomega.BeTrue())
				if f.Slow > 0 {
					ginkgo.By("letting the move end first")
					gomega.Expect(lab.Until(30*time.Second, func() bool { return moveOf(old[0], "m").Phase == "watching" })).To(gomega.BeTrue())
				}
				start := time.Now()
				for _, s := range fresh {
					s.Backend().Fail(f)
				}
				gomega.Expect(lab.Until(10*time.Second, func() bool { return moveOf(old[0], "m").Phase == "taken back" })).To(gomega.BeTrue(), "%+v", moveOf(old[0], "m"))
				over := time.Now()
				ginkgo.GinkgoWriter.Printf("%+v: taken back after %s: %s\n", f, over.Sub(start), moveOf(old[0], "m").Reason)
				pause(afterVerdict + time.Second)
				for _, s := range fresh {
					gomega.Expect(startedAfter(s, over.Add(afterVerdict))).To(gomega.BeZero())
				}
			})
		}
	})

	it("may be lowered but not raised by a zone that is cut off", func() {
		lab := newLab()
		old, fresh := versions(lab)
		during(posts(old), func() {
			pause(time.Second)
			push(lab, moveFile("m", "1", "2", 60*time.Second, "60s"))
			gomega.Expect(lab.Until(8*time.Second, func() bool { return moveOf(old[2], "m").Share > 0 })).To(gomega.BeTrue())
			lab.CutStore("z3")
			lab.Cut("z3")
			share := moveOf(old[2], "m").Share
			pause(3 * time.Second)
			gomega.Expect(moveOf(old[2], "m").Share).To(gomega.Equal(share))
			for _, s := range fresh {
				s.Backend().Fail(gtstand.BackendFaults{Fail: 1})
			}
			gomega.Expect(lab.Until(20*time.Second, func() bool { return moveOf(old[2], "m").Share == 0 })).To(gomega.BeTrue(), "lowered by the zone itself")
			lab.Heal("z3")
			gomega.Expect(lab.Until(30*time.Second, func() bool {
				return moveOf(old[0], "m").Phase == "taken back" && moveOf(old[2], "m").Phase == "taken back"
			})).To(gomega.BeTrue())
		})
	})

	it("follows its operators when they reverse it or remove its file", func() {
		lab := newLab()
		old, fresh := versions(lab)
		during(posts(old), func() {
			push(lab, moveFile("m", "1", "2", 20*time.Second, "60s"))
			gomega.Expect(lab.Until(25*time.Second, func() bool { return moveOf(old[0], "m").Share >= 0.25 })).To(gomega.BeTrue())
			push(lab, moveFile("back", "2", "1", 20*time.Second, "1s"))
			gomega.Expect(lab.Until(8*time.Second, func() bool { return moveOf(old[0], "back").Share > 0 })).To(gomega.BeTrue())
			gomega.Expect(moveOf(old[0], "back").Share).To(gomega.BeNumerically(">=", 0.5), "the share of version 1 is kept")
			push(lab, map[string]string{"10-base.toml": base})
			over := time.Now()
			pause(time.Second)
			for _, s := range fresh {
				gomega.Expect(startedAfter(s, over.Add(500*time.Millisecond))).To(gomega.BeZero(), "the service's own version holds")
			}
		})
	})
})
