package mwcall

import "fmt"

// stateNames are the names of the states of targets.
var stateNames = []string{Up: "Up", Suspect: "Suspect", Leaving: "Leaving", Unreachable: "Unreachable"}

// String returns the name of s.
func (s TargetState) String() string { return stateNames[s] }

// MarshalText returns the name of s.
func (s TargetState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the name of a state.
func (s *TargetState) UnmarshalText(b []byte) error {
	for i, n := range stateNames {
		if n == string(b) {
			*s = TargetState(i)
			return nil
		}
	}
	return fmt.Errorf("mwcall: unknown target state %q", b)
}
