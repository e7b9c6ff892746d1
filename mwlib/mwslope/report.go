// Package mwslope measures what control costs a node, against the number of
// nodes: bytes, processor time, memory and the time that a change takes.
package mwslope

import (
	"time"

	"mustardwheel.example/mwlib/mwmemnet"
	"mustardwheel.example/mwlib/mwunit"
)

// Report is what one run measured. Rates and sizes are for one node, the mean
// over all nodes of a role.
type Report struct {
	Nodes    mwunit.Nodes
	Zones    int
	Measured time.Duration
	// Joined is the time from the start until each node knew all others.
	Joined time.Duration
	// Core is the part of one core that control takes at a node, with the
	// encoding of its messages and without the kernel's work for packets.
	Core mwunit.Ratio
	// Memory is the heap that control holds at a node.
	Memory mwunit.Bytes
	// Goroutines is the number of goroutines of control at a node.
	Goroutines int
	// Changes holds, for each change of the configuration, the time until
	// it was in force at all nodes.
	Changes []time.Duration
	// Leavers holds, for each leaving node, the time until all nodes knew.
	Leavers []time.Duration
	Roles   []Role
}

// RoleName names a role of nodes in control.
type RoleName string

// Roles.
const (
	Plain RoleName = "Plain"
	Relay RoleName = "Relay"
)

// Role is the traffic of the nodes of one role.
type Role struct {
	Role  RoleName
	Nodes mwunit.Nodes
	Kinds []Kind
	// Sent and Received are the bytes a second of all kinds together; Wire
	// adds to what is sent the headers of the packets.
	Sent     mwunit.PerSecond
	Received mwunit.PerSecond
	Wire     mwunit.PerSecond
}

// Kind is the traffic of one kind of message.
type Kind struct {
	Method   mwmemnet.Method
	Calls    mwunit.PerSecond
	Served   mwunit.PerSecond
	Sent     mwunit.PerSecond // Sent is in bytes a second.
	Received mwunit.PerSecond // Received is in bytes a second.
}

// packetBytes is the size of the headers of one packet of TCP over IP, with
// time stamps.
const packetBytes = 52

// packetsPerSide is the number of packets that each side of a call sends:
// the message and, half of the time, an acknowledgement by itself.
const packetsPerSide = 1.5

// add adds k to the sums of r.
func (r *Role) add(k Kind) {
	r.Kinds = append(r.Kinds, k)
	r.Sent += k.Sent
	r.Received += k.Received
	r.Wire += k.Sent + (k.Calls+k.Served)*packetsPerSide*packetBytes
}
