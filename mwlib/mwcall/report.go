package mwcall

import (
	"time"

	"mustardwheel.example/mwlib/mwunit"
)

// Report is the load of a target as measured by its node, which sends it to
// other nodes with each answer. Unlike the figures that a backend server
// reports itself, it includes all calls sent to the backend server, and is
// older only by the time that the answer was in transit.
type Report struct {
	InFlight mwunit.Slots
	Queued   mwunit.Slots
	Limit    mwunit.Slots
	// Hold is the mean time for which a call holds its slot; 0 if unknown.
	Hold time.Duration
	// Route is the mean time for which calls of this call's route hold their
	// slot; 0 if unknown.
	Route time.Duration
	// Spent is the time that the call spent at the target's node, both queued
	// and at the backend server.
	Spent time.Duration
}

// Known reports whether r contains a measurement.
func (r Report) Known() bool { return r.Limit > 0 }
