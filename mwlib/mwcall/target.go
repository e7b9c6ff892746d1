package mwcall

import (
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlabel"
	"mustardwheel.example/mwlib/mwunit"
)

// TargetState tells what a target can be used for.
type TargetState int

// States of targets.
const (
	// Up takes work.
	Up TargetState = iota
	// Suspect was not heard lately; it is used where nothing better is left.
	Suspect
	// Leaving takes no new work.
	Leaving
	// Unreachable is in an availability zone that can't be heard as a whole.
	Unreachable
)

// Target is one backend server with its node, as another node knows it.
type Target struct {
	Node        mwid.NodeID
	Peer        mwid.Address // Peer is where the node's peer listener is.
	Service     mwid.ServiceName
	Zone        mwid.ZoneName
	Region      mwid.RegionName
	Slots       mwunit.Slots
	Connections mwunit.Connections
	Labels      mwlabel.Set
	State       TargetState
	// Since is when this node first knew the target, on its own clock.
	Since time.Time
}

// Announcement is what a backend server tells its own node of itself.
type Announcement struct {
	Service mwid.ServiceName
	Address mwid.Address // Address is one that only this VM can reach.
	// Instance is the backend server's own id of this start, empty where it
	// has none.
	Instance mwid.InstanceID
	// Started and Seq order the announcements of one Instance; both are zero
	// where they are not ordered.
	Started     time.Time
	Seq         uint64
	Slots       mwunit.Slots
	Connections mwunit.Connections
	Labels      mwlabel.Set
	// TTL is how long the announcement holds without renewal.
	TTL time.Duration
	// Leaving tells that the backend server takes no new work.
	Leaving bool
}
