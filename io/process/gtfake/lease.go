package gtfake

import (
	"time"

	"godwittide/io/process/gtstore"
)

func (s *Store) grantLease(in gtstore.EtcdLease) (gtstore.EtcdLease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseExpiry == nil {
		s.leaseExpiry, s.leaseTTL = map[int64]time.Time{}, map[int64]time.Duration{}
	}
	s.lastLeaseID++
	ttl := time.Duration(in.TTL) * time.Second
	s.leaseExpiry[s.lastLeaseID], s.leaseTTL[s.lastLeaseID] = time.Now().Add(ttl), ttl
	return gtstore.EtcdLease{ID: s.lastLeaseID, TTL: in.TTL}, true
}

// keepAliveLease renews a lease. The response has no lease if it has expired.
func (s *Store) keepAliveLease(in gtstore.EtcdLease) (gtstore.EtcdKeepAliveResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	if _, ok := s.leaseExpiry[in.ID]; !ok {
		return gtstore.EtcdKeepAliveResponse{}, true
	}
	s.leaseExpiry[in.ID] = time.Now().Add(s.leaseTTL[in.ID])
	return gtstore.EtcdKeepAliveResponse{Result: gtstore.EtcdLease{ID: in.ID, TTL: int64(s.leaseTTL[in.ID] / time.Second)}}, true
}

// revokeLease ends a lease and deletes its keys.
func (s *Store) revokeLease(in gtstore.EtcdLease) (gtstore.EtcdLease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leaseExpiry, in.ID)
	s.expireLeases(time.Now())
	return gtstore.EtcdLease{}, true
}

// expireLeases ends the leases that have expired at now and deletes the keys of
// leases that no longer exist. The caller holds s.mu.
func (s *Store) expireLeases(now time.Time) {
	for id, expiry := range s.leaseExpiry {
		if now.After(expiry) {
			delete(s.leaseExpiry, id)
		}
	}
	for k, kv := range s.kvs {
		if _, ok := s.leaseExpiry[kv.Lease]; kv.Lease != 0 && !ok {
			s.revision++
			s.removeKey(k)
		}
	}
}
