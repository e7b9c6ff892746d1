package mwconfig

import (
	"fmt"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwlabel"
)

// matcher is a selector with its references resolved. The zero matcher
// matches everything.
type matcher struct {
	terms mwlabel.Selector
	all   []matcher
	any   []matcher
	none  []matcher
}

func (m *matcher) matches(s mwlabel.Set) bool {
	if !m.terms.Matches(s) {
		return false
	}
	for i := range m.all {
		if !m.all[i].matches(s) {
			return false
		}
	}
	for i := range m.none {
		if m.none[i].matches(s) {
			return false
		}
	}
	if len(m.any) == 0 {
		return true
	}
	for i := range m.any {
		if m.any[i].matches(s) {
			return true
		}
	}
	return false
}

// resolver resolves selectors by name.
type resolver struct {
	selectors map[DocumentName]*Selector
	resolved  map[DocumentName]matcher
	resolving map[DocumentName]bool
}

func newResolver(docs []Document, specs []spec) *resolver {
	r := &resolver{
		selectors: make(map[DocumentName]*Selector),
		resolved:  make(map[DocumentName]matcher),
		resolving: make(map[DocumentName]bool),
	}
	for i, d := range docs {
		if s, ok := specs[i].(*Selector); ok {
			r.selectors[d.Name] = s
		}
	}
	return r
}

// resolve returns the matcher of the selector named n, which must group objects
// of the kind on. An error names field of document d as the reference to n.
func (r *resolver) resolve(d Document, field string, n DocumentName, on Subject) (matcher, error) {
	if n == "" {
		return matcher{}, nil
	}
	s, ok := r.selectors[n]
	if !ok || s.On != on {
		return matcher{}, mwcode.New(mwcode.UnknownSelector, mwcode.Field(d.path(field)),
			mwcode.Expected(fmt.Sprintf("an existing selector on %s, not %q", on, n)))
	}
	if m, ok := r.resolved[n]; ok {
		return m, nil
	}
	if r.resolving[n] {
		return matcher{}, mwcode.New(mwcode.SelectorCycle, mwcode.Field(d.path(field)),
			mwcode.Expected(fmt.Sprintf("no circle through %q", n)))
	}
	r.resolving[n] = true
	defer delete(r.resolving, n)
	m, err := r.build(d, s)
	if err == nil {
		r.resolved[n] = m
	}
	return m, err
}

func (r *resolver) build(d Document, s *Selector) (matcher, error) {
	m := matcher{terms: s.Terms}
	var err error
	if m.all, err = r.resolveList(d, "All", s.All, s.On); err != nil {
		return m, err
	}
	if m.any, err = r.resolveList(d, "Any", s.Any, s.On); err != nil {
		return m, err
	}
	m.none, err = r.resolveList(d, "None", s.None, s.On)
	return m, err
}

func (r *resolver) resolveList(d Document, field string, ns []DocumentName, on Subject) ([]matcher, error) {
	var ms []matcher
	for i, n := range ns {
		m, err := r.resolve(d, fmt.Sprintf("%s[%d]", field, i), n, on)
		if err != nil {
			return nil, err
		}
		ms = append(ms, m)
	}
	return ms, nil
}
