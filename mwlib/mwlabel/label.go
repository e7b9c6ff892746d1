// Package mwlabel defines labels and the selectors that match sets of them.
package mwlabel

// Name is the name of a label.
type Name string

// Value is the value of a label.
type Value string

// Set holds the labels of one caller, request or backend server.
type Set map[Name]Value

// Merge returns a Set with the labels of s and t; those of t take precedence.
func (s Set) Merge(t Set) Set {
	if len(t) == 0 {
		return s
	}
	if len(s) == 0 {
		return t
	}
	u := make(Set, len(s)+len(t))
	for n, v := range s {
		u[n] = v
	}
	for n, v := range t {
		u[n] = v
	}
	return u
}
