package gtdelta

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"godwittide/core/version/gtconfig"
)

func drawFiles(t *rapid.T) map[string]string {
	return rapid.MapOfN(rapid.StringMatching(`[a-d]\.toml`), rapid.StringMatching(`[xy]{0,3}`), 0, 4).Draw(t, "files")
}

// A delta applies to its exact base and gives the exact result, or nothing.
func TestDeltaAppliesToItsBaseOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets := []Set{NewSet(0, 0, nil)}
		for v := range rapid.IntRange(1, 6).Draw(t, "versions") {
			sets = append(sets, NewSet(int64(v+1), int64(v+1), drawFiles(t)))
		}
		i := rapid.IntRange(0, len(sets)-2).Draw(t, "from")
		d := Diff(sets[i], sets[i+1])
		for j, s := range sets {
			got, err := d.Apply(s)
			if (err == nil) != (j == i) {
				t.Fatalf("delta %d to %d on version %d: %v", i, i+1, j, err)
			}
			if err == nil && (got.Sum() != sets[i+1].Sum() || got.Version() != sets[i+1].Version() || got.Push() != sets[i+1].Push()) {
				t.Fatalf("delta gave %+v, expected %+v", got, sets[i+1])
			}
		}
		forged := NewDelta(d.base, d.baseSum, d.version, d.push, d.sum, map[string]string{"z.toml": "forged"}, d.removed)
		if _, err := forged.Apply(sets[i]); err == nil {
			t.Fatal("a delta with another content than its checksum was applied")
		}
	})
}

// Many threads offer versions in any order; whoever looks must never see the
// version go down, and the last must be the highest.
func TestHolderOnlyMovesUp(t *testing.T) {
	g := gomega.NewWithT(t)
	h := &Holder{Now: time.Now}
	var wg sync.WaitGroup
	seen := make([][]int64, 4)
	for k := range seen {
		wg.Go(func() {
			for range 2000 {
				seen[k] = append(seen[k], h.Current().Set().Version())
			}
		})
	}
	for k := range 4 {
		wg.Go(func() {
			for v := range 200 {
				version := int64((v*7+k*31)%200 + 1)
				h.Offer(NewSet(version, version, map[string]string{"a.toml": fmt.Sprint(version)}), gtconfig.Empty())
			}
		})
	}
	wg.Wait()
	for _, list := range seen {
		for i := 1; i < len(list); i++ {
			g.Expect(list[i]).To(gomega.BeNumerically(">=", list[i-1]))
		}
	}
	g.Expect(h.Current().Set().Version()).To(gomega.Equal(int64(200)))
}

func TestSinceLeadsToTheVersionInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	h := &Holder{Now: time.Now}
	first := NewSet(1, 1, map[string]string{"a.toml": "1"})
	h.Offer(first, gtconfig.Empty())
	for v := int64(2); v <= 10; v++ {
		h.Offer(NewSet(v, v, map[string]string{"a.toml": fmt.Sprint(v)}), gtconfig.Empty())
	}
	deltas, ok := h.Since(1, first.Sum())
	g.Expect(ok).To(gomega.BeTrue())
	set := first
	for _, d := range deltas {
		var err error
		set, err = d.Apply(set)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(set.Sum()).To(gomega.Equal(h.Current().Set().Sum()))
	_, ok = h.Since(1, "another sum")
	g.Expect(ok).To(gomega.BeFalse(), "the same number with other files needs a whole set")
	for v := int64(11); v <= 10+LogLength; v++ {
		h.Offer(NewSet(v, v, map[string]string{"a.toml": fmt.Sprint(v)}), gtconfig.Empty())
	}
	_, ok = h.Since(1, first.Sum())
	g.Expect(ok).To(gomega.BeFalse(), "the log is bounded")
}
