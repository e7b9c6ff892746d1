// Package mwid defines a type for every kind of identifier in the system, so
// that one kind, such as a service, cannot be passed in place of another, such
// as a node.
package mwid

import (
	"crypto/rand"
	"encoding/hex"
	"net/netip"
)

// NodeID identifies one run of a node's process: the address of its VM and the
// boot id of the process, joined by "#". A replacement VM at the same address
// has another NodeID.
type NodeID string

// BootID identifies one start of a node's process.
type BootID string

// Address is "IP:port", with a numeric IP.
type Address string

// Valid reports whether a has a numeric IP and a port from 1 to 65535.
func (a Address) Valid() bool {
	p, err := netip.ParseAddrPort(string(a))
	return err == nil && p.Port() != 0
}

// ServiceName names a service of the call graph.
type ServiceName string

// ZoneName names an availability zone.
type ZoneName string

// RegionName names a region, which holds availability zones.
type RegionName string

// CallerName names a caller.
type CallerName string

// RootID identifies the whole request that a call belongs to; every hop of
// one request carries the same RootID.
type RootID string

// AttemptID identifies one attempt to run one call.
type AttemptID string

// CallKey is a key that the caller gives to work that must not be repeated.
type CallKey string

// OperationID identifies one change requested by an operator, across all
// attempts at it.
type OperationID string

// RequestID is the id that a caller gives to one of its attempts at a request.
type RequestID string

// InstanceID is the id that a backend server gives to one run of its process.
type InstanceID string

// OperatorName names the person or program that requested a change.
type OperatorName string

// Route identifies a kind of call within a service by method and path prefix.
type Route string

// Version is the global version of the configuration. It never decreases.
type Version uint64

// Revision is the revision of one row of the store's table; 0 means "no row".
type Revision uint64

// NewNodeID returns the NodeID of the process with id boot on the VM at addr.
func NewNodeID(addr Address, boot BootID) NodeID {
	return NodeID(string(addr) + "#" + string(boot))
}

// NewBootID returns a random BootID.
func NewBootID() BootID { return BootID(random()) }

// NewRootID returns a random RootID.
func NewRootID() RootID { return RootID(random()) }

// NewAttemptID returns a random AttemptID.
func NewAttemptID() AttemptID { return AttemptID(random()) }

// NewOperationID returns a random OperationID.
func NewOperationID() OperationID { return OperationID(random()) }

// randomBytes is the length of a random identifier in bytes.
const randomBytes = 8

// random returns randomBytes random bytes in hexadecimal digits.
func random() string {
	var b [randomBytes]byte
	rand.Read(b[:]) // crypto/rand.Read never returns an error.
	return hex.EncodeToString(b[:])
}
