package gtstand

import (
	"encoding/json"
	"net/http"

	"godwittide/io/process/gtstore"
)

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	var in gtstore.EtcdWatch
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, ok := s.admit(func(c *StoreCounts) { c.Watches++; c.Waiting++ }); !ok {
		s.endWatch()
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	defer s.endWatch()
	next := in.Create.StartRevision
	out := gtstore.EtcdWatchResult{}
	out.Result.Created = true
	for {
		_ = json.NewEncoder(w).Encode(out)
		w.(http.Flusher).Flush()
		events, wait, gone := s.since(in.Create, &next)
		for len(events) == 0 && !gone {
			select {
			case <-r.Context().Done():
				return
			case <-wait:
			}
			events, wait, gone = s.since(in.Create, &next)
		}
		if gone {
			return
		}
		out = gtstore.EtcdWatchResult{}
		out.Result.Events = events
	}
}

func (s *Store) endWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Waiting--
}

// since returns the events from revision next on, and says whether the watch
// has to end.
func (s *Store) since(c gtstore.EtcdWatchCreate, next *int64) ([]gtstore.EtcdEvent, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if s.faults.Down || *next > s.rev+1 {
		return nil, s.changed, true
	}
	if s.faults.Silent {
		return nil, s.changed, false
	}
	var events []gtstore.EtcdEvent
	for _, e := range s.history {
		if e.KV.ModRevision >= *next && inRange(string(e.KV.Key), string(c.Key), string(c.RangeEnd)) {
			events = append(events, e)
		}
	}
	*next = s.rev + 1
	return events, s.changed, false
}
