package mwlabel

import "slices"

// Term is a condition on one label: its value must be one of In or, if In is
// empty, the label must be present. Not negates the condition.
type Term struct {
	Label Name
	In    []Value `json:",omitempty"`
	Not   bool    `json:",omitempty"`
}

// Matches reports whether s satisfies t.
func (t Term) Matches(s Set) bool {
	v, ok := s[t.Label]
	if ok && len(t.In) > 0 {
		ok = slices.Contains(t.In, v)
	}
	return ok != t.Not
}

// Selector matches the sets that satisfy all of its terms. A Selector without
// terms matches every set.
type Selector []Term

// Matches reports whether s satisfies every term of l.
func (l Selector) Matches(s Set) bool {
	for _, t := range l {
		if !t.Matches(s) {
			return false
		}
	}
	return true
}
