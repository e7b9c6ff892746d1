package mwadmit

import (
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlane"
	"mustardwheel.example/mwlib/mwqueue"
	"mustardwheel.example/mwlib/mwunit"
)

// ticket is one call at a gate. It is guarded by the lock of the gate.
type ticket struct {
	partition *partition
	lane      mwlane.Lane
	caller    mwid.CallerName
	state     state
	// inFlight is the number of calls in flight when this one started, itself
	// included.
	inFlight mwunit.Slots
	// verdict is nil unless the ticket was queued. It receives OK if the call may
	// start, or the code of the refusal. It receives nothing if the caller stops
	// waiting first.
	verdict chan mwcode.Code
	entry   mwqueue.Entry[*ticket]
}

// state is the stage of a ticket: queued, then running, then ended. A refused
// ticket goes from queued straight to ended.
type state int

const (
	queued state = iota
	running
	ended
)

// start marks t as running and, if it was queued, delivers its verdict. A ticket
// gets one verdict, for which the channel has a buffer, so neither start nor
// refuse blocks.
func (t *ticket) start() {
	t.state = running
	if t.verdict != nil {
		t.verdict <- mwcode.OK
	}
}

// refuse delivers c as the verdict on t, which was queued.
func (t *ticket) refuse(c mwcode.Code) {
	t.verdict <- c
}
