// Package mwcall holds the data of one call and of its target on which the
// decisions of a node are based. It does not depend on how messages are encoded
// or transported.
package mwcall

import (
	"time"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// Origin is the kind of sender that a node received a call from.
type Origin int

// Origins of calls.
const (
	// Entry is a call by a caller.
	Entry Origin = iota
	// Local is a call by this VM's own backend server.
	Local
	// Peer is a call that another node forwarded to this one.
	Peer
)

// Call is one call at one node. The front end sets the fields that the message
// contains. The kernel sets Class, and may set or change others, such as
// Service, Parent, Attempt, Budget and Deadline. Only the goroutine that serves
// the call modifies it.
type Call struct {
	// ID is the caller's own id of the request, empty if it has none.
	ID      mwid.RequestID
	Root    mwid.RootID
	Attempt mwid.AttemptID // new for each attempt that a node sends
	Parent  mwid.AttemptID // attempt whose backend server made this call
	// ParentUnknown means that the backend server cannot name the Parent, so the
	// kernel searches for it.
	ParentUnknown bool
	// ParentRequest is the ID of the request for which this call was probably
	// made, empty if unknown. It is used only while that request is served at
	// this node.
	ParentRequest mwid.RequestID
	Caller        mwid.CallerName
	Service       mwid.ServiceName
	Method        string
	Path          string
	// Host is the host that the request names; Host and Path select the route.
	Host string
	Key  mwid.CallKey
	// First means that the caller declares this call as its first one with Key.
	First bool
	// Repeated means that an earlier attempt of this call, or of a call above
	// it, may have run, so that this call may repeat an earlier one.
	Repeated bool
	// Resubmitted means that the caller declares the call as a repetition.
	Resubmitted bool
	Origin      Origin
	Depth       mwunit.Depth
	// Budget is the number of retries that remain to the call and to all calls
	// below it.
	Budget mwunit.Attempts
	// HasBudget means that the call arrived with a Budget or drew it from its
	// parent's account.
	HasBudget bool
	// Importance is the importance of the root call, which all calls of one
	// request share. It is set only if HasImportance is true, that is, if the
	// call arrived with it or inherited it from its parent.
	Importance    mwunit.Importance
	HasImportance bool
	// Deadline is the time on this node's clock when the call times out; zero
	// if the call arrived without a deadline.
	Deadline time.Time
	// CallerDeadline is the time until which the caller itself waits, which may be
	// after Deadline; zero if unknown.
	CallerDeadline time.Time
	Class          Class
}

// Class is the result of the classification of a call.
type Class struct {
	mwconfig.Verdict
	Priority Priority
	Version  mwid.Version
	Route    mwid.Route
}

// Remaining returns the time from now to the deadline of c; ok is false if c
// has no deadline.
func (c *Call) Remaining(now time.Time) (d time.Duration, ok bool) {
	if c.Deadline.IsZero() {
		return 0, false
	}
	return c.Deadline.Sub(now), true
}

// Request returns the properties of c that selectors match.
func (c *Call) Request() mwconfig.Request {
	return mwconfig.Request{Caller: c.Caller, Service: c.Service, Method: c.Method, Path: c.Path, Host: c.Host}
}
