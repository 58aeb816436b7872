package gtdelta

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
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

// A delta applies only to its exact base and produces exactly the later version.
// One whose files don't match its checksum is rejected.
func TestDeltaAppliesOnlyToItsBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshots := []Snapshot{NewSnapshot(0, 0, nil)}
		for v := range rapid.IntRange(1, 6).Draw(t, "versions") {
			snapshots = append(snapshots, NewSnapshot(int64(v+1), int64(v+1), drawFiles(t)))
		}
		i := rapid.IntRange(0, len(snapshots)-2).Draw(t, "from")
		d := Diff(snapshots[i], snapshots[i+1])
		for j, s := range snapshots {
			got, err := d.Apply(s)
			if (err == nil) != (j == i) {
				t.Fatalf("delta from %d to %d applied to version %d: error %v", i, i+1, j, err)
			}
			if err == nil && (got.Checksum() != snapshots[i+1].Checksum() || got.Version() != snapshots[i+1].Version() || got.Push() != snapshots[i+1].Push()) {
				t.Fatalf("delta produced %+v, expected %+v", got, snapshots[i+1])
			}
		}
		forged := NewDelta(d.baseVersion, d.baseChecksum, d.version, d.push, d.checksum, map[string]string{"z.toml": "forged"}, d.removed)
		if _, err := forged.Apply(snapshots[i]); err == nil {
			t.Fatal("a delta whose files don't match its checksum was applied")
		}
	})
}

// The checksum goes to other nodes and into the store. It must stay that of the quoted
// text as a whole, also where a part ends within a character or in bytes that are none.
func TestChecksumIsThatOfTheWholeText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.OneOf(rapid.SliceOf(rapid.Byte()), rapid.SliceOf(rapid.SampledFrom([]byte{0x80, 0xbf, 0xe4, 0xf0, 'a', '"', 0})), rapid.Map(rapid.String(), func(s string) []byte { return []byte(s) }))
		before := strings.Repeat("x", rapid.IntRange(0, 2).Draw(t, "parts")*quotedPart+rapid.IntRange(0, 8).Draw(t, "more"))
		var text strings.Builder
		text.WriteString(before)
		for text.Len() < len(before)+quotedPart+100 {
			_, _ = text.Write(append(piece.Draw(t, "piece"), "日本𝄞 \"\x00"...))
		}
		files := map[string]string{"b": text.String(), "a": "", "\xff\"": "z"}
		h := sha256.New()
		for _, name := range slices.Sorted(maps.Keys(files)) {
			_, _ = h.Write([]byte(strconv.Quote(name) + strconv.Quote(files[name])))
		}
		if want := hex.EncodeToString(h.Sum(nil)[:16]); checksum(files) != want {
			t.Fatalf("checksum %s, expected %s", checksum(files), want)
		}
	})
}

// Several goroutines offer versions in different orders. Concurrent readers must
// never see the version number decrease, and the highest must be active at the
// end.
func TestHolderVersionNeverDecreases(t *testing.T) {
	g := gomega.NewWithT(t)
	h := &Holder{Now: time.Now}
	var wg sync.WaitGroup
	seen := make([][]int64, 4)
	for k := range seen {
		wg.Go(func() {
			for range 2000 {
				seen[k] = append(seen[k], h.Current().Snapshot().Version())
			}
		})
	}
	for k := range 4 {
		wg.Go(func() {
			for v := range 200 {
				version := int64((v*7+k*31)%200 + 1)
				h.Offer(NewSnapshot(version, version, map[string]string{"a.toml": fmt.Sprint(version)}), gtconfig.Empty())
			}
		})
	}
	wg.Wait()
	for _, versions := range seen {
		for i := 1; i < len(versions); i++ {
			g.Expect(versions[i]).To(gomega.BeNumerically(">=", versions[i-1]))
		}
	}
	g.Expect(h.Current().Snapshot().Version()).To(gomega.Equal(int64(200)))
}

func TestDeltasSinceLeadToActiveVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	h := &Holder{Now: time.Now}
	first := NewSnapshot(1, 1, map[string]string{"a.toml": "1"})
	h.Offer(first, gtconfig.Empty())
	for v := int64(2); v <= 10; v++ {
		h.Offer(NewSnapshot(v, v, map[string]string{"a.toml": fmt.Sprint(v)}), gtconfig.Empty())
	}
	deltas, ok := h.DeltasSince(1, first.Checksum())
	g.Expect(ok).To(gomega.BeTrue())
	snapshot := first
	for _, d := range deltas {
		var err error
		snapshot, err = d.Apply(snapshot)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(snapshot.Checksum()).To(gomega.Equal(h.Current().Snapshot().Checksum()))
	_, ok = h.DeltasSince(1, "another checksum")
	g.Expect(ok).To(gomega.BeFalse(), "a known version number with another checksum needs a full snapshot")
	for v := int64(11); v <= 10+DeltaLogLength; v++ {
		h.Offer(NewSnapshot(v, v, map[string]string{"a.toml": fmt.Sprint(v)}), gtconfig.Empty())
	}
	_, ok = h.DeltasSince(1, first.Checksum())
	g.Expect(ok).To(gomega.BeFalse(), "the delta log is bounded")
}
