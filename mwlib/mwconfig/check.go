package mwconfig

import (
	"fmt"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwlabel"
	"mustardwheel.example/mwlib/mwunit"
)

// problem describes one invalid field of a spec.
type problem struct {
	code     mwcode.Code
	field    string
	expected string
}

// MaxRetries is the maximum retry budget of a root call.
const MaxRetries mwunit.Attempts = 100

func badValue(field, expected string) problem {
	return problem{mwcode.BadValue, field, expected}
}

func checkLabels(s mwlabel.Set) []problem {
	if len(s) == 0 {
		return []problem{badValue("Labels", "at least one label")}
	}
	if _, ok := s[""]; ok {
		return []problem{badValue("Labels", "label names that are not empty")}
	}
	return nil
}

func (c *CallerLabel) check() []problem {
	ps := checkLabels(c.Labels)
	if len(c.Callers) == 0 {
		ps = append(ps, badValue("Callers", "at least one caller"))
	}
	return ps
}

func (t *RequestLabel) check() []problem {
	ps := checkLabels(t.Labels)
	if t.PathPrefix != "" && t.PathPrefix[0] != '/' {
		ps = append(ps, badValue("PathPrefix", `a path that starts with "/"`))
	}
	return ps
}

func (t *ServerLabel) check() []problem { return checkLabels(t.Labels) }

func (s *Selector) check() []problem {
	var ps []problem
	switch s.On {
	case OnCaller, OnRequest, OnServer:
	default:
		ps = append(ps, badValue("On", `"Caller", "Request" or "Server"`))
	}
	for i, t := range s.Terms {
		if t.Label == "" {
			ps = append(ps, badValue(fmt.Sprintf("Terms[%d].Label", i), "the name of a label"))
		}
	}
	return ps
}

func (p *Policy) check() []problem {
	var ps []problem
	if p.Importance != nil && (*p.Importance < 0 || *p.Importance > mwunit.MaxImportance) {
		ps = append(ps, badValue("Importance", fmt.Sprintf("0 to %d", mwunit.MaxImportance)))
	}
	switch p.Length {
	case LengthUnset, Short, Medium, Long:
	default:
		ps = append(ps, badValue("Length", `"Short", "Medium" or "Long"`))
	}
	if p.Retries != nil && (*p.Retries < 0 || *p.Retries > MaxRetries) {
		ps = append(ps, badValue("Retries", fmt.Sprintf("0 to %d", MaxRetries)))
	}
	if p.Deadline < 0 {
		ps = append(ps, badValue("Deadline", "a duration of at least 0s"))
	}
	if r := p.CallerRatio; r != nil && !(*r >= 0 && *r <= 1) {
		ps = append(ps, badValue("CallerRatio", "0 to 1"))
	}
	return append(ps, p.checkRetired()...)
}

func (p *Policy) checkRetired() []problem {
	r := p.Retired
	if r == nil {
		return nil
	}
	if r.Floor < 0 || r.Ceiling < 1 {
		return []problem{badValue("Retired", "a Floor of at least 0 and a Ceiling of at least 1")}
	}
	if r.Floor > r.Ceiling {
		return []problem{{mwcode.ConflictingBounds, "Retired", "a Floor not above the Ceiling"}}
	}
	return nil
}
