package mwcall

import (
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwunit"
)

// Head holds the metadata of an answer, which precedes its body.
type Head struct {
	// Code is mwcode.OK if a backend server answered, or
	// mwcode.BackendUnavailable if it answered 503 without saying whether it
	// ran the call. Any other code shows why there is no answer, and whether
	// the call may have run.
	Code mwcode.Code
	// Failed means that the backend server answered with an error of its own,
	// so that the answer is of no use to the caller.
	Failed bool
	// Unused is the unused part of the budget that was sent with the call.
	Unused mwunit.Attempts
	// RetryElsewhere means that a retry at another target may succeed.
	RetryElsewhere bool
	// Threshold is the minimum Priority that the target admits at present; 0
	// admits all.
	Threshold Priority
	// RetryAfter is how long a caller should wait before it retries; 0 if
	// unknown.
	RetryAfter time.Duration
	// Report is the target's load.
	Report Report
	// Size is the size of the answer's body; 0 if unknown.
	Size mwunit.Bytes
}

// Sample holds the measurements of one finished call at the target's node, or of
// one attempt at the node that sent it. For an attempt, Took and First are both
// the time from its start to the head of its answer.
type Sample struct {
	// Took is the time from the handover to the end of the answer.
	Took time.Duration
	// First is the time from the handover to the head of the answer.
	First time.Duration
	// Wait is the time that the call spent in the queue of this node.
	Wait time.Duration
	// InFlight is the number of calls in flight at the time of the handover,
	// including this one.
	InFlight mwunit.Slots
	// Code is the result code of the call.
	Code mwcode.Code
	// Failed has the meaning of Head.Failed.
	Failed bool
	// Cancelled means that the caller left or the deadline passed.
	Cancelled bool
}

// EncodedAnswer is an encoded answer that is stored for later requests with the
// same key.
type EncodedAnswer []byte
