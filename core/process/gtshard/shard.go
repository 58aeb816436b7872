// Package gtshard holds state that many threads share: a map cut into shards,
// each under its own lock, so that threads with different keys seldom wait for
// each other.
//
// # Usage
//
//	var peers gtshard.Map[peer]
//	peers.Do("i-1", func(m map[string]peer) { m["i-1"] = peer{} })
//	peers.Each(func(m map[string]peer) { ... })
//
// The function runs under the shard's lock: it must be short and must not
// call back into the same map.
package gtshard

import (
	"hash/fnv"
	"sync"
)

// Count is the number of shards in a Map.
const Count = 32

// Map is a sharded map from string keys to values of type V. The zero value
// is ready for use.
type Map[V any] struct {
	shards [Count]shard[V]
}

type shard[V any] struct {
	mu sync.Mutex
	m  map[string]V
}

// Do runs fn on the shard that holds key, under that shard's lock.
func (m *Map[V]) Do(key string, fn func(map[string]V)) {
	m.DoAt(Index(key), fn)
}

// DoAt runs fn on shard i (0 to Count-1), under that shard's lock.
func (m *Map[V]) DoAt(i int, fn func(map[string]V)) {
	s := &m.shards[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = map[string]V{}
	}
	fn(s.m)
}

// Each runs fn on every shard in turn, under one shard's lock at a time.
func (m *Map[V]) Each(fn func(map[string]V)) {
	for i := range m.shards {
		m.DoAt(i, fn)
	}
}

// Get returns the value of key and whether there is one.
func (m *Map[V]) Get(key string) (V, bool) {
	var v V
	var ok bool
	m.Do(key, func(s map[string]V) { v, ok = s[key] })
	return v, ok
}

// Len returns the number of keys in all shards.
func (m *Map[V]) Len() int {
	n := 0
	m.Each(func(s map[string]V) { n += len(s) })
	return n
}

// Index returns the number of the shard that holds key.
func Index(key string) int {
	return int(Hash(key) % Count)
}

// Hash returns a 64-bit hash of the parts, the same in every process. Parts
// are separated, so that ("a", "bc") and ("ab", "c") differ.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix spreads the weak low bits of FNV over the whole word.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
