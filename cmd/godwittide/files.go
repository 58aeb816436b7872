package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"godwittide/core/version/gtdelta"
)

// maxListedNames is the number of names that a line of output lists.
const maxListedNames = 8

// listNames returns the names in one line. If there are more than maxListedNames
// and all is not set, it returns their number and the first of them.
func listNames(names []string, all bool) string {
	if all || len(names) <= maxListedNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%d files: %s and %d more (--all lists them)", len(names), strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
}

// folderDiff holds the names of the files that a push would add, change and
// remove, each list in order.
type folderDiff struct {
	Added   []string `json:"added"`
	Changed []string `json:"changed"`
	Removed []string `json:"removed"`
}

// newFolderDiff compares the files in the store with those of a folder.
func newFolderDiff(old, files map[string]string) folderDiff {
	texts, removed := gtdelta.Changes(old, files)
	d := folderDiff{Added: []string{}, Changed: []string{}, Removed: append([]string{}, removed...)}
	for _, name := range slices.Sorted(maps.Keys(texts)) {
		if _, ok := old[name]; ok {
			d.Changed = append(d.Changed, name)
		} else {
			d.Added = append(d.Added, name)
		}
	}
	return d
}

// lines returns a line for each file: the added ones, then the changed ones, then
// the removed ones.
func (d folderDiff) lines() []string {
	var out []string
	for _, part := range []struct {
		change string
		names  []string
	}{{"added", d.Added}, {"changed", d.Changed}, {"removed", d.Removed}} {
		for _, name := range part.names {
			out = append(out, fmt.Sprintf("%-8s %s", part.change, name))
		}
	}
	return out
}
