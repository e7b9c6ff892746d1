// Package mwshard provides generic sharded containers for the state of the
// system, so that goroutines that work on different keys rarely share a lock.
package mwshard

import (
	"hash/maphash"
	"sync"
)

// Map is a map split into shards with a lock each, so that calls with different
// keys rarely wait for each other. A function passed to one of its methods,
// except Range, runs under the lock of one shard: it must not block, do I/O or
// use the same Map. No method holds the locks of two shards at once.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards []shard[K, V]
}

type shard[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]V
	_  [cacheLine]byte // Keeps the locks of adjacent shards on separate cache lines.
}

// cacheLine is the size of a cache line in bytes.
const cacheLine = 64

// DefaultShards is the number of shards for state shared by all calls of a node.
const DefaultShards = 32

// New returns a Map of n shards, or of DefaultShards if n is below 1.
func New[K comparable, V any](n int) *Map[K, V] {
	if n < 1 {
		n = DefaultShards
	}
	m := &Map[K, V]{seed: maphash.MakeSeed(), shards: make([]shard[K, V], n)}
	for i := range m.shards {
		m.shards[i].m = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) shard(k K) *shard[K, V] {
	h := maphash.Comparable(m.seed, k)
	return &m.shards[h%uint64(len(m.shards))]
}

// Get returns the value of k and whether it exists.
func (m *Map[K, V]) Get(k K) (V, bool) {
	s := m.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.m[k]
	return v, ok
}

// Set sets the value of k to v.
func (m *Map[K, V]) Set(k K, v V) {
	s := m.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m[k] = v
}

// GetOrSet returns the value of k. If there is none, it sets k to the result of
// f and returns that.
func (m *Map[K, V]) GetOrSet(k K, f func() V) V {
	s := m.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.m[k]; ok {
		return v
	}
	v := f()
	s.m[k] = v
	return v
}

// Update replaces the value of k by the first result of f, which gets the
// present value and whether it exists. If the second result of f is false,
// Update deletes k.
func (m *Map[K, V]) Update(k K, f func(v V, ok bool) (V, bool)) {
	s := m.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.m[k]
	v, keep := f(v, ok)
	if !keep {
		delete(s.m, k)
		return
	}
	s.m[k] = v
}

// Delete deletes k and returns the value it had and whether it existed.
func (m *Map[K, V]) Delete(k K) (V, bool) {
	s := m.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.m[k]
	delete(s.m, k)
	return v, ok
}

// Len returns the number of keys; it is exact only without concurrent changes.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		n += len(s.m)
		s.mu.Unlock()
	}
	return n
}

// DeleteFunc deletes each key for which f returns true, one shard at a time.
func (m *Map[K, V]) DeleteFunc(f func(K, V) bool) {
	for i := range m.shards {
		m.shards[i].deleteFunc(f)
	}
}

func (s *shard[K, V]) deleteFunc(f func(K, V) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, v := range s.m {
		if f(k, v) {
			delete(s.m, k)
		}
	}
}

// Range calls f for each key, one shard at a time, until f returns false. It
// iterates over a copy of each shard, so f may block or use m.
func (m *Map[K, V]) Range(f func(K, V) bool) {
	for i := range m.shards {
		for _, p := range m.shards[i].copy() {
			if !f(p.k, p.v) {
				return
			}
		}
	}
}

type pair[K comparable, V any] struct {
	k K
	v V
}

func (s *shard[K, V]) copy() []pair[K, V] {
	s.mu.Lock()
	defer s.mu.Unlock()
	ps := make([]pair[K, V], 0, len(s.m))
	for k, v := range s.m {
		ps = append(ps, pair[K, V]{k, v})
	}
	return ps
}
