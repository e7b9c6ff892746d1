// Package mwregistry provides the generic registry with which plug-ins register
// themselves for the kernel's extension points.
package mwregistry

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"mustardwheel.example/mwlib/mwcode"
)

// Name is the name by which settings select a plug-in.
type Name string

// Cleanup stops what a Factory started. It returns when all of it has stopped.
type Cleanup func()

// Factory creates one instance of a plug-in from its environment.
type Factory[E, T any] func(env E) (T, Cleanup, error)

// Registry holds the factories of one extension point. Each plug-in registers
// itself in the init function of its package, so that a program chooses the
// available plug-ins by its imports.
type Registry[E, T any] struct {
	point string
	mu    sync.Mutex
	m     map[Name]Factory[E, T]
}

// New returns an empty Registry for the extension point named point.
func New[E, T any](point string) *Registry[E, T] {
	return &Registry[E, T]{point: point, m: make(map[Name]Factory[E, T])}
}

// Register adds f under the name n. It panics if n is already registered,
// because that is a programming error, which shows at the program's start.
func (r *Registry[E, T]) Register(n Name, f Factory[E, T]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.m[n]; ok {
		panic(fmt.Sprintf("mwregistry: %s %q is registered twice", r.point, n))
	}
	r.m[n] = f
}

// Names returns the registered names in ascending order.
func (r *Registry[E, T]) Names() []Name {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.m))
}

// Make creates the plug-in named n from env. If the name is unknown, the error
// has the code mwcode.UnknownPlugin.
func (r *Registry[E, T]) Make(n Name, env E) (T, Cleanup, error) {
	r.mu.Lock()
	f, ok := r.m[n]
	r.mu.Unlock()
	if !ok {
		var zero T
		return zero, nil, mwcode.New(mwcode.UnknownPlugin,
			mwcode.Field(r.point),
			mwcode.Expected(fmt.Sprintf("one of %q, not %q", r.Names(), n)))
	}
	return f(env)
}
