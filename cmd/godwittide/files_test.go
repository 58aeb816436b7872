package main

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

func TestDiffIsInOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	old := map[string]string{"a": "1", "b": "1", "c": "1", "d": "1"}
	files := map[string]string{"a": "1", "c": "2", "b": "2", "f": "1", "e": "1"}
	for range 20 {
		g.Expect(newFolderDiff(old, files).lines()).To(gomega.Equal([]string{
			"added    e", "added    f", "changed  b", "changed  c", "removed  d",
		}))
	}
}

func TestManyNamesAreCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprintf("%02d.toml", i))
	}
	g.Expect(listNames(names[:2], false)).To(gomega.Equal("00.toml, 01.toml"))
	g.Expect(listNames(names, false)).To(gomega.HavePrefix("100 files: 00.toml, "))
	g.Expect(listNames(names, false)).To(gomega.HaveSuffix("07.toml and 92 more (--all lists them)"))
	g.Expect(listNames(names, true)).To(gomega.HaveSuffix("98.toml, 99.toml"))
}
