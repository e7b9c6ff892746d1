package mwcall

import (
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlabel"
	"mustardwheel.example/mwlib/mwunit"
)

// TargetState is the availability of a target for work.
type TargetState int

// States of targets.
const (
	// Up means that the target takes work.
	Up TargetState = iota
	// Suspect means that nothing was received from the target's node recently;
	// the target is used only if no better one remains.
	Suspect
	// Leaving means that the target takes no new work.
	Leaving
	// Unreachable means that the target's availability zone cannot be reached
	// from this one.
	Unreachable
)

// Target is a backend server together with its node, as known to another node.
type Target struct {
	Node        mwid.NodeID
	Peer        mwid.Address // address of the node's peer listener
	Service     mwid.ServiceName
	Zone        mwid.ZoneName
	Region      mwid.RegionName
	Slots       mwunit.Slots
	Connections mwunit.Connections
	Labels      mwlabel.Set
	State       TargetState
	// Since is when this node learned of the target, on its own clock.
	Since time.Time
}

// Announcement is what a backend server announces about itself to its node.
type Announcement struct {
	Service mwid.ServiceName
	Address mwid.Address // reachable only from this VM
	// Instance is the backend server's own id of its current run, empty if it
	// has none.
	Instance mwid.InstanceID
	// Started is when the backend server started; it orders the announcements
	// of successive instances. Seq orders those of one instance. Both are zero
	// if the announcements are not ordered.
	Started     time.Time
	Seq         uint64
	Slots       mwunit.Slots
	Connections mwunit.Connections
	Labels      mwlabel.Set
	// TTL is how long the announcement is valid unless it is renewed.
	TTL time.Duration
	// Leaving means that the backend server takes no new work.
	Leaving bool
	// Checked is when the last health check that found the backend server healthy
	// began, on the clock of this process. It is zero if there was none.
	Checked time.Time
}
