// Package gtstore is the client of the platform's key-value store: ordered keys
// with revisions, transactions that compare revisions, leases and watches.
//
// # Usage
//
//	store := gtstore.NewEtcd("http://10.0.0.1:2379", client)
//	response, err := store.Range(ctx, "a/", gtstore.PrefixEnd("a/"))
//	result, err := store.Txn(ctx, gtstore.NewTxn().IfRev("a/x", 7).Put("a/x", value))
//
// Store is a concrete type whose operations are function fields, so that tests
// and other key-value stores can supply their own. After an error of Txn the
// writes may have been done: the response may have been lost.
package gtstore

import (
	"context"
	"time"
)

// Store is a client of one key-value store. Its fields are set before use.
type Store struct {
	// Range reads the keys from key up to but not including end, or key alone if
	// end is "", as they all were at one revision. A watch after that revision misses
	// none of their changes.
	Range func(ctx context.Context, key, end string) (RangeResponse, error)
	// RangeOutdated is like Range, but what it reads may be some seconds old. It costs
	// the store less; nil means Range.
	RangeOutdated func(ctx context.Context, key, end string) (RangeResponse, error)
	// Txn does the writes atomically if all conditions hold.
	Txn func(ctx context.Context, t *Txn) (TxnResult, error)
	// Grant creates a lease that expires after ttl unless it is kept alive, and
	// returns its ID.
	Grant func(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease. It fails if the lease has expired.
	KeepAlive func(ctx context.Context, lease int64) error
	// Watch calls fn with the changes of the keys from key up to but not including
	// end that come after the given revision, until ctx ends or the watch fails. It
	// always returns an error.
	Watch func(ctx context.Context, key, end string, after int64, fn func([]KV)) error
}

// ReadOutdated reads a range by RangeOutdated, or by Range if there is none.
func (s *Store) ReadOutdated(ctx context.Context, key, end string) (RangeResponse, error) {
	if s.RangeOutdated != nil {
		return s.RangeOutdated(ctx, key, end)
	}
	return s.Range(ctx, key, end)
}

// KV is one key with its value and the revision of its last change.
type KV struct {
	key     string
	value   []byte
	rev     int64
	deleted bool
}

// NewKV returns a key with its value and the revision of its last change.
func NewKV(key string, value []byte, rev int64) KV { return KV{key: key, value: value, rev: rev} }

// NewDeletion returns the watch event of a key that was deleted.
func NewDeletion(key string, rev int64) KV { return KV{key: key, rev: rev, deleted: true} }

// Key returns the key.
func (kv KV) Key() string { return kv.key }

// Value returns the value. The slice is shared and must not be changed.
func (kv KV) Value() []byte { return kv.value }

// Rev returns the revision of the last change of the key.
func (kv KV) Rev() int64 { return kv.rev }

// Deleted reports whether the key was deleted.
func (kv KV) Deleted() bool { return kv.deleted }

// RangeResponse is the response to a range read.
type RangeResponse struct {
	rev int64
	kvs []KV
}

// NewRangeResponse returns the response to a range read at a revision of the store.
func NewRangeResponse(rev int64, kvs []KV) RangeResponse { return RangeResponse{rev: rev, kvs: kvs} }

// Rev returns the revision of the store at the read.
func (r RangeResponse) Rev() int64 { return r.rev }

// KVs returns the keys in order. The slice is shared and must not be changed.
func (r RangeResponse) KVs() []KV { return r.kvs }

// Get returns the entry of a key, and false if the key is not in the response.
func (r RangeResponse) Get(key string) (KV, bool) {
	for _, kv := range r.kvs {
		if kv.key == key {
			return kv, true
		}
	}
	return KV{}, false
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	succeeded bool
	rev       int64
}

// NewTxnResult returns the result of a transaction.
func NewTxnResult(succeeded bool, rev int64) TxnResult {
	return TxnResult{succeeded: succeeded, rev: rev}
}

// Succeeded reports whether all conditions held and the writes were done.
func (r TxnResult) Succeeded() bool { return r.succeeded }

// Rev returns the revision of the store after the transaction.
func (r TxnResult) Rev() int64 { return r.rev }

// Compare is a condition of a transaction on the revision of a key.
type Compare struct {
	key string
	rev int64
}

// Key returns the key whose revision is compared.
func (c Compare) Key() string { return c.key }

// Rev returns the revision that the key must have; 0 means that it must not
// exist.
func (c Compare) Rev() int64 { return c.rev }

// Op is one write or deletion of a transaction.
type Op struct {
	key    string
	end    string
	value  []byte
	lease  int64
	delete bool
}

// Key returns the key that is written or deleted, or the first of a range.
func (o Op) Key() string { return o.key }

// End returns the exclusive end of the range that is deleted, or "" for a single
// key.
func (o Op) End() string { return o.end }

// Value returns the new value.
func (o Op) Value() []byte { return o.value }

// Lease returns the ID of the lease that the key is attached to, or 0.
func (o Op) Lease() int64 { return o.lease }

// IsDelete reports whether the operation is a deletion.
func (o Op) IsDelete() bool { return o.delete }

// Txn is a transaction: writes and deletions that are done together if all
// conditions hold.
type Txn struct {
	compares []Compare
	ops      []Op
}

// NewTxn returns an empty transaction.
func NewTxn() *Txn { return &Txn{} }

// IfRev adds the condition that the last change of the key has the given
// revision; 0 means that the key does not exist.
func (t *Txn) IfRev(key string, rev int64) *Txn {
	t.compares = append(t.compares, Compare{key: key, rev: rev})
	return t
}

// Put adds a write of a key.
func (t *Txn) Put(key string, value []byte) *Txn {
	t.ops = append(t.ops, Op{key: key, value: value})
	return t
}

// PutLeased adds a write of a key that the store deletes when the lease expires.
func (t *Txn) PutLeased(key string, value []byte, lease int64) *Txn {
	t.ops = append(t.ops, Op{key: key, value: value, lease: lease})
	return t
}

// Delete adds a deletion of a key.
func (t *Txn) Delete(key string) *Txn {
	t.ops = append(t.ops, Op{key: key, delete: true})
	return t
}

// DeleteRange adds a deletion of the keys from key up to but not including end.
func (t *Txn) DeleteRange(key, end string) *Txn {
	t.ops = append(t.ops, Op{key: key, end: end, delete: true})
	return t
}

// Compares returns the conditions.
func (t *Txn) Compares() []Compare { return t.compares }

// Ops returns the writes and deletions.
func (t *Txn) Ops() []Op { return t.ops }

// PrefixEnd returns the exclusive end of the range of all keys that begin with
// prefix. It returns "\x00", which etcd takes for a range without an end, if no
// key is above that range.
func PrefixEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return "\x00"
}
