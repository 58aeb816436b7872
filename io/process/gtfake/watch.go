package gtfake

import (
	"encoding/json"
	"net/http"

	"godwittide/io/process/gtstore"
)

// serveWatch streams the events of a key range until the caller disconnects or
// eventsSince ends the watch.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var in gtstore.EtcdWatchRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, ok := s.admitCall(func(c *StoreCounts) { c.Watches++; c.OpenWatches++ }); !ok {
		s.watchEnded()
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	defer s.watchEnded()
	next := in.Create.StartRevision
	out := gtstore.EtcdWatchResponse{}
	out.Result.Created = true
	for {
		_ = json.NewEncoder(w).Encode(out)
		w.(http.Flusher).Flush()
		events, changed, ended := s.eventsSince(in.Create, &next)
		for len(events) == 0 && !ended {
			select {
			case <-r.Context().Done():
				return
			case <-changed:
			}
			events, changed, ended = s.eventsSince(in.Create, &next)
		}
		if ended {
			return
		}
		out = gtstore.EtcdWatchResponse{}
		out.Result.Events = events
	}
}

func (s *Store) watchEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.OpenWatches--
}

// eventsSince returns the watch's events from revision next on and advances
// next past them. While watches are stalled it returns none. The channel is
// closed at the next change to the store. The bool is true if the watch has to
// end: the store is down, or next is a revision that the store hasn't reached.
func (s *Store) eventsSince(c gtstore.EtcdWatchCreate, next *int64) ([]gtstore.EtcdEvent, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if s.faults.Down || *next > s.revision+1 {
		return nil, s.changed, true
	}
	if s.faults.StallWatches {
		return nil, s.changed, false
	}
	var events []gtstore.EtcdEvent
	for _, e := range s.events {
		if e.KV.ModRevision >= *next && inRange(string(e.KV.Key), string(c.Key), string(c.RangeEnd)) {
			events = append(events, e)
		}
	}
	*next = s.revision + 1
	return events, s.changed, false
}
