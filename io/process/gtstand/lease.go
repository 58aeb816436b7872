package gtstand

import (
	"time"

	"godwittide/io/process/gtstore"
)

func (s *Store) grant(in gtstore.EtcdLease) (gtstore.EtcdLease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		s.leases, s.ttl = map[int64]time.Time{}, map[int64]time.Duration{}
	}
	s.nextID++
	ttl := time.Duration(in.TTL) * time.Second
	s.leases[s.nextID], s.ttl[s.nextID] = time.Now().Add(ttl), ttl
	return gtstore.EtcdLease{ID: s.nextID, TTL: in.TTL}, true
}

func (s *Store) keep(in gtstore.EtcdLease) (gtstore.EtcdKept, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if _, ok := s.leases[in.ID]; !ok {
		return gtstore.EtcdKept{}, true
	}
	s.leases[in.ID] = time.Now().Add(s.ttl[in.ID])
	return gtstore.EtcdKept{Result: gtstore.EtcdLease{ID: in.ID, TTL: int64(s.ttl[in.ID] / time.Second)}}, true
}

func (s *Store) revoke(in gtstore.EtcdLease) (gtstore.EtcdLease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, in.ID)
	s.expire(time.Now())
	return gtstore.EtcdLease{}, true
}

// expire removes the keys of leases that have lapsed.
func (s *Store) expire(now time.Time) {
	for id, at := range s.leases {
		if now.After(at) {
			delete(s.leases, id)
		}
	}
	for k, kv := range s.kvs {
		if _, ok := s.leases[kv.Lease]; kv.Lease != 0 && !ok {
			s.rev++
			s.remove(k)
		}
	}
}
