package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is a key of the store, or its deletion, as it is encoded on the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease with its TTL and the time at which it ends.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md
// describes it. It has a history of 20 s and never fails by itself.
type store struct {
	mu      sync.Mutex
	rev     int64
	oldest  int64 // a watch can't continue from before this revision
	items   map[string]item
	events  []event
	leases  map[int64]*lease
	changed chan struct{}
	cut     chan struct{}
	handler http.Handler
	doors   []*door
	// onRead, if set, is called with each page of the operator's keys that is read: the
	// key that it begins after, the revision and the items.
	onRead  func(after string, rev int64, items []item)
	latency atomic.Int64 // of each answer, in nanoseconds
}

type event struct {
	item
	at time.Time
}

const (
	history = 20 * time.Second
	// maxPageItems and maxPageBytes bound a page of a range.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// storeLatency is the latency of an answer, and slowLatency that of a slow store.
	storeLatency = 4 * time.Millisecond
	slowLatency  = 50 * storeLatency
)

func newStore() *store {
	s := &store{rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), cut: make(chan struct{})}
	s.latency.Store(int64(storeLatency))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.call(s.readKey))
	mux.HandleFunc("GET /kv-range", s.call(s.readRange))
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.call(s.commit))
	mux.HandleFunc("POST /kv-lease", s.call(s.grant))
	mux.HandleFunc("POST /kv-keep/{id}", s.call(s.keep))
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.call(s.endLease))
	s.handler = mux
	return s
}

// door is an address of the store for one machine.
type door struct {
	net.Listener
	away      atomic.Bool  // the store answers 503 to this machine
	lastWatch atomic.Int64 // when the machine last watched the operator's keys, in Unix milliseconds
}

// door opens an address of the store for one machine.
func (s *store) door() (*door, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{Listener: ln}
	s.doors = append(s.doors, d)
	go func() {
		_ = http.Serve(d, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/kv-watch" && r.URL.Query().Get("prefix") == "op/" {
				d.lastWatch.Store(time.Now().UnixMilli())
			}
			if d.away.Load() {
				reply(w, http.StatusServiceUnavailable, nil)
				return
			}
			s.handler.ServeHTTP(&doorWriter{ResponseWriter: w, door: d, store: s}, r)
		}))
	}()
	return d, nil
}

// watchPeriod is the longest time between two watches of a node that watches the store.
const watchPeriod = 4500 * time.Millisecond

// isWatched reports whether the machine watches the store.
func (d *door) isWatched() bool {
	return time.Since(time.UnixMilli(d.lastWatch.Load())) < watchPeriod
}

// doorWriter delays an answer by the latency of the store, and replaces it by 503 if its
// machine has been turned away while the call was waiting.
type doorWriter struct {
	http.ResponseWriter
	store *store
	door  *door
	late  bool
}

// WriteHeader writes the status, or 503 while the machine is turned away.
func (w *doorWriter) WriteHeader(code int) {
	if w.late = w.door.away.Load(); w.late {
		code = http.StatusServiceUnavailable
	}
	w.ResponseWriter.WriteHeader(code)
}

// Write drops the body of an answer that WriteHeader has replaced.
func (w *doorWriter) Write(b []byte) (int, error) {
	if w.late {
		return len(b), nil
	}
	return w.ResponseWriter.Write(b)
}

// discardHistory discards the history up to now, and cuts the watches that are waiting.
func (s *store) discardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++ // of another key than those that are watched
	s.oldest = s.rev
	close(s.cut)
	s.cut = make(chan struct{})
}

// put writes a key as the operator. It returns when the write is acknowledged.
func (s *store) put(key string, value any) time.Time {
	b, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, b, 0)
	s.notify()
	return time.Now()
}

func (s *store) write(key string, value []byte, leaseID int64) {
	i := item{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, event{i, time.Now()})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, event{item{Key: key, Revision: s.rev, Deleted: true}, time.Now()})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended, and old history. The caller
// holds the lock.
func (s *store) expire() {
	now := time.Now()
	for key, i := range s.items {
		if l := s.leases[i.Lease]; i.Lease != 0 && (l == nil || now.After(l.end)) {
			s.rev++
			s.remove(key)
			s.notify()
		}
	}
	for len(s.events) > 0 && now.Sub(s.events[0].at) > history {
		s.oldest = s.events[0].Revision
		s.events = s.events[1:]
	}
}

// reply writes the answer to a call whose effect is already in force.
func reply(w http.ResponseWriter, code int, body any) {
	if d, ok := w.(*doorWriter); ok {
		time.Sleep(time.Duration(d.store.latency.Load()))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// call returns a handler that runs fn under the lock and replies with its result.
func (s *store) call(fn func(r *http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.expire()
		code, body := fn(r)
		s.mu.Unlock()
		reply(w, code, body)
	}
}

func (s *store) readKey(r *http.Request) (int, any) {
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, map[string]any{"currentRev": s.rev}
	}
	return http.StatusOK, struct {
		item
		CurrentRev int64 `json:"currentRev"`
	}{i, s.rev}
}

func (s *store) readRange(r *http.Request) (int, any) {
	q := r.URL.Query()
	keys := []string{}
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	list, size := []item{}, 0
	for _, k := range keys {
		size += base64.StdEncoding.EncodedLen(len(s.items[k].Value)) + len(k)
		if len(list) > 0 && size > maxPageBytes || len(list) == maxPageItems {
			break
		}
		list = append(list, s.items[k])
	}
	if s.onRead != nil && q.Get("prefix") == "op/" {
		s.onRead(q.Get("after"), s.rev, list)
	}
	return http.StatusOK, map[string]any{"items": list, "hasMore": len(list) < len(keys), "currentRev": s.rev}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		changed, cut, rev, discarded := s.changed, s.cut, s.rev, after < s.oldest
		found := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				found = append(found, e.item)
			}
		}
		s.mu.Unlock()
		if discarded {
			reply(w, http.StatusGone, nil)
			return
		}
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": found, "currentRev": rev})
			return
		}
	}
}

func (s *store) commit(r *http.Request) (int, any) {
	var t struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expect)+len(t.Puts)+len(t.Deletes) > 32 {
		return http.StatusBadRequest, nil
	}
	current, same := []item{}, true
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		same = same && i.Revision == e.Revision
	}
	if !same {
		return http.StatusPreconditionFailed, map[string]any{"items": current, "currentRev": s.rev}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Deletes {
		s.remove(k)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.rev}
}

func (s *store) grant(r *http.Request) (int, any) {
	var in struct {
		TTL string `json:"ttl_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	ttl, err := time.ParseDuration(in.TTL)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	ttl = min(max(ttl, time.Second), 10*time.Minute)
	id := int64(len(s.leases) + 1)
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": id, "ttl_time": strconv.FormatInt(ttl.Milliseconds(), 10) + "ms"}
}

func (s *store) keep(r *http.Request) (int, any) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	l := s.leases[id]
	if l == nil || time.Now().After(l.end) {
		return http.StatusNotFound, nil
	}
	l.end = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{}
}

func (s *store) endLease(r *http.Request) (int, any) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if l := s.leases[id]; l != nil {
		l.end = time.Time{}
	}
	s.expire()
	return http.StatusOK, map[string]any{}
}
