package mwcall

import (
	"time"

	"mustardwheel.example/mwlib/mwunit"
)

// Report is the load of a target as measured by its node, which sends it to
// other nodes with each answer. Unlike the figures that a backend server
// reports itself, it includes all calls sent to the backend server, and its age
// is only the transit time of the answer.
type Report struct {
	InFlight mwunit.Slots
	Queued   mwunit.Slots
	Limit    mwunit.Slots
	// Hold is the mean time for which a call holds its slot; 0 if unknown.
	Hold time.Duration
	// Route is the mean time for which calls of the same route as the answered
	// call hold their slot; 0 if unknown.
	Route time.Duration
	// Spent is the time that the call spent at the target's node, both queued
	// and at the backend server.
	Spent time.Duration
}

// Known reports whether r contains a measurement.
func (r Report) Known() bool { return r.Limit > 0 }
