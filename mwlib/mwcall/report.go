package mwcall

import (
	"time"

	"mustardwheel.example/mwlib/mwunit"
)

// Report is the load of a target as its node sees it, which goes to other
// nodes with each answer. Unlike what a backend server says of itself, it
// counts all calls that were sent to it and is never late by more than the
// way.
type Report struct {
	InFlight mwunit.Slots
	Queued   mwunit.Slots
	Limit    mwunit.Slots
	// Hold is the mean time that a call holds its slot; 0 where it is not
	// known.
	Hold time.Duration
	// Route is the same for the calls of this call's route.
	Route time.Duration
	// Spent is the time that the call spent at the target's node, in its
	// queue and at its backend server.
	Spent time.Duration
}

// Known tells whether r says anything.
func (r Report) Known() bool { return r.Limit > 0 }
