// Package gtrepository persists the configuration in the platform's store: the
// operators' folder with its latest push, the accepted version, and the states
// of moves.
//
// # Usage
//
//	repo := &gtrepository.Repository{Store: store, Prefix: "godwittide/"}
//	state, err := repo.Read(ctx)
//	switch gtaccept.Decide(state.View(), current) { ... }
//
// Keys below the prefix:
//
//   - w/head, w/accepted, w/verdict and w/move/ID are watched.
//   - file/NAME holds the folder's files.
//   - delta/VERSION and snap/WRITE-ID/N hold the deltas and the snapshot chunks
//     from which the accepted version is rebuilt.
//   - push/N holds the write IDs of past pushes.
//   - departed/INSTANCE/HASH holds the processes of an instance's backend server that
//     announced their shutdown.
//   - contact/ZONE/INSTANCE holds the peer addresses that nodes join through.
//
// Each change of the head, the accepted version or a move is a compare-and-swap
// against the revisions that were read. A write of the head or the accepted
// version carries a write ID, so that a writer whose response was lost can read
// back whether the write was applied; a move has only its revision. Snapshot
// chunks and contacts are written without a comparison.
package gtrepository

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"

	"godwittide/core/process/gtaccept"
	"godwittide/core/version/gtdelta"
	"godwittide/core/version/gtmove"
	"godwittide/io/connection/gtwire"
	"godwittide/io/process/gtstore"
)

// Repository reads and writes the configuration's keys below a prefix. Its fields
// are set before use.
type Repository struct {
	// Store is the platform's store.
	Store *gtstore.Store
	// Prefix is the common prefix of all keys.
	Prefix string
}

// storedHead is the value of w/head: the latest push.
type storedHead struct {
	Seq     int64    `json:"seq"`
	WriteID string   `json:"id"`
	Author  string   `json:"author"`
	Files   []string `json:"files"`
}

// storedRecord is the value of w/accepted: the accepted version, and the
// snapshot (checkpoint) from which its deltas start.
type storedRecord struct {
	Version           int64  `json:"version"`
	Push              int64  `json:"push"`
	Checksum          string `json:"sum"`
	WriteID           string `json:"writer"`
	Checkpoint        string `json:"checkpoint"`
	Chunks            int    `json:"chunks"`
	CheckpointVersion int64  `json:"from"`
}

// Verdict is the result of a push: the version under which it was accepted, or
// the problems for which it was refused. By is the instance that decided.
type Verdict struct {
	Seq      int64    `json:"seq"`
	Version  int64    `json:"version,omitempty"`
	By       string   `json:"by"`
	Problems []string `json:"problems,omitempty"`
}

// State is the watched part of the store as read at one revision, with the
// revisions of its keys for later compare-and-swaps.
type State struct {
	rev         int64
	view        gtaccept.View
	lastVerdict Verdict
	headRev     int64
	acceptedRev int64
	moves       []gtmove.State
}

// Rev returns the store's revision at the time of the read.
func (s State) Rev() int64 { return s.rev }

// View returns the input of gtaccept.Decide.
func (s State) View() gtaccept.View { return s.view }

// LastVerdict returns the result of the last push that was accepted or refused.
func (s State) LastVerdict() Verdict { return s.lastVerdict }

// Moves returns the states of all moves that could be decoded.
func (s State) Moves() []gtmove.State { return s.moves }

// move returns the state of a move, and whether it was read.
func (s State) move(id string) (gtmove.State, bool) {
	for _, m := range s.moves {
		if m.ID() == id {
			return m, true
		}
	}
	return gtmove.State{}, false
}

// key returns the key that consists of the prefix and the parts joined by slashes.
func (r *Repository) key(parts ...string) string { return r.Prefix + strings.Join(parts, "/") }

// numberKey returns n padded with zeros, so that keys sort by number.
func numberKey(n int64) string { return fmt.Sprintf("%016d", n) }

// WatchRange returns the range of keys to watch, from key up to but excluding
// end.
func (r *Repository) WatchRange() (key, end string) {
	return r.key("w", ""), gtstore.PrefixEnd(r.key("w", ""))
}

// Read reads the state with a single range read. Moves that can't be decoded
// are skipped.
func (r *Repository) Read(ctx context.Context) (State, error) {
	key, end := r.WatchRange()
	resp, err := r.Store.Range(ctx, key, end)
	if err != nil {
		return State{}, errorx.Decorate(err, "read the configuration state from the store")
	}
	s := State{rev: resp.Rev()}
	var head storedHead
	var rec storedRecord
	if s.headRev, err = decode(resp, r.key("w", "head"), &head); err != nil {
		return State{}, err
	}
	if s.acceptedRev, err = decode(resp, r.key("w", "accepted"), &rec); err != nil {
		return State{}, err
	}
	if _, err = decode(resp, r.key("w", "verdict"), &s.lastVerdict); err != nil {
		return State{}, err
	}
	s.moves = r.decodeMoves(resp)
	s.view = gtaccept.NewView(
		gtaccept.NewHead(head.Seq, head.WriteID, head.Author, head.Files),
		gtaccept.NewRecord(rec.Version, rec.Push, rec.Checksum, rec.WriteID, rec.Checkpoint, rec.Chunks, rec.CheckpointVersion),
		s.lastVerdict.Seq)
	return s, nil
}

// decode decodes the value of key into out and returns the key's revision. A
// missing key has the revision 0 and leaves out unchanged.
func decode(resp gtstore.RangeResponse, key string, out any) (int64, error) {
	kv, ok := resp.Get(key)
	if !ok {
		return 0, nil
	}
	if err := json.Unmarshal(kv.Value(), out); err != nil {
		return 0, errorx.Decorate(err, "decode the value of key %s", key)
	}
	return kv.Rev(), nil
}

// decodeMoves returns the states of the moves in resp. It skips those that can't be
// decoded.
func (r *Repository) decodeMoves(resp gtstore.RangeResponse) []gtmove.State {
	var moves []gtmove.State
	for _, kv := range resp.KVs() {
		if !strings.HasPrefix(kv.Key(), r.key("w", "move", "")) {
			continue
		}
		var m gtwire.Move
		if json.Unmarshal(kv.Value(), &m) != nil {
			continue
		}
		if s, err := m.Decode(); err == nil {
			moves = append(moves, s.WithRev(kv.Rev()))
		}
	}
	return moves
}

// Files returns the texts of the operators' folder by file name.
func (r *Repository) Files(ctx context.Context) (map[string]string, error) {
	prefix := r.key("file", "")
	resp, err := r.Store.Range(ctx, prefix, gtstore.PrefixEnd(prefix))
	if err != nil {
		return nil, errorx.Decorate(err, "read the configuration files from the store")
	}
	files := map[string]string{}
	for _, kv := range resp.KVs() {
		files[strings.TrimPrefix(kv.Key(), prefix)] = string(kv.Value())
	}
	return files, nil
}

// Load returns the accepted version. It applies the stored deltas to current. If
// they don't reach back that far, or don't lead from current to the accepted
// version, it starts from the stored snapshot instead.
func (r *Repository) Load(ctx context.Context, rec gtaccept.Record, current gtdelta.Snapshot) (gtdelta.Snapshot, error) {
	if current.Version() >= rec.CheckpointVersion() {
		if snapshot, err := r.applyDeltas(ctx, current, rec); err == nil {
			return snapshot, nil
		}
	}
	snapshot, err := r.readSnapshot(ctx, rec)
	if err != nil {
		return gtdelta.Snapshot{}, err
	}
	return r.applyDeltas(ctx, snapshot, rec)
}

// readSnapshot reads the full snapshot that rec names from its chunks.
func (r *Repository) readSnapshot(ctx context.Context, rec gtaccept.Record) (gtdelta.Snapshot, error) {
	prefix := r.key(rec.Checkpoint(), "")
	resp, err := r.Store.Range(ctx, prefix, gtstore.PrefixEnd(prefix))
	if err != nil {
		return gtdelta.Snapshot{}, errorx.Decorate(err, "read the snapshot from the store")
	}
	if len(resp.KVs()) != rec.Chunks() {
		return gtdelta.Snapshot{}, errorx.IllegalState.New("snapshot %s has %d of %d chunks", rec.Checkpoint(), len(resp.KVs()), rec.Chunks())
	}
	var b bytes.Buffer
	for _, kv := range resp.KVs() {
		b.Write(kv.Value())
	}
	var m gtwire.Snapshot
	if err := json.Unmarshal(b.Bytes(), &m); err != nil {
		return gtdelta.Snapshot{}, errorx.Decorate(err, "decode the snapshot")
	}
	return m.Decode()
}

// applyDeltas applies the stored deltas to snapshot, and fails unless the result
// has the version and the checksum of rec.
func (r *Repository) applyDeltas(ctx context.Context, snapshot gtdelta.Snapshot, rec gtaccept.Record) (gtdelta.Snapshot, error) {
	if snapshot.Version() < rec.Version() {
		key, end := r.key("delta", numberKey(snapshot.Version()+1)), r.key("delta", numberKey(rec.Version()+1))
		resp, err := r.Store.Range(ctx, key, end)
		if err != nil {
			return gtdelta.Snapshot{}, errorx.Decorate(err, "read the deltas from the store")
		}
		for _, kv := range resp.KVs() {
			var m gtwire.Delta
			if err := json.Unmarshal(kv.Value(), &m); err != nil {
				return gtdelta.Snapshot{}, errorx.Decorate(err, "decode the delta at key %s", kv.Key())
			}
			if snapshot, err = m.Decode().Apply(snapshot); err != nil {
				return gtdelta.Snapshot{}, err
			}
		}
	}
	if snapshot.Version() != rec.Version() || snapshot.Checksum() != rec.Checksum() {
		return gtdelta.Snapshot{}, errorx.IllegalState.New("deltas yield version %d, whose number or checksum differs from the accepted record of version %d", snapshot.Version(), rec.Version())
	}
	return snapshot, nil
}
