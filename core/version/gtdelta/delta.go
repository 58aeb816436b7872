// Package gtdelta holds the versions of the configuration as they travel: the
// whole set of files of one version, and the change from one version to the
// next.
//
// # Usage
//
//	delta := gtdelta.Diff(old, next)
//	set, err := delta.Apply(old)   // fails unless old is the exact base
//	if holder.Offer(set, cfg) { ... }
//
// A version is a number that only grows. A delta names its base by version
// and checksum, so it can't be applied to anything else.
package gtdelta

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"

	"github.com/joomcode/errorx"
)

// Set is the files of one version. It is never changed once made.
type Set struct {
	version int64
	push    int64
	files   map[string]string
	sum     string
}

// NewSet returns the set of the given files, by name, as the given version,
// accepted from the operators' push with the given sequence number.
func NewSet(version, push int64, files map[string]string) Set {
	files = maps.Clone(files)
	if files == nil {
		files = map[string]string{}
	}
	return Set{version: version, push: push, files: files, sum: checksum(files)}
}

func checksum(files map[string]string) string {
	h := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(files)) {
		_, _ = h.Write([]byte(strconv.Quote(name) + strconv.Quote(files[name])))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Version returns the number of the version; 0 means that there is none yet.
func (s Set) Version() int64 { return s.version }

// Push returns the sequence number of the push that was accepted.
func (s Set) Push() int64 { return s.push }

// Sum returns a checksum of the names and texts of the files, in hex.
func (s Set) Sum() string { return s.sum }

// Names returns the names of the files in order.
func (s Set) Names() []string { return slices.Sorted(maps.Keys(s.files)) }

// Files returns a copy of the files by name.
func (s Set) Files() map[string]string { return maps.Clone(s.files) }

// Bytes returns the total size of names and texts.
func (s Set) Bytes() int {
	n := 0
	for name, text := range s.files {
		n += len(name) + len(text)
	}
	return n
}

// Delta is the change from one version to a later one.
type Delta struct {
	base    int64
	baseSum string
	version int64
	push    int64
	sum     string
	set     map[string]string
	removed []string
}

// NewDelta returns a delta as decoded from a message.
func NewDelta(base int64, baseSum string, version, push int64, sum string, set map[string]string, removed []string) Delta {
	return Delta{base: base, baseSum: baseSum, version: version, push: push, sum: sum, set: set, removed: removed}
}

// Base returns the version that the delta applies to.
func (d Delta) Base() int64 { return d.base }

// BaseSum returns the checksum of the base.
func (d Delta) BaseSum() string { return d.baseSum }

// Version returns the version that the delta leads to.
func (d Delta) Version() int64 { return d.version }

// Push returns the sequence number of the push that was accepted.
func (d Delta) Push() int64 { return d.push }

// Sum returns the checksum of the result.
func (d Delta) Sum() string { return d.sum }

// Set returns the files that are new or changed. The map is shared.
func (d Delta) Set() map[string]string { return d.set }

// Removed returns the names of the files that are no longer there.
func (d Delta) Removed() []string { return d.removed }

// Diff returns the delta that leads from old to next.
func Diff(old, next Set) Delta {
	set, removed := Changes(old.files, next.files)
	return Delta{base: old.version, baseSum: old.sum, version: next.version, push: next.push, sum: next.sum, set: set, removed: removed}
}

// Changes returns the files that are new or changed in next, and the names
// that next no longer holds.
func Changes(old, next map[string]string) (set map[string]string, removed []string) {
	set = map[string]string{}
	for name, text := range next {
		if was, ok := old[name]; !ok || was != text {
			set[name] = text
		}
	}
	for name := range old {
		if _, ok := next[name]; !ok {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return set, removed
}

// Apply returns the version that the delta leads to. It fails, without a
// partial result, when s is not the exact base, or when the result's checksum
// is not the one that the delta names.
func (d Delta) Apply(s Set) (Set, error) {
	if s.version != d.base || s.sum != d.baseSum {
		return Set{}, errorx.IllegalState.New("delta to version %d needs base %d, have %d", d.version, d.base, s.version)
	}
	if d.version <= d.base {
		return Set{}, errorx.IllegalArgument.New("delta from version %d leads back to %d", d.base, d.version)
	}
	files := maps.Clone(s.files)
	maps.Copy(files, d.set)
	for _, name := range d.removed {
		delete(files, name)
	}
	next := NewSet(d.version, d.push, files)
	if next.sum != d.sum {
		return Set{}, errorx.IllegalState.New("delta to version %d has checksum %s, result has %s", d.version, d.sum, next.sum)
	}
	return next, nil
}
