package mwfakeserver

import (
	"strings"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// Class describes the work done for the paths with one prefix.
type Class struct {
	// Prefix is the prefix of the paths. The longest matching prefix applies.
	Prefix string
	// Time is the mean service time.
	Time time.Duration
	// Jitter is the maximum deviation from Time, as a fraction of it.
	Jitter mwunit.Ratio
	// Body is the length of the answer's body.
	Body mwunit.Bytes
	// Streamed makes the body go out in parts during Time instead of at the
	// end.
	Streamed bool
	// Stragglers is the fraction of the calls that take StragglerFactor times
	// as long. It is a property of the work: every attempt of such a call
	// takes long.
	Stragglers mwunit.Ratio
	// StragglerFactor is the factor by which a straggler takes longer.
	StragglerFactor mwunit.Ratio
	// Failing is the fraction of the calls that run and then fail.
	Failing mwunit.Ratio
	// Stages are the calls that the work makes to other services. The stages
	// run in order.
	Stages []Stage
}

// Stage is a set of calls made concurrently.
type Stage []Child

// Child is a call to another service. The key of a POST is derived from that of
// the parent call.
type Child struct {
	Service mwid.ServiceName
	Method  string
	Path    string
}

// matchClass returns the class in cs with the longest prefix of path, or an
// empty Class.
func matchClass(cs []Class, path string) Class {
	best := Class{}
	for _, c := range cs {
		if strings.HasPrefix(path, c.Prefix) && len(c.Prefix) >= len(best.Prefix) {
			best = c
		}
	}
	return best
}
