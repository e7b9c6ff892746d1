package mwadmit

import (
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlane"
	"mustardwheel.example/mwlib/mwqueue"
	"mustardwheel.example/mwlib/mwunit"
)

// ticket is one call at a gate. The gate's lock guards it.
type ticket struct {
	band   *band
	lane   mwlane.Lane
	caller mwid.CallerName
	state  state
	// inFlight is the number of calls in flight when this one started.
	inFlight mwunit.Slots
	// verdict gets exactly one code once the ticket was queued: OK where the
	// call may start.
	verdict chan mwcode.Code
	entry   mwqueue.Entry[*ticket]
}

// state is where a ticket is on its way: it is queued at first, running after
// that, and ended at last. It may leave out what is in between.
type state int

const (
	queued state = iota
	running
	ended
)

// start lets a ticket run; refuse ends one that waits. The channel has room
// for the one code, so neither blocks.
func (t *ticket) start() {
	t.state = running
	if t.verdict != nil {
		t.verdict <- mwcode.OK
	}
}

func (t *ticket) refuse(c mwcode.Code) {
	t.verdict <- c
}
