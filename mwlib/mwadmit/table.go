package mwadmit

import (
	"maps"
	"sync"
	"sync/atomic"

	"mustardwheel.example/mwlib/mwid"
)

// table holds one gate G for each service. It is read with each call and
// written when a backend server announces a service for the first time, so
// that readers take no lock: a writer puts a copy in place.
type table[G any] struct {
	mu sync.Mutex // mu is for writers.
	m  atomic.Pointer[map[mwid.ServiceName]G]
}

func newTable[G any]() *table[G] {
	t := &table[G]{}
	t.m.Store(&map[mwid.ServiceName]G{})
	return t
}

// get returns the gate of s, where there is one.
func (t *table[G]) get(s mwid.ServiceName) (G, bool) {
	g, ok := (*t.m.Load())[s]
	return g, ok
}

// getOrSet returns the gate of s, or makes it with f and tells that it is
// fresh.
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
