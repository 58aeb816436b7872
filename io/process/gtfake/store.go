// Package gtfake provides stand-ins for the external services that a node
// depends on: the platform's store and a backend server. Tests, measurements
// and manual trials use them, and can inject the failures seen in production.
//
// # Usage
//
//	store := &gtfake.Store{}
//	go http.Serve(listener, store.Handler())
//	store.SetFaults(gtfake.StoreFaults{Down: true})
//
//	backend := &gtfake.Backend{Name: "b1", Slots: 10}
//	go backend.Run(ctx, listener)
package gtfake

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"godwittide/io/process/gtstore"
)

// maxValueBytes is the size of the largest value that the store accepts.
const maxValueBytes = 1 << 20

// StoreFaults are the faults injected into a Store.
type StoreFaults struct {
	// Down makes every call fail and ends every watch.
	Down bool `json:"down"`
	// SlowMS is the delay added to every call, in milliseconds.
	SlowMS int `json:"slow"`
	// LoseResponseShare is the share (0 to 1) of transactions whose connection is
	// closed after the transaction took effect and before the response is sent.
	LoseResponseShare float64 `json:"lose"`
	// StallWatches makes watches deliver no events while their connections stay open.
	StallWatches bool `json:"silent"`
	// ExpireLeases makes all leases expire when the faults are set.
	ExpireLeases bool `json:"lapse"`
	// MaxCallsPerSecond is the limit on calls per second; calls above it fail. 0
	// means no limit.
	MaxCallsPerSecond int `json:"rate"`
}

// StoreCounts counts the calls to a Store since it was created. OpenWatches is
// the number of watches that are open now.
type StoreCounts struct {
	Reads       int `json:"reads"`
	Writes      int `json:"writes"`
	Watches     int `json:"watches"`
	Leases      int `json:"leases"`
	OpenWatches int `json:"waiting"`
}

// Store is an in-memory stand-in for the platform's store. It implements a
// subset of etcd's v3 JSON gateway and injects faults on request.
type Store struct {
	mu              sync.Mutex
	kvs             map[string]gtstore.EtcdKV
	revision        int64
	events          []gtstore.EtcdEvent     // the latest changes, in order of revision
	leaseExpiry     map[int64]time.Time     // by lease ID
	leaseTTL        map[int64]time.Duration // by lease ID
	lastLeaseID     int64
	faults          StoreFaults
	counts          StoreCounts
	rateWindowStart time.Time
	callsInWindow   int
	changed         chan struct{} // closed and replaced at each change
}

// StoreSnapshot is a copy of a Store's data, taken by Snapshot and loaded by
// Restore.
type StoreSnapshot struct {
	kvs      map[string]gtstore.EtcdKV
	revision int64
}

// Handler returns a handler for the gateway's paths, /admin/faults and
// /admin/counts.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", callHandler(s, s.readRange))
	mux.HandleFunc("POST /v3/kv/txn", callHandler(s, s.execTxn))
	mux.HandleFunc("POST /v3/lease/grant", callHandler(s, s.grantLease))
	mux.HandleFunc("POST /v3/lease/keepalive", callHandler(s, s.keepAliveLease))
	mux.HandleFunc("POST /v3/lease/revoke", callHandler(s, s.revokeLease))
	mux.HandleFunc("POST /v3/watch", s.serveWatch)
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f StoreFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s.Counts()) })
	return mux
}

// SetFaults replaces the injected faults; the zero value of StoreFaults clears
// them.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.ExpireLeases {
		clear(s.leaseExpiry)
		s.expireLeases(time.Now())
	}
	s.notifyWatchers()
}

// Counts returns the counts of the calls so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Snapshot returns a copy of the data.
func (s *Store) Snapshot() StoreSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := StoreSnapshot{kvs: map[string]gtstore.EtcdKV{}, revision: s.revision}
	for k, v := range s.kvs {
		snapshot.kvs[k] = v
	}
	return snapshot
}

// CountKeys returns the number of keys that begin with prefix.
func (s *Store) CountKeys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.keysInRange(prefix, gtstore.PrefixEnd(prefix)))
}

// Restore replaces the data with an older copy, as when a store is restored
// from a backup. Revisions continue from the highest one used so far. Past
// events are dropped, and watches get no events for the restored data.
func (s *Store) Restore(snapshot StoreSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kvs = map[string]gtstore.EtcdKV{}
	s.revision++
	for k, v := range snapshot.kvs {
		v.ModRevision = s.revision
		s.kvs[k] = v
	}
	s.events = nil
	s.notifyWatchers()
}

// notifyWatchers wakes up the watches. The caller holds s.mu.
func (s *Store) notifyWatchers() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// admitCall counts a call, delays it as the faults require and reports whether
// it may proceed. It also returns the faults that apply to the call.
func (s *Store) admitCall(count func(*StoreCounts)) (StoreFaults, bool) {
	s.mu.Lock()
	count(&s.counts)
	f := s.faults
	now := time.Now()
	if now.Sub(s.rateWindowStart) > time.Second {
		s.rateWindowStart, s.callsInWindow = now, 0
	}
	s.callsInWindow++
	overRate := f.MaxCallsPerSecond > 0 && s.callsInWindow > f.MaxCallsPerSecond
	s.mu.Unlock()
	if f.SlowMS > 0 {
		<-time.After(time.Duration(f.SlowMS) * time.Millisecond)
	}
	return f, !f.Down && !overRate
}

// callFunc executes a decoded call. It returns false if the store rejects the
// call as invalid.
type callFunc[In, Out any] func(in In) (Out, bool)

// callHandler returns a handler that decodes a call, injects faults, executes
// the call with fn and encodes the result.
func callHandler[In, Out any](s *Store, fn callFunc[In, Out]) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		isWrite := strings.HasSuffix(r.URL.Path, "txn")
		f, ok := s.admitCall(func(c *StoreCounts) {
			switch {
			case isWrite:
				c.Writes++
			case strings.Contains(r.URL.Path, "lease"):
				c.Leases++
			default:
				c.Reads++
			}
		})
		if !ok {
			http.Error(w, `{"error":"unavailable","code":14}`, http.StatusServiceUnavailable)
			return
		}
		var in In
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 8<<20)).Decode(&in); err != nil {
			http.Error(w, fmt.Sprintf(`{"error":%q,"code":3}`, err), http.StatusBadRequest)
			return
		}
		out, ok := fn(in)
		if !ok {
			http.Error(w, `{"error":"refused","code":3}`, http.StatusBadRequest)
			return
		}
		if isWrite && rand.Float64() < f.LoseResponseShare {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(out)
	}
}

func (s *Store) readRange(in gtstore.EtcdRange) (gtstore.EtcdRangeResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	out := gtstore.EtcdRangeResponse{Header: gtstore.EtcdHeader{Revision: s.revision}}
	for _, k := range s.keysInRange(string(in.Key), string(in.RangeEnd)) {
		out.KVs = append(out.KVs, s.kvs[k])
	}
	return out, true
}

// keysInRange returns the keys from key up to end, sorted; see inRange. The
// caller holds s.mu.
func (s *Store) keysInRange(key, end string) []string {
	var keys []string
	for k := range s.kvs {
		if inRange(k, key, end) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// inRange reports whether k lies in the range [key, end), by etcd's rules: with
// an empty end it holds only key, and with an end of "\x00" it has no upper
// bound.
func inRange(k, key, end string) bool {
	if end == "" {
		return k == key
	}
	return k >= key && (end == "\x00" || k < end)
}

// execTxn applies the operations of a transaction if each compared key has the
// expected revision. It rejects a transaction with more than 128 operations or
// with a value larger than maxValueBytes.
func (s *Store) execTxn(in gtstore.EtcdTxnRequest) (gtstore.EtcdTxnResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	if len(in.Success) > 128 {
		return gtstore.EtcdTxnResponse{}, false
	}
	for _, op := range in.Success {
		if op.Put != nil && len(op.Put.Value) > maxValueBytes {
			return gtstore.EtcdTxnResponse{}, false
		}
	}
	out := gtstore.EtcdTxnResponse{Succeeded: true}
	for _, c := range in.Compare {
		if s.kvs[string(c.Key)].ModRevision != c.ModRevision {
			out.Succeeded = false
		}
	}
	if out.Succeeded && len(in.Success) > 0 {
		s.revision++
		for _, op := range in.Success {
			s.applyOp(op)
		}
		s.notifyWatchers()
	}
	out.Header.Revision = s.revision
	return out, true
}

// applyOp executes one operation at the current revision. The caller holds s.mu.
func (s *Store) applyOp(op gtstore.EtcdOp) {
	if s.kvs == nil {
		s.kvs = map[string]gtstore.EtcdKV{}
	}
	if op.Put != nil {
		kv := gtstore.EtcdKV{Key: op.Put.Key, Value: op.Put.Value, ModRevision: s.revision, Lease: op.Put.Lease}
		s.kvs[string(op.Put.Key)] = kv
		s.events = append(s.events, gtstore.EtcdEvent{KV: kv})
	}
	if op.Delete != nil {
		for _, k := range s.keysInRange(string(op.Delete.Key), string(op.Delete.RangeEnd)) {
			s.removeKey(k)
		}
	}
	if len(s.events) > 4096 {
		s.events = slices.Clone(s.events[2048:])
	}
}

// removeKey deletes a key and records the event. The caller holds s.mu.
func (s *Store) removeKey(k string) {
	delete(s.kvs, k)
	s.events = append(s.events, gtstore.EtcdEvent{Type: "DELETE", KV: gtstore.EtcdKV{Key: []byte(k), ModRevision: s.revision}})
}
