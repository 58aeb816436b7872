// Package gtdelta holds the versions of the configuration in the form that
// nodes exchange: the snapshot of all files of a version, the delta from one
// version to a later one, and the active version of a node.
//
// # Usage
//
//	delta := gtdelta.Diff(old, next)
//	snapshot, err := delta.Apply(old) // fails unless old is the exact base
//	if holder.Offer(snapshot, cfg) { ... }
//
// Version numbers only increase. A delta identifies its base by version and
// checksum, so it can't be applied to any other files.
package gtdelta

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"maps"
	"slices"
	"strconv"
	"unicode/utf8"

	"github.com/joomcode/errorx"
)

// Snapshot holds all files of one version. It is immutable.
type Snapshot struct {
	version  int64
	push     int64
	files    map[string]string
	checksum string
}

// NewSnapshot returns a snapshot of the given files, keyed by name. The push is
// the sequence number of the operators' push from which the version was accepted.
func NewSnapshot(version, push int64, files map[string]string) Snapshot {
	files = maps.Clone(files)
	if files == nil {
		files = map[string]string{}
	}
	return Snapshot{version: version, push: push, files: files, checksum: checksum(files)}
}

// checksum returns the checksum of the names and contents of files, in
// hexadecimal.
func checksum(files map[string]string) string {
	h := sha256.New()
	var buf []byte
	for _, name := range slices.Sorted(maps.Keys(files)) {
		buf = writeQuoted(h, buf, name)
		buf = writeQuoted(h, buf, files[name])
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// quotedPart is the number of bytes that writeQuoted quotes at a time, so that a large
// file needs no quoted copy of its whole text.
const quotedPart = 4 << 10

// writeQuoted writes strconv.Quote(s) to h. It uses the memory of buf, and returns it.
func writeQuoted(h hash.Hash, buf []byte, s string) []byte {
	_, _ = h.Write([]byte{'"'})
	for s != "" {
		n := partEnd(s)
		buf = strconv.AppendQuote(buf[:0], s[:n])
		_, _ = h.Write(buf[1 : len(buf)-1])
		s = s[n:]
	}
	_, _ = h.Write([]byte{'"'})
	return buf
}

// partEnd returns the length of the first part of s, which doesn't end within a character.
func partEnd(s string) int {
	if len(s) <= quotedPart {
		return len(s)
	}
	for n := quotedPart; n > quotedPart-utf8.UTFMax; n-- {
		if utf8.RuneStart(s[n]) {
			return n
		}
	}
	return quotedPart // no character is that long
}

// Version returns the version number, or 0 before the first version.
func (s Snapshot) Version() int64 { return s.version }

// Push returns the sequence number of the push that the version was accepted
// from.
func (s Snapshot) Push() int64 { return s.push }

// Checksum returns the checksum of the names and contents of the files, in
// hexadecimal.
func (s Snapshot) Checksum() string { return s.checksum }

// Names returns the names of the files, sorted.
func (s Snapshot) Names() []string { return slices.Sorted(maps.Keys(s.files)) }

// Files returns a copy of the file contents, keyed by name.
func (s Snapshot) Files() map[string]string { return maps.Clone(s.files) }

// File returns the content of a file, or "" if there is none.
func (s Snapshot) File(name string) string { return s.files[name] }

// Bytes returns the total size of the names and contents of the files.
func (s Snapshot) Bytes() int {
	n := 0
	for name, content := range s.files {
		n += len(name) + len(content)
	}
	return n
}

// Delta is the difference between a base version and a later version.
type Delta struct {
	baseVersion  int64
	baseChecksum string
	version      int64
	push         int64
	checksum     string
	changed      map[string]string
	patches      map[string]Patch
	removed      []string
}

// NewDelta returns a delta from the fields of a decoded message. It keeps the
// map and the slice without copying them.
func NewDelta(baseVersion int64, baseChecksum string, version, push int64, checksum string, changed map[string]string, removed []string) Delta {
	return Delta{baseVersion: baseVersion, baseChecksum: baseChecksum, version: version, push: push, checksum: checksum, changed: changed, removed: removed}
}

// WithPatches returns a copy with patches of files, keyed by name. It keeps the map
// without copying it.
func (d Delta) WithPatches(patches map[string]Patch) Delta {
	d.patches = patches
	return d
}

// BaseVersion returns the version that the delta applies to.
func (d Delta) BaseVersion() int64 { return d.baseVersion }

// BaseChecksum returns the checksum of the version that the delta applies to.
func (d Delta) BaseChecksum() string { return d.baseChecksum }

// Version returns the version that the delta produces.
func (d Delta) Version() int64 { return d.version }

// Push returns the sequence number of the push that the version was accepted
// from.
func (d Delta) Push() int64 { return d.push }

// Checksum returns the checksum of the version that the delta produces.
func (d Delta) Checksum() string { return d.checksum }

// Changed returns the whole contents of the added and changed files, keyed by name. The
// map is shared and must not be changed.
func (d Delta) Changed() map[string]string { return d.changed }

// Patches returns the patches of files of which only parts have changed, keyed by name.
// The map is shared and must not be changed.
func (d Delta) Patches() map[string]Patch { return d.patches }

// Removed returns the names of the removed files, sorted if Diff made the
// delta. The slice is shared and must not be changed.
func (d Delta) Removed() []string { return d.removed }

// Diff returns the delta from old to next. A changed file is given by a patch if that is
// less than half as large.
func Diff(old, next Snapshot) Delta {
	changed, removed := Changes(old.files, next.files)
	patches := map[string]Patch{}
	for name, content := range changed {
		base, ok := old.files[name]
		if !ok {
			continue
		}
		if p := newPatch(base, content); p.size() < len(content)/2 {
			patches[name] = p
			delete(changed, name)
		}
	}
	return Delta{patches: patches, baseVersion: old.version, baseChecksum: old.checksum, version: next.version, push: next.push, checksum: next.checksum, changed: changed, removed: removed}
}

// Changes returns the files that were added or changed in next, and the sorted
// names of those that were removed.
func Changes(old, next map[string]string) (changed map[string]string, removed []string) {
	changed = map[string]string{}
	for name, content := range next {
		if oldContent, ok := old[name]; !ok || oldContent != content {
			changed[name] = content
		}
	}
	for name := range old {
		if _, ok := next[name]; !ok {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

// Apply returns the version that the delta produces. It returns an error if s
// doesn't have the version and checksum of the delta's base, if the delta's
// version isn't above its base, or if the result doesn't have the delta's checksum.
func (d Delta) Apply(s Snapshot) (Snapshot, error) {
	if s.version != d.baseVersion || s.checksum != d.baseChecksum {
		return Snapshot{}, errorx.IllegalState.New("delta to version %d needs base version %d with a matching checksum, have version %d", d.version, d.baseVersion, s.version)
	}
	if d.version <= d.baseVersion {
		return Snapshot{}, errorx.IllegalArgument.New("delta from version %d leads to version %d, which is not later", d.baseVersion, d.version)
	}
	files := maps.Clone(s.files)
	maps.Copy(files, d.changed)
	for name, p := range d.patches {
		base, ok := s.files[name]
		if !ok {
			return Snapshot{}, errorx.IllegalFormat.New("delta to version %d patches file %.60q, which its base lacks", d.version, name)
		}
		content, err := p.apply(base)
		if err != nil {
			return Snapshot{}, errorx.Decorate(err, "patch file %.60q", name)
		}
		files[name] = content
	}
	for _, name := range d.removed {
		delete(files, name)
	}
	next := NewSnapshot(d.version, d.push, files)
	if next.checksum != d.checksum {
		return Snapshot{}, errorx.IllegalState.New("delta to version %d expects checksum %s, result has %s", d.version, d.checksum, next.checksum)
	}
	return next, nil
}
