package gtdelta

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// A patch yields exactly the new text, whatever was moved, repeated, added or left
// out.
func TestPatchYieldsTheNewText(t *testing.T) {
	line := rapid.SampledFrom([]string{"", "a", "b\n", "{}", "{x}", "}\n", "c}d", "\n\n", "long line without an end"})
	text := rapid.Custom(func(t *rapid.T) string { return strings.Join(rapid.SliceOfN(line, 0, 12).Draw(t, "lines"), "") })
	rapid.Check(t, func(t *rapid.T) {
		old, next := text.Draw(t, "old"), text.Draw(t, "next")
		got, err := newPatch(old, next).apply(old)
		if err != nil || got != next {
			t.Fatalf("patch of %q to %q yields %q, %v", old, next, got, err)
		}
	})
}

// routesText returns a configuration of n routes in one line, as operators write it.
func routesText(n int, version string, changed map[int]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%q,"routes":[`, version)
	for i := range n {
		service := "catalogue"
		if s, ok := changed[i]; ok {
			service = s
		}
		fmt.Fprintf(&b, `{"name":"r%d","host":"a.example","prefix":"/p%d/","timeout":"1200ms","service":%q},`, i, i, service)
	}
	return b.String() + "]}"
}

// A change of one route in a large file must cost each node what the change is worth,
// not the file: a fleet is told of tens of thousands of changes a day.
func TestSmallChangeOfALargeFileIsSmall(t *testing.T) {
	g := gomega.NewWithT(t)
	old := NewSnapshot(1, 1, map[string]string{"op": routesText(2000, "r1", nil), "other": "x\n"})
	next := NewSnapshot(2, 2, map[string]string{"op": routesText(2000, "r2", map[int]string{700: "lending", 1500: "lending"}), "other": "x\n", "new": "y\n"})
	d := Diff(old, next)
	g.Expect(d.Changed()).To(gomega.Equal(map[string]string{"new": "y\n"}))
	g.Expect(d.Patches()).To(gomega.HaveKey("op"))
	g.Expect(d.Patches()["op"].size()).To(gomega.BeNumerically("<", 600))
	got, err := d.Apply(old)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.Files()).To(gomega.Equal(next.Files()))
	_, err = d.Apply(next)
	g.Expect(err).To(gomega.HaveOccurred(), "another base")
}

func TestMalformedPatchIsRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	old := "0123456789"
	for _, e := range []Edit{NewEdit(-1, 2, ""), NewEdit(3, 2, ""), NewEdit(0, 11, ""), NewEdit(11, 12, "")} {
		_, err := Patch{e}.apply(old)
		g.Expect(err).To(gomega.HaveOccurred(), "%+v", e)
	}
	large := Patch{}
	for range 3 {
		large = append(large, NewEdit(0, 10, strings.Repeat("x", maxPatchedBytes/3)))
	}
	_, err := large.apply(old)
	g.Expect(err).To(gomega.HaveOccurred(), "too large")
	snapshot := NewSnapshot(1, 1, map[string]string{"a": old})
	d := NewDelta(1, snapshot.Checksum(), 2, 2, "x", nil, nil).WithPatches(map[string]Patch{"missing": {NewEdit(0, 1, "")}})
	_, err = d.Apply(snapshot)
	g.Expect(err).To(gomega.HaveOccurred(), "the base has no such file")
}

func FuzzPatch(f *testing.F) {
	f.Add("a}b\n", "b\na}", 0, 3, "x")
	f.Add("", "\n", -1, 1<<40, "")
	f.Fuzz(func(t *testing.T, old, next string, from, to int, text string) {
		if len(old)+len(next) > 1<<16 {
			return
		}
		if got, err := newPatch(old, next).apply(old); err != nil || got != next {
			t.Fatalf("%q %v", got, err)
		}
		_, _ = Patch{NewEdit(from, to, text)}.apply(old)
	})
}
