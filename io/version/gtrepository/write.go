package gtrepository

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/joomcode/errorx"

	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtera"
	"godwittide/core/version/gtmove"
	"godwittide/io/connection/gtwire"
	"godwittide/io/process/gtstore"
)

// chunkBytes is the size of one chunk of a snapshot and the largest size of a
// stored delta, below the store's limit for one value.
const chunkBytes = 512 << 10

const (
	// maxTxnOps is the largest number of writes in one transaction, below the
	// store's limit.
	maxTxnOps = 100
	// keptPushIDs is the number of latest pushes whose write IDs are kept.
	keptPushIDs = 100
	// maxTxnBytes is the largest total size of the values in one transaction.
	maxTxnBytes = 1 << 20
)

// ErrConflict reports that another writer changed the compared keys first.
var ErrConflict = errorx.ConcurrentUpdate.New("the compared keys in the store were changed by another writer")

// newWriteID returns a random ID by which a writer recognizes its own write.
func newWriteID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// encode returns the JSON encoding of a stored value.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the stored types contain nothing that JSON can't encode
	}
	return b
}

// Push writes the changed files of the folder and the new head in one
// transaction, provided that the head is still the one in base, and returns the
// sequence number of the push. It fails with ErrConflict if another push came
// first. If the response is lost, it reads back whether the push was applied.
func (r *Repository) Push(ctx context.Context, base State, author string, changed map[string]string, removed []string) (int64, error) {
	writeID := newWriteID()
	seq := max(base.view.Head().Seq(), base.view.Record().Push()) + 1
	names := append(slices.Sorted(maps.Keys(changed)), removed...)
	if n := totalBytes(changed); len(names) > maxTxnOps || n > maxTxnBytes {
		return 0, errorx.IllegalArgument.New("push of %d files and %d bytes is too large for one transaction; push at most %d files and %d bytes at a time", len(names), n, maxTxnOps, maxTxnBytes)
	}
	txn := gtstore.NewTxn().IfRev(r.key("w", "head"), base.headRev)
	txn.Put(r.key("w", "head"), encode(storedHead{Seq: seq, WriteID: writeID, Author: author, Files: names}))
	for name, text := range changed {
		txn.Put(r.key("file", name), []byte(text))
	}
	for _, name := range removed {
		txn.Delete(r.key("file", name))
	}
	txn.Put(r.key("push", numberKey(seq)), []byte(writeID))
	txn.DeleteRange(r.key("push", numberKey(0)), r.key("push", numberKey(max(0, seq-keptPushIDs))))
	return seq, r.commit(ctx, txn, func(s State) writeOutcome {
		switch {
		case s.view.Head().WriteID() == writeID || s.headRev != base.headRev && r.isPushApplied(ctx, seq, writeID):
			return applied
		case s.headRev == base.headRev:
			return notApplied
		default:
			return superseded
		}
	})
}

// isPushApplied reports whether the push with the given sequence number has the
// given write ID. It also finds a push that is no longer the latest one.
func (r *Repository) isPushApplied(ctx context.Context, seq int64, writeID string) bool {
	for range maxAttempts {
		resp, err := r.Store.Range(ctx, r.key("push", numberKey(seq)), "")
		if err == nil {
			return len(resp.KVs()) == 1 && string(resp.KVs()[0].Value()) == writeID
		}
	}
	return false
}

// totalBytes returns the total size of the files' texts.
func totalBytes(files map[string]string) int {
	n := 0
	for _, text := range files {
		n += len(text)
	}
	return n
}

// writeOutcome is what a read-back shows about a write that the store did not
// confirm.
type writeOutcome int

const (
	// applied means that the write took effect.
	applied writeOutcome = iota
	// notApplied means that the compared keys are unchanged.
	notApplied
	// superseded means that another writer changed the compared keys.
	superseded
)

// maxAttempts bounds how often a write is sent, and a read-back is tried, when
// calls fail.
const maxAttempts = 4

// commit sends a transaction. If the response is lost or a comparison fails, it
// reads the state back, from which outcomeOf determines what became of the write.
// It sends the transaction again only if the response was lost and the write was
// not applied. The comparisons of the transaction keep a delayed first copy and its
// retry from both being applied.
func (r *Repository) commit(ctx context.Context, txn *gtstore.Txn, outcomeOf func(State) writeOutcome) error {
	var lastErr error
	for range maxAttempts {
		result, err := r.Store.Txn(ctx, txn)
		if err == nil && result.Succeeded() {
			return nil
		}
		lastErr = err
		s, readErr := r.Read(ctx)
		if readErr != nil {
			return errorx.Decorate(readErr, "read back the state after an unconfirmed write")
		}
		switch outcomeOf(s) {
		case applied:
			return nil
		case superseded:
			return ErrConflict
		case notApplied:
			if err == nil {
				return ErrConflict
			}
		}
	}
	return errorx.Decorate(lastErr, "write to the store in %d attempts", maxAttempts)
}

// AcceptVersion writes next as the accepted version, with its delta from
// current, if the head and the accepted record are still those in s, and fails
// with ErrConflict otherwise. It writes a full snapshot when one is due, when
// current is not the accepted version in s, or when the delta is larger than
// chunkBytes.
func (r *Repository) AcceptVersion(ctx context.Context, s State, current, next gtdelta.Snapshot, by string) error {
	delta := encode(gtwire.FromDelta(gtdelta.Diff(current, next)))
	withSnapshot := s.view.Record().NeedsCheckpoint() || current.Version() != s.view.Record().Version() || len(delta) > chunkBytes
	rec, writeID, err := r.prepareRecord(ctx, s, next, withSnapshot)
	if err != nil {
		return err
	}
	txn := r.conditionalTxn(s)
	txn.Put(r.key("w", "accepted"), encode(rec))
	if len(delta) <= chunkBytes {
		txn.Put(r.key("delta", numberKey(next.Version())), delta)
	}
	if withSnapshot {
		r.deleteObsolete(txn, s, rec)
	}
	txn.Put(r.key("w", "verdict"), encode(Verdict{Seq: next.Push(), Version: next.Version(), By: by}))
	return r.commitRecord(ctx, txn, s, rec, writeID)
}

// Restore writes back a version that the store has lost: the accepted record,
// the folder and the head, if the record and the head are still those in s. A
// newer push that came after the loss stays the head, with its files.
func (r *Repository) Restore(ctx context.Context, s State, current gtdelta.Snapshot, by string) error {
	rec, writeID, err := r.prepareRecord(ctx, State{}, current, true)
	if err != nil {
		return err
	}
	txn := r.conditionalTxn(s)
	txn.Put(r.key("w", "accepted"), encode(rec))
	r.deleteObsolete(txn, s, rec)
	if s.view.Head().Seq() <= current.Push() {
		if err := r.restoreFiles(ctx, s, current); err != nil {
			return err
		}
		txn.Put(r.key("w", "head"), encode(storedHead{Seq: current.Push(), WriteID: writeID, Author: "restored by " + by, Files: current.Names()}))
	}
	return r.commitRecord(ctx, txn, s, rec, writeID)
}

// conditionalTxn returns a transaction that is applied only if the head and the
// accepted record are still those in s.
func (r *Repository) conditionalTxn(s State) *gtstore.Txn {
	return gtstore.NewTxn().IfRev(r.key("w", "head"), s.headRev).IfRev(r.key("w", "accepted"), s.acceptedRev)
}

// restoreFiles makes the stored folder equal to current, in as many
// transactions as its size needs. It may fail halfway: until the head and the
// record are written as well, every node still detects that the store has lost
// data.
func (r *Repository) restoreFiles(ctx context.Context, s State, current gtdelta.Snapshot) error {
	files, err := r.Files(ctx)
	if err != nil {
		return err
	}
	changed, removed := gtdelta.Changes(files, current.Files())
	txn, n := r.conditionalTxn(s), 0
	flush := func() error {
		result, err := r.Store.Txn(ctx, txn)
		if err == nil && !result.Succeeded() {
			err = ErrConflict
		}
		txn, n = r.conditionalTxn(s), 0
		return err
	}
	for _, name := range removed {
		txn.Delete(r.key("file", name))
		if len(txn.Ops()) >= maxTxnOps {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		if len(txn.Ops()) >= maxTxnOps || n+len(changed[name]) > maxTxnBytes {
			if err := flush(); err != nil {
				return err
			}
		}
		txn.Put(r.key("file", name), []byte(changed[name]))
		n += len(changed[name])
	}
	return flush()
}

// commitRecord commits a transaction that writes rec. If another writer came
// first, it deletes the snapshot that was written for rec.
func (r *Repository) commitRecord(ctx context.Context, txn *gtstore.Txn, s State, rec storedRecord, writeID string) error {
	err := r.commit(ctx, txn, func(stored State) writeOutcome {
		switch {
		case stored.view.Record().WriteID() == writeID:
			return applied
		case stored.acceptedRev == s.acceptedRev && stored.headRev == s.headRev:
			return notApplied
		default:
			return superseded
		}
	})
	if err == ErrConflict && strings.Contains(rec.Checkpoint, writeID) {
		prefix := r.key(rec.Checkpoint, "")
		_, _ = r.Store.Txn(ctx, gtstore.NewTxn().DeleteRange(prefix, gtstore.PrefixEnd(prefix)))
	}
	return err
}

// prepareRecord returns the accepted record for next, and its write ID. If
// withSnapshot is set, it first writes the chunks of a new snapshot, whose key
// prefix is in the record.
func (r *Repository) prepareRecord(ctx context.Context, s State, next gtdelta.Snapshot, withSnapshot bool) (storedRecord, string, error) {
	old := s.view.Record()
	writeID := newWriteID()
	rec := storedRecord{
		Version: next.Version(), Push: next.Push(), Checksum: next.Checksum(), WriteID: writeID,
		Checkpoint: old.Checkpoint(), Chunks: old.Chunks(), CheckpointVersion: old.CheckpointVersion(),
	}
	if !withSnapshot {
		return rec, writeID, nil
	}
	rec.Checkpoint, rec.Chunks, rec.CheckpointVersion = "snap/"+writeID, 0, next.Version()
	text := encode(gtwire.FromSnapshot(next))
	for len(text) > 0 {
		n := min(chunkBytes, len(text))
		key := r.key(rec.Checkpoint, fmt.Sprintf("%04d", rec.Chunks))
		if _, err := r.Store.Txn(ctx, gtstore.NewTxn().Put(key, text[:n])); err != nil {
			return rec, writeID, errorx.Decorate(err, "write a chunk of the snapshot")
		}
		text = text[n:]
		rec.Chunks++
	}
	return rec, writeID, nil
}

// deleteObsolete adds the deletion of what the new snapshot of rec replaces:
// older deltas, and every other snapshot. A snapshot that another node is still
// writing can be deleted as well, since that node has read the old record and
// its commit will fail.
func (r *Repository) deleteObsolete(txn *gtstore.Txn, s State, rec storedRecord) {
	txn.DeleteRange(r.key("delta", numberKey(0)), r.key("delta", numberKey(s.view.Record().CheckpointVersion())))
	all := r.key("snap", "")
	txn.DeleteRange(all, r.key(rec.Checkpoint, ""))
	txn.DeleteRange(gtstore.PrefixEnd(r.key(rec.Checkpoint, "")), gtstore.PrefixEnd(all))
}

// RefusePush records the problems for which the latest push was not accepted,
// if the head and the accepted record are still those in s.
func (r *Repository) RefusePush(ctx context.Context, s State, by string, problems []string) error {
	const maxProblems = 50
	if len(problems) > maxProblems {
		problems = append(slices.Clone(problems[:maxProblems]), "and more")
	}
	seq := s.view.Head().Seq()
	txn := r.conditionalTxn(s)
	txn.Put(r.key("w", "verdict"), encode(Verdict{Seq: seq, By: by, Problems: problems}))
	return r.commit(ctx, txn, func(stored State) writeOutcome {
		if stored.lastVerdict.Seq >= seq {
			return applied
		}
		return notApplied
	})
}

// PutMove writes the state of a move if the stored one still has the revision
// of m, and returns m with its new revision. If another writer changed it, or
// the response was lost, PutMove returns the state that is stored. It fails with
// ErrConflict if the move was changed and is no longer stored.
func (r *Repository) PutMove(ctx context.Context, m gtmove.State) (gtmove.State, error) {
	return r.PutMoveWith(ctx, m, func(*gtstore.Txn) {})
}

// PutMoveWith does the same as PutMove, in a transaction to which addOps may add
// further writes. If the store came back from an older copy after the revision of m, it
// replaces what the store has of the move unless that is as new as m.
func (r *Repository) PutMoveWith(ctx context.Context, m gtmove.State, addOps func(txn *gtstore.Txn)) (gtmove.State, error) {
	result, err := r.putMove(ctx, m, m.Rev(), addOps)
	if err == nil && result.Succeeded() {
		return m.WithRev(result.Rev()), nil
	}
	s, readErr := r.Read(ctx)
	if readErr != nil {
		return m, errorx.Decorate(readErr, "read back the state of a move after an unconfirmed write")
	}
	stored, ok := s.move(m.ID())
	if gtera.Era(s.Rev()) > gtera.Era(m.Rev()) && (!ok || m.Supersedes(stored)) {
		if result, err = r.putMove(ctx, m, stored.Rev(), addOps); err == nil && result.Succeeded() {
			return m.WithRev(result.Rev()), nil
		}
	}
	switch {
	case ok:
		return stored, nil
	case err == nil:
		return m.WithRev(0), ErrConflict
	default:
		return m, errorx.Decorate(err, "write the state of a move")
	}
}

// putMove writes the state of a move if the stored one has a revision, or there is none for
// revision 0.
func (r *Repository) putMove(ctx context.Context, m gtmove.State, rev int64, addOps func(txn *gtstore.Txn)) (gtstore.TxnResult, error) {
	key := r.key("w", "move", m.ID())
	txn := gtstore.NewTxn().IfRev(key, rev).Put(key, encode(gtwire.FromMove(m)))
	addOps(txn)
	return r.Store.Txn(ctx, txn)
}

// PutContact stores a node's peer address as a contact through which other
// nodes can join the cluster. The key is deleted when the lease expires.
func (r *Repository) PutContact(ctx context.Context, zone, instance, peer string, lease int64) error {
	key := r.key("contact", zone, instance)
	if _, err := r.Store.Txn(ctx, gtstore.NewTxn().PutLeased(key, []byte(peer), lease)); err != nil {
		return errorx.Decorate(err, "write the node's contact to the store")
	}
	return nil
}

// Contacts returns the peer addresses of the stored contacts of all zones.
func (r *Repository) Contacts(ctx context.Context) ([]string, error) {
	return r.contacts(ctx, r.Store.Range)
}

// OutdatedContacts returns the contacts as they were some seconds ago, at less cost to
// the store.
func (r *Repository) OutdatedContacts(ctx context.Context) ([]string, error) {
	return r.contacts(ctx, r.Store.ReadOutdated)
}

func (r *Repository) contacts(ctx context.Context, read func(ctx context.Context, key, end string) (gtstore.RangeResponse, error)) ([]string, error) {
	prefix := r.key("contact", "")
	resp, err := read(ctx, prefix, gtstore.PrefixEnd(prefix))
	if err != nil {
		return nil, errorx.Decorate(err, "read the contacts from the store")
	}
	var peers []string
	for _, kv := range resp.KVs() {
		peers = append(peers, string(kv.Value()))
	}
	return peers, nil
}
