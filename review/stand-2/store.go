package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, as the platform encodes it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// txn is the body of a transaction.
type txn struct {
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

// pageItems is the number of items in a page of a range read.
const pageItems = 500

// store is a stand-in of the platform's store.
type store struct {
	address string

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	events  []item
	leases  map[int64]lease
	next    int64
	changed chan struct{}
}

// get returns the value of a key.
func (s *store) get(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return string(i.Value), ok
}

// startStore starts the store on a free loopback port.
func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), rev: 100, items: map[string]item{}, leases: map[int64]lease{}, next: 1000, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTxn)
	mux.HandleFunc("POST /kv-lease", s.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveLeaseEnd)
	go func() { _ = http.Serve(ln, mux) }()
	go s.expire()
	return s, nil
}

// put writes a key as the operator does.
func (s *store) put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.putLocked(key, text, 0)
	s.notifyLocked()
}

func (s *store) putLocked(key string, value []byte, leaseID int64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.rev, Created: created, Lease: leaseID}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *store) deleteLocked(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.rev, Deleted: true})
	}
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire deletes the keys of leases that have ended.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLocked(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.deleteLocked(key)
		}
	}
	s.notifyLocked()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]int64{"currentRev": rev})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		CurrentRev int64 `json:"currentRev"`
	}{i, rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	hasMore := len(list) > pageItems
	if hasMore {
		list = list[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": list, "hasMore": hasMore, "currentRev": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		isLate := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				isLate = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || isLate {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, now := true, []item{}
	for _, e := range t.Expect {
		i := s.items[e.Key]
		holds = holds && i.Revision == e.Revision
		now = append(now, i)
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Deletes {
		s.deleteLocked(key)
	}
	s.notifyLocked()
	reply(w, http.StatusOK, map[string]int64{"revision": s.rev})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var m map[string]string
	_ = json.NewDecoder(r.Body).Decode(&m)
	ttl, err := time.ParseDuration(m["ttl_time"])
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.leases[s.next] = lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.next, "ttl_time": m["ttl_time"]})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]string{"ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLocked(id)
	reply(w, http.StatusOK, map[string]string{})
}
