// Package mwregistry holds the generic registry through which plug-ins
// register themselves with the kernel's extension points.
package mwregistry

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"mustardwheel.example/mwlib/mwcode"
)

// Name is the name by which settings pick a plug-in.
type Name string

// Cleanup ends what a constructor started; it returns when all is ended.
type Cleanup func()

// Factory makes one instance of a plug-in from its environment.
type Factory[E, T any] func(env E) (T, Cleanup, error)

// Registry keeps the factories of one extension point. Plug-ins add
// themselves from the init function of their package, so that a program
// chooses its plug-ins by what it imports.
type Registry[E, T any] struct {
	point string
	mu    sync.Mutex
	m     map[Name]Factory[E, T]
}

// New returns an empty Registry for the extension point named point.
func New[E, T any](point string) *Registry[E, T] {
	return &Registry[E, T]{point: point, m: make(map[Name]Factory[E, T])}
}

// Register adds f under n. It panics where n is taken: two plug-ins of one
// name are a mistake of the program, seen at its start.
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

// Make makes the plug-in named n from env. An unknown name gives
// mwcode.UnknownPlugin.
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
