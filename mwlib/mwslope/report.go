// Package mwslope measures the cost of the control plane per node as a function
// of the number of nodes: network traffic, processor time, memory and the time
// that a change takes to reach all nodes.
package mwslope

import (
	"time"

	"mustardwheel.example/mwlib/mwmemnet"
	"mustardwheel.example/mwlib/mwunit"
)

// Report is the result of one run. Rates and sizes are per node: the mean over
// all nodes, or over the nodes of a role.
type Report struct {
	Nodes    mwunit.Nodes
	Zones    int
	Measured time.Duration
	// Joined is the time from the start until each node knew all others and had
	// a configuration.
	Joined time.Duration
	// Core is the fraction of one core that the control plane takes per node.
	// It includes the encoding of messages, but not the operating system's
	// processing of packets.
	Core mwunit.Ratio
	// Memory is the heap that the control plane holds per node.
	Memory mwunit.Bytes
	// Goroutines is the number of goroutines of the control plane per node.
	Goroutines int
	// Changes holds, for each change of the configuration, the time until it
	// was in force at all nodes.
	Changes []time.Duration
	// Leavers holds, for each node that left, the time until all nodes knew that
	// it was leaving.
	Leavers []time.Duration
	Roles   []Role
}

// RoleName is the name of a role of nodes in the control plane.
type RoleName string

// Roles: Relay is a relay of its zone, as defined by package mwmember; Plain is
// any other node.
const (
	Plain RoleName = "Plain"
	Relay RoleName = "Relay"
)

// Role holds the traffic of the nodes of one role.
type Role struct {
	Role  RoleName
	Nodes mwunit.Nodes
	Kinds []Kind
	// Sent and Received are in bytes per second, over all kinds. Wire is Sent
	// plus the packet headers.
	Sent     mwunit.PerSecond
	Received mwunit.PerSecond
	Wire     mwunit.PerSecond
}

// Kind holds the traffic of one kind of message.
type Kind struct {
	Method   mwmemnet.Method
	Calls    mwunit.PerSecond
	Served   mwunit.PerSecond
	Sent     mwunit.PerSecond // bytes per second
	Received mwunit.PerSecond // bytes per second
}

// packetHeaderBytes is the size of the IPv4 and TCP headers of one packet, with
// TCP timestamps.
const packetHeaderBytes = 52

// packetsPerSide is the number of packets that each side sends per call: the
// message and, in half of the calls, a separate acknowledgement.
const packetsPerSide = 1.5

// add appends k and adds it to the totals of r.
func (r *Role) add(k Kind) {
	r.Kinds = append(r.Kinds, k)
	r.Sent += k.Sent
	r.Received += k.Received
	r.Wire += k.Sent + (k.Calls+k.Served)*packetsPerSide*packetHeaderBytes
}
