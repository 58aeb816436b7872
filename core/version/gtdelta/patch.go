package gtdelta

import (
	"strings"

	"github.com/joomcode/errorx"
)

// maxPatchedBytes bounds the size of a file that a patch produces.
const maxPatchedBytes = 4 << 20

// Edit is a part of a changed file: the bytes from, up to but not including to, of the
// base's file, followed by new text.
type Edit struct {
	from, to int
	text     string
}

// NewEdit returns an edit that keeps the bytes from, up to but not including to, of the
// base's file, and adds text after them.
func NewEdit(from, to int, text string) Edit { return Edit{from: from, to: to, text: text} }

// From returns the offset in bytes of the first byte that is kept.
func (e Edit) From() int { return e.from }

// To returns the offset in bytes after the last byte that is kept.
func (e Edit) To() int { return e.to }

// Text returns the text that follows the bytes that are kept.
func (e Edit) Text() string { return e.text }

// Patch makes a file from the file of the same name in the base: the parts that its
// edits yield, in order.
type Patch []Edit

// newPatch returns a patch from old to next. Both are cut into segments, each of which
// is looked up in old, so that the cost grows with the size of the texts alone.
func newPatch(old, next string) Patch {
	offsets := map[string]int{}
	offset := 0
	for rest := old; rest != ""; {
		var s string
		s, rest = cutSegment(rest)
		if _, ok := offsets[s]; !ok {
			offsets[s] = offset
		}
		offset += len(s)
	}
	p := Patch{{}}
	var text strings.Builder
	for rest := next; rest != ""; {
		var s string
		s, rest = cutSegment(rest)
		last := &p[len(p)-1]
		if text.Len() == 0 && strings.HasPrefix(old[last.to:], s) {
			last.to += len(s)
			continue
		}
		at, ok := offsets[s]
		if !ok {
			text.WriteString(s)
			continue
		}
		last.text = text.String()
		text.Reset()
		p = append(p, Edit{from: at, to: at + len(s)})
	}
	p[len(p)-1].text = text.String()
	return p
}

// cutSegment returns the first segment of a text, up to the end of a line or of a
// JSON object, and the rest.
func cutSegment(text string) (segment, rest string) {
	if i := strings.IndexAny(text, "}\n"); i >= 0 {
		return text[:i+1], text[i+1:]
	}
	return text, ""
}

// editBytes is about the size of an encoded edit without its text.
const editBytes = 24

// size returns about the number of bytes of the encoded patch.
func (p Patch) size() int {
	n := editBytes * len(p)
	for _, e := range p {
		n += len(e.text)
	}
	return n
}

// apply returns the file that the patch makes from old. It returns an error if an edit
// lies outside old, or the file is larger than maxPatchedBytes.
func (p Patch) apply(old string) (string, error) {
	var b strings.Builder
	for _, e := range p {
		if e.from < 0 || e.to < e.from || e.to > len(old) {
			return "", errorx.IllegalFormat.New("patch keeps bytes %d to %d of a file of %d bytes", e.from, e.to, len(old))
		}
		if b.Len()+e.to-e.from+len(e.text) > maxPatchedBytes {
			return "", errorx.IllegalFormat.New("patch produces a file of more than %d bytes", maxPatchedBytes)
		}
		b.WriteString(old[e.from:e.to])
		b.WriteString(e.text)
	}
	return b.String(), nil
}
