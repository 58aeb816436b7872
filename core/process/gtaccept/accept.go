// Package gtaccept decides what a watching node does about the configuration
// in the platform's store: accept a new push, refuse it, load a newer version,
// or put back what the store has lost.
//
// # Usage
//
//	switch gtaccept.Decide(view, holder.Current().Set()) {
//	case gtaccept.Accept: ...
//	}
//
// The decision depends only on what was read and on the version in force
// here. Whoever acts on it writes with compare-and-swap against what was
// read, so two acceptors, a paused one or none are all safe.
package gtaccept

import (
	"time"

	"godwittide/core/version/gtdelta"
)

// Action is what to do next.
type Action int

// The actions.
const (
	// Nothing means that the store and this node agree.
	Nothing Action = iota
	// Load means that the store has a newer version than this node.
	Load
	// Accept means that a push waits to be merged, checked and accepted.
	Accept
	// Restore means that the store has lost a version that was in force: the
	// version, its files and its push are written back.
	Restore
	// Renumber means that the store holds other files under the version that
	// is in force here: they are accepted again under the next number.
	Renumber
)

// Head is the latest push of the operators.
type Head struct {
	seq    int64
	id     string
	author string
	files  []string
}

// NewHead returns the head of the folder after a push. The id is the push's
// own write id, by which a writer that lost the answer finds its push again.
func NewHead(seq int64, id, author string, files []string) Head {
	return Head{seq: seq, id: id, author: author, files: files}
}

// Seq returns the sequence number of the push, which only grows.
func (h Head) Seq() int64 { return h.seq }

// ID returns the push's write id.
func (h Head) ID() string { return h.id }

// Author returns who pushed.
func (h Head) Author() string { return h.author }

// Files returns the names of the files that the push changed or removed.
func (h Head) Files() []string { return h.files }

// Record is the accepted version as it stands in the store.
type Record struct {
	version    int64
	push       int64
	sum        string
	writer     string
	checkpoint string
	chunks     int
	from       int64
}

// NewRecord returns the record of an accepted version. The checkpoint is the
// key prefix of a full snapshot of version from, cut into the given number of
// chunks; deltas lead from there to version.
func NewRecord(version, push int64, sum, writer, checkpoint string, chunks int, from int64) Record {
	return Record{version: version, push: push, sum: sum, writer: writer, checkpoint: checkpoint, chunks: chunks, from: from}
}

// Version returns the accepted version; 0 means none yet.
func (r Record) Version() int64 { return r.version }

// Push returns the sequence number of the accepted push.
func (r Record) Push() int64 { return r.push }

// Sum returns the checksum of the version's files.
func (r Record) Sum() string { return r.sum }

// Writer returns the write id of whoever wrote the record.
func (r Record) Writer() string { return r.writer }

// Checkpoint returns the key prefix of the full snapshot to start from.
func (r Record) Checkpoint() string { return r.checkpoint }

// Chunks returns the number of chunks of the snapshot.
func (r Record) Chunks() int { return r.chunks }

// From returns the version of the snapshot.
func (r Record) From() int64 { return r.from }

// CheckpointEvery is the number of versions after which a new full snapshot
// is written, so that a reader never applies more deltas than that.
const CheckpointEvery = 32

// NeedsCheckpoint says whether the version after r starts with a new snapshot.
func (r Record) NeedsCheckpoint() bool {
	return r.chunks == 0 || r.version+1-r.from >= CheckpointEvery
}

// View is what was read from the store in one go.
type View struct {
	head    Head
	record  Record
	decided int64
}

// NewView returns a view. Decided is the sequence number of the last push
// that was accepted or refused.
func NewView(head Head, record Record, decided int64) View {
	return View{head: head, record: record, decided: decided}
}

// Head returns the latest push.
func (v View) Head() Head { return v.head }

// Record returns the accepted version.
func (v View) Record() Record { return v.record }

// Decided returns the last push that was accepted or refused.
func (v View) Decided() int64 { return v.decided }

// Decide returns what a node with the given version in force should do.
func Decide(v View, own gtdelta.Set) Action {
	switch {
	case v.record.version < own.Version():
		return Restore
	case v.record.version > own.Version():
		return Load
	case own.Version() > 0 && v.record.sum != own.Sum():
		return Renumber
	case v.head.seq > max(v.record.push, v.decided):
		return Accept
	case v.head.seq < v.record.push:
		return Restore
	default:
		return Nothing
	}
}

// RankDelay is how much longer each next ranked acceptor waits before it acts,
// so that normally one of them does the work.
const RankDelay = 300 * time.Millisecond

// Delay returns how long the acceptor with the given rank (0 is first) waits.
// Waiting saves work; safety does not depend on it.
func Delay(rank int) time.Duration { return time.Duration(rank) * RankDelay }
