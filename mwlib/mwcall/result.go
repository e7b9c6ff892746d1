package mwcall

import (
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwunit"
)

// Head is what the decisions need of an answer: what stands before its body.
type Head struct {
	// Code is mwcode.OK for an answer by a backend server; else it tells
	// whether the call ran.
	Code mwcode.Code
	// Failed tells that the backend server answered with a failure of its
	// own, so that the answer has no use for the caller.
	Failed bool
	// Unused is the part of the budget sent down that came back.
	Unused mwunit.Attempts
	// Elsewhere tells that a retry at another target can help.
	Elsewhere bool
	// Threshold is the least Priority that the target admits now; 0 admits
	// all.
	Threshold Priority
	// RetryAfter is how long a caller should wait; 0 says nothing.
	RetryAfter time.Duration
	// Report is the target's load.
	Report Report
	// Size is the size of the answer's body; 0 where it is not known.
	Size mwunit.Bytes
}

// Sample is what was seen of one finished call.
type Sample struct {
	// Took is the time from the hand-over to the answer's end.
	Took time.Duration
	// First is the time from the hand-over to the answer's head.
	First time.Duration
	// Wait is the time that the call was queued at this node.
	Wait time.Duration
	// InFlight is the number of calls at the hand-over, with this one.
	InFlight mwunit.Slots
	// Code tells how the call ended.
	Code mwcode.Code
	// Failed is Head.Failed.
	Failed bool
	// Cancelled tells that the caller left or the deadline passed.
	Cancelled bool
}

// Kept is an encoded answer that is kept for the next ask of the same key.
type Kept []byte
