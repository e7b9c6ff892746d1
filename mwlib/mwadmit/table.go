package mwadmit

import (
	"maps"
	"sync"
	"sync/atomic"

	"mustardwheel.example/mwlib/mwid"
)

// table maps each service to its gate G. Every call reads it, but it is written
// only when a backend server announces a service for the first time. Reads
// therefore take no lock: a write replaces the map with a modified copy.
type table[G any] struct {
	mu sync.Mutex // mu serializes writers.
	m  atomic.Pointer[map[mwid.ServiceName]G]
}

func newTable[G any]() *table[G] {
	t := &table[G]{}
	t.m.Store(&map[mwid.ServiceName]G{})
	return t
}

// get returns the gate of s, if there is one.
func (t *table[G]) get(s mwid.ServiceName) (G, bool) {
	g, ok := (*t.m.Load())[s]
	return g, ok
}

// getOrSet returns the gate of s. If there is none, it stores and returns the
// result of f, and fresh is true.
func (t *table[G]) getOrSet(s mwid.ServiceName, f func() G) (g G, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g, ok := t.get(s); ok {
		return g, false
	}
	m := maps.Clone(*t.m.Load())
	g = f()
	m[s] = g
	t.m.Store(&m)
	return g, true
}
