// Package gtera orders the revisions of a store that may come back from an older copy of its
// data and then gives revisions out again. Each such return begins a new era of the store.
// A number holds an era and a revision, and numbers compare by era first and revision second.
//
// # Usage
//
//	n, err := gtera.Join(era, revision)
//	if n > active { ... }
//	revision := gtera.Revision(n)
//
// Versions of the configuration, leases and fencing tokens are such numbers, so that none is
// ever given out twice. In era 0 a number is the revision itself.
package gtera

import "github.com/joomcode/errorx"

// revisionBits is the number of bits of a number that hold the revision.
const revisionBits = 44

const (
	// MaxRevision is the highest revision that a number can hold.
	MaxRevision = 1<<revisionBits - 1
	// MaxEra is the highest era that a number can hold.
	MaxEra = 1<<(63-revisionBits) - 1
)

// Join returns the number of a revision in an era. Revision 0, which stands for none, has the
// number 0 in each era. It fails if the era or the revision is out of range.
func Join(era, revision int64) (int64, error) {
	if era < 0 || era > MaxEra || revision < 0 || revision > MaxRevision {
		return 0, errorx.IllegalFormat.New("era %d, revision %d: out of range", era, revision)
	}
	if revision == 0 {
		return 0, nil
	}
	return era<<revisionBits | revision, nil
}

// Era returns the era of a number.
func Era(number int64) int64 { return number >> revisionBits }

// Revision returns the revision of a number.
func Revision(number int64) int64 { return number & MaxRevision }
