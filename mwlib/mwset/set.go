// Package mwset provides a small generic set.
package mwset

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of values. The zero value is an empty set that can only be read;
// use New for one that values can be added to.
type Set[T cmp.Ordered] map[T]struct{}

// New returns a Set of the values vs.
func New[T cmp.Ordered](vs ...T) Set[T] {
	s := make(Set[T], len(vs))
	for _, v := range vs {
		s.Add(v)
	}
	return s
}

// Add adds v to s.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Has reports whether v is in s.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values of s in ascending order.
func (s Set[T]) Sorted() []T { return slices.Sorted(maps.Keys(s)) }
