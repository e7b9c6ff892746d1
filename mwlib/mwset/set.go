// Package mwset holds a small generic set.
package mwset

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of values. The zero value is empty and may be read; use New
// or Add on a non-nil Set to fill it.
type Set[T cmp.Ordered] map[T]struct{}

// New returns a Set of vs.
func New[T cmp.Ordered](vs ...T) Set[T] {
	s := make(Set[T], len(vs))
	for _, v := range vs {
		s.Add(v)
	}
	return s
}

// Add puts v into s.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Has tells whether v is in s.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values of s in ascending order.
func (s Set[T]) Sorted() []T { return slices.Sorted(maps.Keys(s)) }
