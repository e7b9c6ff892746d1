package mwlabel

import "slices"

// Term is one condition on one label: its value is one of In, or, where In
// is empty, the label is present. Not turns the condition round.
type Term struct {
	Label Name
	In    []Value `json:",omitempty"`
	Not   bool    `json:",omitempty"`
}

// Matches tells whether s meets t.
func (t Term) Matches(s Set) bool {
	v, ok := s[t.Label]
	if ok && len(t.In) > 0 {
		ok = slices.Contains(t.In, v)
	}
	return ok != t.Not
}

// Selector groups what meets all of its terms. The Selector without terms
// matches everything.
type Selector []Term

// Matches tells whether s meets every term of l.
func (l Selector) Matches(s Set) bool {
	for _, t := range l {
		if !t.Matches(s) {
			return false
		}
	}
	return true
}
