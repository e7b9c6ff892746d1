// Package mwcall holds what the decisions know of one call. Nothing here
// depends on how messages are encoded or carried.
package mwcall

import (
	"time"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// Origin tells which listener a call came in by.
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

// Call is one call at one node. The front end fills it; the kernel fills
// Class. Only the goroutine that serves the call changes it.
type Call struct {
	// ID is the caller's own id of the request, empty where it has none.
	ID      mwid.RequestID
	Root    mwid.RootID
	Attempt mwid.AttemptID // Attempt is new at each node that routes the call.
	Parent  mwid.AttemptID // Parent is the attempt whose backend server made this call.
	// Orphan tells that the backend server can't name the Parent, so that the
	// kernel looks for it.
	Orphan bool
	// Of is the ID of the request that this one seems to be made for, empty
	// where nothing tells; it counts only while that request is served here.
	Of      mwid.RequestID
	Caller  mwid.CallerName
	Service mwid.ServiceName
	Method  string
	Path    string
	// Host is the host that the request names; with Path it finds the route.
	Host string
	Key  mwid.CallKey
	// First tells that the caller declares the call as its first with Key.
	First bool
	// Repeated tells that the call is made by a run that was itself a
	// repetition, so that it repeats a call that was made before.
	Repeated bool
	// Resubmitted tells that the caller declares the call as a repetition.
	Resubmitted bool
	Origin      Origin
	Depth       mwunit.Depth
	// Budget is the retries that the call still has, for all below it.
	Budget mwunit.Attempts
	// HasBudget tells that Budget came with the call.
	HasBudget bool
	// Importance is that of the root, where HasImportance says that it came
	// with the call; all calls of one request count the same.
	Importance    mwunit.Importance
	HasImportance bool
	// Deadline is the instant on this node's clock at which the call's time
	// runs out; zero where the call came without one.
	Deadline time.Time
	// Patience is the instant up to which the caller itself waits, which may
	// be after Deadline; zero where that is not known.
	Patience time.Time
	Class    Class
}

// Class is what classification says of a call.
type Class struct {
	mwconfig.Verdict
	Priority Priority
	Version  mwid.Version
	Route    mwid.Route
}

// Remaining returns how much time c has left at now; ok is false where c has
// no deadline.
func (c *Call) Remaining(now time.Time) (d time.Duration, ok bool) {
	if c.Deadline.IsZero() {
		return 0, false
	}
	return c.Deadline.Sub(now), true
}

// Request returns what selectors see of c.
func (c *Call) Request() mwconfig.Request {
	return mwconfig.Request{Caller: c.Caller, Service: c.Service, Method: c.Method, Path: c.Path, Host: c.Host}
}
