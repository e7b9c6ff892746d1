package mwshard

import (
	"hash/maphash"
	"sync"
)

// Cache is a map of bounded size split into shards with a lock each. It is
// set-associative: each key has cacheWays places where it can be stored, and a
// new key replaces the least recently used one of them. All memory is allocated
// by NewCache.
type Cache[K comparable, V any] struct {
	seed   maphash.Seed
	shards []cacheShard[K, V]
}

type cacheShard[K comparable, V any] struct {
	mu    sync.Mutex
	clock uint64
	sets  [][cacheWays]cell[K, V]
	_     [cacheLine]byte // Keeps the locks of adjacent shards on separate cache lines.
}

// cell is one place; used is the value of the shard's clock at the last use of
// the place, or 0 if it is empty.
type cell[K comparable, V any] struct {
	used uint64
	k    K
	v    V
}

// cacheWays is the number of places where a key can be stored.
const cacheWays = 4

// NewCache returns an empty Cache for size keys. The size is rounded down to a
// multiple of DefaultShards*cacheWays, and is at least that product.
func NewCache[K comparable, V any](size int) *Cache[K, V] {
	c := &Cache[K, V]{seed: maphash.MakeSeed(), shards: make([]cacheShard[K, V], DefaultShards)}
	sets := max(1, size/DefaultShards/cacheWays)
	for i := range c.shards {
		c.shards[i].sets = make([][cacheWays]cell[K, V], sets)
	}
	return c
}

// locate returns the shard of k and the places within it where k can be stored.
func (c *Cache[K, V]) locate(k K) (*cacheShard[K, V], *[cacheWays]cell[K, V]) {
	h := maphash.Comparable(c.seed, k)
	n := uint64(len(c.shards))
	s := &c.shards[h%n]
	return s, &s.sets[h/n%uint64(len(s.sets))]
}

// Get returns the value of k and whether it exists.
func (c *Cache[K, V]) Get(k K) (v V, ok bool) {
	s, set := c.locate(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range set {
		if p := &set[i]; p.used > 0 && p.k == k {
			s.clock++
			p.used = s.clock
			return p.v, true
		}
	}
	return v, false
}

// Update replaces the value of k by the result of f, which gets the present
// value, or the zero value if there is none. It calls f under the lock of one
// shard.
func (c *Cache[K, V]) Update(k K, f func(V) V) {
	s, set := c.locate(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock++
	oldest := &set[0]
	for i := range set {
		p := &set[i]
		if p.used > 0 && p.k == k {
			p.v, p.used = f(p.v), s.clock
			return
		}
		if p.used < oldest.used {
			oldest = p
		}
	}
	var zero V
	*oldest = cell[K, V]{used: s.clock, k: k, v: f(zero)}
}
