package mwfakeserver

import (
	"strings"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// Class is the work behind one prefix of paths.
type Class struct {
	// Prefix is the start of the paths; the longest that fits counts.
	Prefix string
	// Time is the mean service time; single times differ by up to Jitter.
	Time time.Duration
	// Jitter is the greatest part of Time that is added or taken away.
	Jitter mwunit.Ratio
	// Body is the length of the answer's body.
	Body mwunit.Bytes
	// Streamed tells that the body goes out bit by bit during Time; else it
	// goes out at the end.
	Streamed bool
	// Stragglers is the part of the calls that take StragglerFactor times as
	// long. It is the work that is long: every attempt of it is.
	Stragglers mwunit.Ratio
	// StragglerFactor is how many times longer a straggler runs.
	StragglerFactor mwunit.Ratio
	// Failing is the part of the calls that end in a failure once they ran.
	Failing mwunit.Ratio
	// Stages are the calls that the work makes to other services, one stage
	// after the other.
	Stages []Stage
}

// Stage is calls that are made at the same time.
type Stage []Child

// Child is one call to another service. A POST has a key of its own, derived
// from that of the parent.
type Child struct {
	Service mwid.ServiceName
	Method  string
	Path    string
}

// match returns the class of path among cs.
func match(cs []Class, path string) Class {
	best := Class{}
	for _, c := range cs {
		if strings.HasPrefix(path, c.Prefix) && len(c.Prefix) >= len(best.Prefix) {
			best = c
		}
	}
	return best
}
