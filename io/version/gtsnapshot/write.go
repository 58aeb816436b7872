package gtsnapshot

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
	"godwittide/core/version/gtmove"
	"godwittide/io/connection/gtwire"
	"godwittide/io/process/gtstore"
)

// chunkBytes is the size of one chunk of a snapshot, below the largest value
// that the store takes.
const chunkBytes = 512 << 10

const (
	// maxOps is the most writes in one transaction, below what the store takes.
	maxOps = 100
	// pushesKept is the number of pushes whose write ids are kept.
	pushesKept = 100
	// maxBytes is the most bytes of values in one transaction.
	maxBytes = 1 << 20
)

// ErrConflict means that somebody else wrote first.
var ErrConflict = errorx.ConcurrentUpdate.New("the store was changed by somebody else")

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // messages hold nothing that can't be encoded
	}
	return b
}

// Push writes the changed files of the folder and the new head in one step, if
// the head is still the one in base. It fails with ErrConflict if it is not.
// A push that lost its answer reads back what became of it.
func (v *Vault) Push(ctx context.Context, base State, author string, set map[string]string, removed []string) (int64, error) {
	id := newID()
	seq := max(base.view.Head().Seq(), base.view.Record().Push()) + 1
	names := append(slices.Sorted(maps.Keys(set)), removed...)
	if n := size(set); len(names) > maxOps || n > maxBytes {
		return 0, errorx.IllegalArgument.New("push of %d files and %d bytes is too large for one step; push at most %d files and %d bytes at a time", len(names), n, maxOps, maxBytes)
	}
	t := gtstore.NewTxn().IfRev(v.key("w", "head"), base.headRev)
	t.Put(v.key("w", "head"), encode(headMessage{Seq: seq, ID: id, Author: author, Files: names}))
	for name, text := range set {
		t.Put(v.key("file", name), []byte(text))
	}
	for _, name := range removed {
		t.Delete(v.key("file", name))
	}
	t.Put(v.key("push", deltaKey(seq)), []byte(id))
	t.DeleteRange(v.key("push", deltaKey(0)), v.key("push", deltaKey(max(0, seq-pushesKept))))
	return seq, v.swap(ctx, t, func(s State) outcome {
		switch {
		case s.view.Head().ID() == id || s.headRev != base.headRev && v.pushed(ctx, seq, id):
			return landed
		case s.headRev == base.headRev:
			return absent
		default:
			return beaten
		}
	})
}

// pushed says whether the push with the given number has the given write id,
// also after others have followed it.
func (v *Vault) pushed(ctx context.Context, seq int64, id string) bool {
	for range tries {
		a, err := v.Store.Range(ctx, v.key("push", deltaKey(seq)), "")
		if err == nil {
			return len(a.KVs()) == 1 && string(a.KVs()[0].Value()) == id
		}
	}
	return false
}

func size(files map[string]string) int {
	n := 0
	for _, text := range files {
		n += len(text)
	}
	return n
}

// outcome is what a read-back says of a write whose answer was lost.
type outcome int

const (
	landed outcome = iota
	absent
	beaten
)

// tries bounds how often a write whose answers get lost is sent.
const tries = 4

// swap sends a transaction. When the answer is lost, it reads back and sends
// it again only if it has not landed; the comparisons keep a late first copy
// from landing beside the second.
func (v *Vault) swap(ctx context.Context, t *gtstore.Txn, check func(State) outcome) error {
	var last error
	for range tries {
		done, err := v.Store.Txn(ctx, t)
		if err == nil && done.OK() {
			return nil
		}
		last = err
		s, readErr := v.Read(ctx)
		if readErr != nil {
			return errorx.Decorate(readErr, "read back after a write")
		}
		switch check(s) {
		case landed:
			return nil
		case beaten:
			return ErrConflict
		case absent:
			if err == nil {
				return ErrConflict
			}
		}
	}
	return errorx.Decorate(last, "write to the store, %d times", tries)
}

// Accept writes next as the accepted version, if head and record are still
// those in s. Own is the accepted version that next follows.
func (v *Vault) Accept(ctx context.Context, s State, own, next gtdelta.Set, by string) error {
	delta := encode(gtwire.FromDelta(gtdelta.Diff(own, next)))
	whole := s.view.Record().NeedsCheckpoint() || own.Version() != s.view.Record().Version() || len(delta) > chunkBytes
	rec, writer, err := v.prepare(ctx, s, next, whole)
	if err != nil {
		return err
	}
	t := v.guarded(s)
	t.Put(v.key("w", "accepted"), encode(rec))
	if len(delta) <= chunkBytes {
		t.Put(v.key("delta", deltaKey(next.Version())), delta)
	}
	if whole {
		v.dropOld(t, s, rec)
	}
	t.Put(v.key("w", "verdict"), encode(Verdict{Seq: next.Push(), Version: next.Version(), By: by}))
	return v.finish(ctx, t, s, rec, writer)
}

// Restore writes back a version that the store has lost: the record, the
// folder and the head, if they are still those in s. A push that came after
// the loss, and is newer than the version, keeps its place as head.
func (v *Vault) Restore(ctx context.Context, s State, own gtdelta.Set, by string) error {
	rec, writer, err := v.prepare(ctx, State{}, own, true)
	if err != nil {
		return err
	}
	t := v.guarded(s)
	t.Put(v.key("w", "accepted"), encode(rec))
	v.dropOld(t, s, rec)
	if s.view.Head().Seq() <= own.Push() {
		if err := v.restoreFiles(ctx, s, own); err != nil {
			return err
		}
		t.Put(v.key("w", "head"), encode(headMessage{Seq: own.Push(), ID: writer, Author: "restored by " + by, Files: own.Names()}))
	}
	return v.finish(ctx, t, s, rec, writer)
}

// guarded returns a transaction that needs head and record to be those in s.
func (v *Vault) guarded(s State) *gtstore.Txn {
	return gtstore.NewTxn().IfRev(v.key("w", "head"), s.headRev).IfRev(v.key("w", "accepted"), s.acceptedRev)
}

// restoreFiles puts the folder back, in as many steps as it takes. Until the
// head is written too, every node goes on to see that the store has lost data.
func (v *Vault) restoreFiles(ctx context.Context, s State, own gtdelta.Set) error {
	files, err := v.Files(ctx)
	if err != nil {
		return err
	}
	set, removed := gtdelta.Changes(files, own.Files())
	t, n := v.guarded(s), 0
	flush := func() error {
		done, err := v.Store.Txn(ctx, t)
		if err == nil && !done.OK() {
			err = ErrConflict
		}
		t, n = v.guarded(s), 0
		return err
	}
	for _, name := range removed {
		t.Delete(v.key("file", name))
		if len(t.Ops()) >= maxOps {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(set)) {
		if len(t.Ops()) >= maxOps || n+len(set[name]) > maxBytes {
			if err := flush(); err != nil {
				return err
			}
		}
		t.Put(v.key("file", name), []byte(set[name]))
		n += len(set[name])
	}
	return flush()
}

func (v *Vault) finish(ctx context.Context, t *gtstore.Txn, s State, rec recordMessage, writer string) error {
	err := v.swap(ctx, t, func(now State) outcome {
		switch {
		case now.view.Record().Writer() == writer:
			return landed
		case now.acceptedRev == s.acceptedRev && now.headRev == s.headRev:
			return absent
		default:
			return beaten
		}
	})
	if err == ErrConflict && strings.Contains(rec.Checkpoint, writer) {
		prefix := v.key(rec.Checkpoint, "")
		_, _ = v.Store.Txn(ctx, gtstore.NewTxn().DeleteRange(prefix, gtstore.PrefixEnd(prefix)))
	}
	return err
}

// prepare returns the record that will name next. If whole is set, it first
// writes the chunks of a new snapshot.
func (v *Vault) prepare(ctx context.Context, s State, next gtdelta.Set, whole bool) (recordMessage, string, error) {
	old := s.view.Record()
	writer := newID()
	rec := recordMessage{
		Version: next.Version(), Push: next.Push(), Sum: next.Sum(), Writer: writer,
		Checkpoint: old.Checkpoint(), Chunks: old.Chunks(), From: old.From(),
	}
	if !whole {
		return rec, writer, nil
	}
	rec.Checkpoint, rec.Chunks, rec.From = "snap/"+writer, 0, next.Version()
	text := encode(gtwire.FromSet(next))
	for len(text) > 0 {
		n := min(chunkBytes, len(text))
		key := v.key(rec.Checkpoint, fmt.Sprintf("%04d", rec.Chunks))
		if _, err := v.Store.Txn(ctx, gtstore.NewTxn().Put(key, text[:n])); err != nil {
			return rec, writer, errorx.Decorate(err, "write the snapshot")
		}
		text = text[n:]
		rec.Chunks++
	}
	return rec, writer, nil
}

// dropOld adds the deletion of what a new snapshot has made useless: older
// deltas, and every other snapshot. One that somebody is just writing belongs
// to a writer who has read the old record, and will lose.
func (v *Vault) dropOld(t *gtstore.Txn, s State, rec recordMessage) {
	t.DeleteRange(v.key("delta", deltaKey(0)), v.key("delta", deltaKey(s.view.Record().From())))
	all := v.key("snap", "")
	t.DeleteRange(all, v.key(rec.Checkpoint, ""))
	t.DeleteRange(gtstore.PrefixEnd(v.key(rec.Checkpoint, "")), gtstore.PrefixEnd(all))
}

// Refuse writes why a push was not accepted.
func (v *Vault) Refuse(ctx context.Context, s State, by string, problems []string) error {
	const most = 50
	if len(problems) > most {
		problems = append(slices.Clone(problems[:most]), "and more")
	}
	seq := s.view.Head().Seq()
	t := v.guarded(s)
	t.Put(v.key("w", "verdict"), encode(Verdict{Seq: seq, By: by, Problems: problems}))
	return v.swap(ctx, t, func(now State) outcome {
		if now.verdict.Seq >= seq {
			return landed
		}
		return absent
	})
}

// PutMove writes the state of a move if its record still has the revision of
// the state, and returns the state with its new revision.
func (v *Vault) PutMove(ctx context.Context, m gtmove.State) (gtmove.State, error) {
	return v.PutMoveWith(ctx, m, func(*gtstore.Txn) {})
}

// PutMoveWith does as PutMove, with what also adds in the same transaction.
func (v *Vault) PutMoveWith(ctx context.Context, m gtmove.State, also func(t *gtstore.Txn)) (gtmove.State, error) {
	key := v.key("w", "move", m.ID())
	t := gtstore.NewTxn().IfRev(key, m.Rev()).Put(key, encode(gtwire.FromMove(m)))
	also(t)
	done, err := v.Store.Txn(ctx, t)
	if err == nil && done.OK() {
		return m.WithRev(done.Rev()), nil
	}
	s, readErr := v.Read(ctx)
	if readErr != nil {
		return m, errorx.Decorate(readErr, "read back the state of a move")
	}
	for _, now := range s.moves {
		if now.ID() == m.ID() {
			return now, nil
		}
	}
	if err == nil {
		return m.WithRev(0), ErrConflict
	}
	return m, errorx.Decorate(err, "write the state of a move")
}

// PutContact lists an address as first contact for as long as the lease lasts.
func (v *Vault) PutContact(ctx context.Context, zone, instance, peer string, lease int64) error {
	key := v.key("contact", zone, instance)
	if _, err := v.Store.Txn(ctx, gtstore.NewTxn().PutLeased(key, []byte(peer), lease)); err != nil {
		return errorx.Decorate(err, "write a contact")
	}
	return nil
}

// Contacts returns the peer addresses of all first contacts.
func (v *Vault) Contacts(ctx context.Context) ([]string, error) {
	prefix := v.key("contact", "")
	a, err := v.Store.Range(ctx, prefix, gtstore.PrefixEnd(prefix))
	if err != nil {
		return nil, errorx.Decorate(err, "read the contacts")
	}
	var peers []string
	for _, kv := range a.KVs() {
		peers = append(peers, string(kv.Value()))
	}
	return peers, nil
}
