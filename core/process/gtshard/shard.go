// Package gtshard provides a concurrent map divided into shards, each guarded by
// its own lock, which reduces contention between goroutines that use different
// keys.
//
// # Usage
//
//	var peers gtshard.Map[peer]
//	peers.Do("i-1", func(m map[string]peer) { m["i-1"] = peer{} })
//	peers.Each(func(m map[string]peer) { ... })
//
// The callback runs while the shard's lock is held: it must be short and must
// not call methods of the same map.
package gtshard

import (
	"hash"
	"hash/fnv"
	"sync"
)

// Count is the number of shards in a Map.
const Count = 32

// Map is a sharded map from string keys to values of type V. Its zero value is
// an empty map that is ready for use.
type Map[V any] struct {
	shards [Count]shard[V]
}

type shard[V any] struct {
	mu sync.Mutex
	m  map[string]V
}

// Do calls fn with the shard that holds key while holding that shard's lock.
func (m *Map[V]) Do(key string, fn func(map[string]V)) {
	m.DoAt(Index(key), fn)
}

// DoAt calls fn with shard i (0 to Count-1) while holding that shard's lock.
func (m *Map[V]) DoAt(i int, fn func(map[string]V)) {
	s := &m.shards[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = map[string]V{}
	}
	fn(s.m)
}

// Each calls fn with every shard in order. It locks one shard at a time, so the
// calls together see no consistent snapshot of the map.
func (m *Map[V]) Each(fn func(map[string]V)) {
	for i := range m.shards {
		m.DoAt(i, fn)
	}
}

// Get returns the value of key, and false if the map has no such key.
func (m *Map[V]) Get(key string) (V, bool) {
	var v V
	var ok bool
	m.Do(key, func(s map[string]V) { v, ok = s[key] })
	return v, ok
}

// Len returns the number of keys in the map. It locks one shard at a time.
func (m *Map[V]) Len() int {
	n := 0
	m.Each(func(s map[string]V) { n += len(s) })
	return n
}

// Index returns the index of the shard that holds key, from 0 to Count-1.
func Index(key string) int {
	return int(Hash(key) % Count)
}

// Hash returns a 64-bit hash of the parts that is the same in every process. A
// zero byte follows each part, so that ("a", "bc") and ("ab", "c") have different
// hashes.
func Hash(parts ...string) uint64 {
	return mix(hashParts(parts).Sum64())
}

// HashWith returns the hash that Hash returns for the parts and a last one, which is given in
// segments. It does not copy them.
func HashWith(last [][]byte, parts ...string) uint64 {
	h := hashParts(parts)
	for _, b := range last {
		_, _ = h.Write(b)
	}
	_, _ = h.Write([]byte{0})
	return mix(h.Sum64())
}

func hashParts(parts []string) hash.Hash64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return h
}

// mix applies the 64-bit finalizer of MurmurHash3, since the low bits of an FNV
// hash are poorly distributed.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
