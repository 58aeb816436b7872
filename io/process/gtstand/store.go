// Package gtstand holds stand-ins for what surrounds the system: the
// platform's store, and a backend server. They serve tests, measurements and
// trials by hand, and bring about on demand what fails in the field.
//
// # Usage
//
//	store := &gtstand.Store{}
//	go http.Serve(listener, store.Handler())
//	store.Fail(gtstand.StoreFaults{Down: true})
//
//	backend := &gtstand.Backend{Name: "b1", Slots: 10}
//	go backend.Run(ctx, listener)
package gtstand

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

// maxStoreValue is the largest value that the store takes, in bytes.
const maxStoreValue = 1 << 20

// StoreFaults is what is wrong with the store.
type StoreFaults struct {
	// Down makes every call fail and every watch end.
	Down bool `json:"down"`
	// Slow delays every call by so many milliseconds.
	Slow int `json:"slow"`
	// Lose is the share of transactions whose answer is lost after the write
	// took effect.
	Lose float64 `json:"lose"`
	// Silent makes watches say nothing, without ending them.
	Silent bool `json:"silent"`
	// Lapse ends all leases at once.
	Lapse bool `json:"lapse"`
	// Rate is the most calls a second; 0 means no limit.
	Rate int `json:"rate"`
}

// StoreCounts counts the calls that the store has had.
type StoreCounts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Leases  int `json:"leases"`
	Waiting int `json:"waiting"`
}

// Store is a stand-in for the platform's store: a subset of the etcd v3 JSON
// gateway, with faults on demand.
type Store struct {
	mu       sync.Mutex
	kvs      map[string]gtstore.EtcdKV
	rev      int64
	history  []gtstore.EtcdEvent
	leases   map[int64]time.Time
	ttl      map[int64]time.Duration
	nextID   int64
	faults   StoreFaults
	counts   StoreCounts
	window   time.Time
	inWindow int
	changed  chan struct{}
}

// StoreImage is a copy of what a store holds, to bring back old data with.
type StoreImage struct {
	kvs map[string]gtstore.EtcdKV
	rev int64
}

// Handler serves the gateway, and /admin/faults and /admin/counts.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", call(s, s.rangeKeys))
	mux.HandleFunc("POST /v3/kv/txn", call(s, s.txn))
	mux.HandleFunc("POST /v3/lease/grant", call(s, s.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", call(s, s.keep))
	mux.HandleFunc("POST /v3/lease/revoke", call(s, s.revoke))
	mux.HandleFunc("POST /v3/watch", s.watch)
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f StoreFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Fail(f)
	})
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s.Counts()) })
	return mux
}

// Fail sets what is wrong with the store.
func (s *Store) Fail(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Lapse {
		clear(s.leases)
		s.expire(time.Now())
	}
	s.wake()
}

// Counts returns the calls so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Image returns a copy of the data.
func (s *Store) Image() StoreImage {
	s.mu.Lock()
	defer s.mu.Unlock()
	img := StoreImage{kvs: map[string]gtstore.EtcdKV{}, rev: s.rev}
	for k, v := range s.kvs {
		img.kvs[k] = v
	}
	return img
}

// Len returns the number of keys that begin with prefix.
func (s *Store) Len(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.keys(prefix, gtstore.PrefixEnd(prefix)))
}

// Restore brings back old data, as after a loss. Revisions go on from the
// highest there was, and watches end.
func (s *Store) Restore(img StoreImage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kvs = map[string]gtstore.EtcdKV{}
	s.rev++
	for k, v := range img.kvs {
		v.ModRevision = s.rev
		s.kvs[k] = v
	}
	s.history = nil
	s.wake()
}

func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// admit counts a call and lets the faults have their way with it.
func (s *Store) admit(count func(*StoreCounts)) (StoreFaults, bool) {
	s.mu.Lock()
	count(&s.counts)
	f := s.faults
	now := time.Now()
	if now.Sub(s.window) > time.Second {
		s.window, s.inWindow = now, 0
	}
	s.inWindow++
	over := f.Rate > 0 && s.inWindow > f.Rate
	s.mu.Unlock()
	if f.Slow > 0 {
		<-time.After(time.Duration(f.Slow) * time.Millisecond)
	}
	return f, !f.Down && !over
}

type storeCall[In, Out any] func(in In) (Out, bool)

func call[In, Out any](s *Store, fn storeCall[In, Out]) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		write := strings.HasSuffix(r.URL.Path, "txn")
		f, ok := s.admit(func(c *StoreCounts) {
			switch {
			case write:
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
		if write && rand.Float64() < f.Lose {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(out)
	}
}

func (s *Store) rangeKeys(in gtstore.EtcdRange) (gtstore.EtcdRangeAnswer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	out := gtstore.EtcdRangeAnswer{Header: gtstore.EtcdHeader{Revision: s.rev}}
	for _, k := range s.keys(string(in.Key), string(in.RangeEnd)) {
		out.KVs = append(out.KVs, s.kvs[k])
	}
	return out, true
}

func (s *Store) keys(key, end string) []string {
	var keys []string
	for k := range s.kvs {
		if inRange(k, key, end) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func inRange(k, key, end string) bool {
	if end == "" {
		return k == key
	}
	return k >= key && (end == "\x00" || k < end)
}

func (s *Store) txn(in gtstore.EtcdTxn) (gtstore.EtcdTxnAnswer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if len(in.Success) > 128 {
		return gtstore.EtcdTxnAnswer{}, false
	}
	for _, op := range in.Success {
		if op.Put != nil && len(op.Put.Value) > maxStoreValue {
			return gtstore.EtcdTxnAnswer{}, false
		}
	}
	out := gtstore.EtcdTxnAnswer{Succeeded: true}
	for _, c := range in.Compare {
		if s.kvs[string(c.Key)].ModRevision != c.ModRevision {
			out.Succeeded = false
		}
	}
	if out.Succeeded && len(in.Success) > 0 {
		s.rev++
		for _, op := range in.Success {
			s.apply(op)
		}
		s.wake()
	}
	out.Header.Revision = s.rev
	return out, true
}

func (s *Store) apply(op gtstore.EtcdOp) {
	if s.kvs == nil {
		s.kvs = map[string]gtstore.EtcdKV{}
	}
	if op.Put != nil {
		kv := gtstore.EtcdKV{Key: op.Put.Key, Value: op.Put.Value, ModRevision: s.rev, Lease: op.Put.Lease}
		s.kvs[string(op.Put.Key)] = kv
		s.history = append(s.history, gtstore.EtcdEvent{KV: kv})
	}
	if op.Delete != nil {
		for _, k := range s.keys(string(op.Delete.Key), string(op.Delete.RangeEnd)) {
			s.remove(k)
		}
	}
	if len(s.history) > 4096 {
		s.history = slices.Clone(s.history[2048:])
	}
}

func (s *Store) remove(k string) {
	delete(s.kvs, k)
	s.history = append(s.history, gtstore.EtcdEvent{Type: "DELETE", KV: gtstore.EtcdKV{Key: []byte(k), ModRevision: s.rev}})
}
