// Package gtsnapshot keeps the configuration in the platform's store: the
// operators' folder with its latest push, the accepted version, and the states
// of moves.
//
// # Usage
//
//	vault := &gtsnapshot.Vault{Store: store, Prefix: "godwittide/"}
//	state, err := vault.Read(ctx)
//	switch gtaccept.Decide(state.View(), own) { ... }
//
// Keys below the prefix: w/head, w/accepted, w/verdict and w/move/ID are
// watched; file/NAME is the folder; delta/VERSION and snap/WRITER/N lead to
// the accepted version; push/N holds the write ids of past pushes; contact/ZONE/INSTANCE lists first contacts. Every
// write is a compare-and-swap against what was read, and carries a write id by
// which a writer that lost the answer finds out what became of it.
package gtsnapshot

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

// Vault reads and writes the keys below a prefix. Its fields are set before
// use.
type Vault struct {
	// Store is the platform's store.
	Store *gtstore.Store
	// Prefix begins all keys.
	Prefix string
}

type headMessage struct {
	Seq    int64    `json:"seq"`
	ID     string   `json:"id"`
	Author string   `json:"author"`
	Files  []string `json:"files"`
}

type recordMessage struct {
	Version    int64  `json:"version"`
	Push       int64  `json:"push"`
	Sum        string `json:"sum"`
	Writer     string `json:"writer"`
	Checkpoint string `json:"checkpoint"`
	Chunks     int    `json:"chunks"`
	From       int64  `json:"from"`
}

// Verdict is what became of a push.
type Verdict struct {
	Seq      int64    `json:"seq"`
	Version  int64    `json:"version,omitempty"`
	By       string   `json:"by"`
	Problems []string `json:"problems,omitempty"`
}

// State is what stands in the store, with the revisions to compare against.
type State struct {
	rev         int64
	view        gtaccept.View
	verdict     Verdict
	headRev     int64
	acceptedRev int64
	moves       []gtmove.State
}

// Rev returns the store's revision at the read.
func (s State) Rev() int64 { return s.rev }

// View returns what acceptance is decided on.
func (s State) View() gtaccept.View { return s.view }

// Verdict returns what became of the last push that was decided.
func (s State) Verdict() Verdict { return s.verdict }

// Moves returns the states of all moves.
func (s State) Moves() []gtmove.State { return s.moves }

func (v *Vault) key(parts ...string) string { return v.Prefix + strings.Join(parts, "/") }

func deltaKey(version int64) string { return fmt.Sprintf("%016d", version) }

// Watched returns the range of keys to watch.
func (v *Vault) Watched() (key, end string) {
	return v.key("w", ""), gtstore.PrefixEnd(v.key("w", ""))
}

// Read reads the state in one call.
func (v *Vault) Read(ctx context.Context) (State, error) {
	key, end := v.Watched()
	a, err := v.Store.Range(ctx, key, end)
	if err != nil {
		return State{}, errorx.Decorate(err, "read the state")
	}
	s := State{rev: a.Rev()}
	var head headMessage
	var rec recordMessage
	if s.headRev, err = decode(a, v.key("w", "head"), &head); err != nil {
		return State{}, err
	}
	if s.acceptedRev, err = decode(a, v.key("w", "accepted"), &rec); err != nil {
		return State{}, err
	}
	if _, err = decode(a, v.key("w", "verdict"), &s.verdict); err != nil {
		return State{}, err
	}
	s.moves = v.decodeMoves(a)
	s.view = gtaccept.NewView(
		gtaccept.NewHead(head.Seq, head.ID, head.Author, head.Files),
		gtaccept.NewRecord(rec.Version, rec.Push, rec.Sum, rec.Writer, rec.Checkpoint, rec.Chunks, rec.From),
		s.verdict.Seq)
	return s, nil
}

func decode(a gtstore.Answer, key string, out any) (int64, error) {
	kv, ok := a.Get(key)
	if !ok {
		return 0, nil
	}
	if err := json.Unmarshal(kv.Value(), out); err != nil {
		return 0, errorx.Decorate(err, "decode %s", key)
	}
	return kv.Rev(), nil
}

func (v *Vault) decodeMoves(a gtstore.Answer) []gtmove.State {
	var moves []gtmove.State
	for _, kv := range a.KVs() {
		if !strings.HasPrefix(kv.Key(), v.key("w", "move", "")) {
			continue
		}
		var m gtwire.Move
		if json.Unmarshal(kv.Value(), &m) != nil {
			continue
		}
		if s, err := m.Value(); err == nil {
			moves = append(moves, s.WithRev(kv.Rev()))
		}
	}
	return moves
}

// Files returns the operators' folder.
func (v *Vault) Files(ctx context.Context) (map[string]string, error) {
	prefix := v.key("file", "")
	a, err := v.Store.Range(ctx, prefix, gtstore.PrefixEnd(prefix))
	if err != nil {
		return nil, errorx.Decorate(err, "read the folder")
	}
	files := map[string]string{}
	for _, kv := range a.KVs() {
		files[strings.TrimPrefix(kv.Key(), prefix)] = string(kv.Value())
	}
	return files, nil
}

// Load returns the accepted version, starting from own where the deltas lead
// on from it.
func (v *Vault) Load(ctx context.Context, rec gtaccept.Record, own gtdelta.Set) (gtdelta.Set, error) {
	if own.Version() >= rec.From() {
		if set, err := v.follow(ctx, own, rec); err == nil {
			return set, nil
		}
	}
	set, err := v.checkpoint(ctx, rec)
	if err != nil {
		return gtdelta.Set{}, err
	}
	return v.follow(ctx, set, rec)
}

func (v *Vault) checkpoint(ctx context.Context, rec gtaccept.Record) (gtdelta.Set, error) {
	prefix := v.key(rec.Checkpoint(), "")
	a, err := v.Store.Range(ctx, prefix, gtstore.PrefixEnd(prefix))
	if err != nil {
		return gtdelta.Set{}, errorx.Decorate(err, "read the snapshot")
	}
	if len(a.KVs()) != rec.Chunks() {
		return gtdelta.Set{}, errorx.IllegalState.New("snapshot %s has %d of %d chunks", rec.Checkpoint(), len(a.KVs()), rec.Chunks())
	}
	var b bytes.Buffer
	for _, kv := range a.KVs() {
		b.Write(kv.Value())
	}
	var m gtwire.Set
	if err := json.Unmarshal(b.Bytes(), &m); err != nil {
		return gtdelta.Set{}, errorx.Decorate(err, "decode the snapshot")
	}
	return m.Value()
}

func (v *Vault) follow(ctx context.Context, set gtdelta.Set, rec gtaccept.Record) (gtdelta.Set, error) {
	if set.Version() < rec.Version() {
		key, end := v.key("delta", deltaKey(set.Version()+1)), v.key("delta", deltaKey(rec.Version()+1))
		a, err := v.Store.Range(ctx, key, end)
		if err != nil {
			return gtdelta.Set{}, errorx.Decorate(err, "read the deltas")
		}
		for _, kv := range a.KVs() {
			var m gtwire.Delta
			if err := json.Unmarshal(kv.Value(), &m); err != nil {
				return gtdelta.Set{}, errorx.Decorate(err, "decode %s", kv.Key())
			}
			if set, err = m.Value().Apply(set); err != nil {
				return gtdelta.Set{}, err
			}
		}
	}
	if set.Version() != rec.Version() || set.Sum() != rec.Sum() {
		return gtdelta.Set{}, errorx.IllegalState.New("deltas lead to version %d, record says %d", set.Version(), rec.Version())
	}
	return set, nil
}
