// Package gtaccept decides what a store watcher, a node that watches the store,
// does about the configuration in it: accept a new push, load a newer version, or
// write back what the store has lost.
//
// # Usage
//
//	switch gtaccept.Decide(view, holder.Current().Snapshot()) {
//	case gtaccept.Accept: ...
//	}
//
// The decision depends only on the data read from the store and on the active
// version of the node. Its effects are written by compare-and-swap against the data
// read, so that two concurrent acceptors, a paused one or none at all are safe.
package gtaccept

import (
	"time"

	"godwittide/core/version/gtdelta"
)

// Action is the next step of a store watcher.
type Action int

// The actions.
const (
	// Nothing means that the store and the node agree, so that no step is needed.
	Nothing Action = iota
	// Load means that the store holds a newer version than the active one.
	Load
	// Accept means that a push is pending: it is to be merged, validated, and
	// accepted or refused.
	Accept
	// Restore means that the store has lost the active version or its push: the
	// version, its files and its push are written back.
	Restore
	// Renumber means that the store holds different files under the number of
	// the active version: the files are accepted again under the next number.
	Renumber
)

// Head is the operators' latest push.
type Head struct {
	seq     int64
	writeID string
	author  string
	files   []string
}

// NewHead returns the head after a push. The writeID is the write id of the push:
// a writer that lost the response to its write recognizes its push by it.
func NewHead(seq int64, writeID, author string, files []string) Head {
	return Head{seq: seq, writeID: writeID, author: author, files: files}
}

// Seq returns the sequence number of the push. It only increases.
func (h Head) Seq() int64 { return h.seq }

// WriteID returns the write id of the push.
func (h Head) WriteID() string { return h.writeID }

// Author returns the author of the push.
func (h Head) Author() string { return h.author }

// Files returns the names of the files that the push changed or removed.
func (h Head) Files() []string { return h.files }

// Record describes the accepted version in the store.
type Record struct {
	version           int64
	push              int64
	checksum          string
	writeID           string
	checkpoint        string
	chunks            int
	checkpointVersion int64
}

// NewRecord returns the record of an accepted version. The checkpoint is the key
// prefix of a full snapshot of version checkpointVersion, split into the given
// number of chunks. The deltas after it lead to the accepted version.
func NewRecord(version, push int64, checksum, writeID, checkpoint string, chunks int, checkpointVersion int64) Record {
	return Record{version: version, push: push, checksum: checksum, writeID: writeID, checkpoint: checkpoint, chunks: chunks, checkpointVersion: checkpointVersion}
}

// Version returns the number of the accepted version, or 0 if there is none.
func (r Record) Version() int64 { return r.version }

// Push returns the sequence number of the accepted push.
func (r Record) Push() int64 { return r.push }

// Checksum returns the checksum of the files of the version.
func (r Record) Checksum() string { return r.checksum }

// WriteID returns the id of the write that stored the record.
func (r Record) WriteID() string { return r.writeID }

// Checkpoint returns the key prefix of the full snapshot from which the deltas start.
func (r Record) Checkpoint() string { return r.checkpoint }

// Chunks returns the number of chunks of the snapshot.
func (r Record) Chunks() int { return r.chunks }

// CheckpointVersion returns the number of the version in the snapshot.
func (r Record) CheckpointVersion() int64 { return r.checkpointVersion }

// CheckpointInterval is the number of versions after which a new full snapshot
// is written. It bounds the number of deltas that a reader applies.
const CheckpointInterval = 32

// NeedsCheckpoint reports whether a full snapshot is to be written with the version
// after r.
func (r Record) NeedsCheckpoint() bool {
	return r.chunks == 0 || r.version+1-r.checkpointVersion >= CheckpointInterval
}

// View is the state read from the store in one operation.
type View struct {
	head        Head
	record      Record
	decidedPush int64
}

// NewView returns a view. The decidedPush is the sequence number of the last push
// that was accepted or refused.
func NewView(head Head, record Record, decidedPush int64) View {
	return View{head: head, record: record, decidedPush: decidedPush}
}

// Head returns the latest push.
func (v View) Head() Head { return v.head }

// Record returns the record of the accepted version.
func (v View) Record() Record { return v.record }

// DecidedPush returns the sequence number of the last push that was accepted
// or refused.
func (v View) DecidedPush() int64 { return v.decidedPush }

// Decide returns the next step of a store watcher whose active version is the given
// one.
func Decide(v View, active gtdelta.Snapshot) Action {
	switch {
	case v.record.version < active.Version():
		return Restore
	case v.record.version > active.Version():
		return Load
	case active.Version() > 0 && v.record.checksum != active.Checksum():
		return Renumber
	case v.head.seq > max(v.record.push, v.decidedPush):
		return Accept
	case v.head.seq < v.record.push:
		return Restore
	default:
		return Nothing
	}
}

// RankDelay is the additional delay of an acceptor for each acceptor ranked before
// it, so that usually only one of them does the work.
const RankDelay = 300 * time.Millisecond

// AcceptDelay returns how long the acceptor with the given rank, counted from
// 0, waits before it acts. The delay avoids duplicate work; safety does not
// depend on it.
func AcceptDelay(rank int) time.Duration { return time.Duration(rank) * RankDelay }
