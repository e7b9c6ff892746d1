package mwmember

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlabel"
	"mustardwheel.example/mwlib/mwunit"
)

// Incarnation orders the records that a node publishes about itself.
type Incarnation uint64

// Health is the state of a node in the opinion of another one.
type Health uint8

// Values of Health. Each overrides those before it at the same Incarnation.
const (
	Alive Health = iota
	Suspect
	Dead
)

// Service is a service that a node announces.
type Service struct {
	Name        mwid.ServiceName
	Slots       mwunit.Slots
	Connections mwunit.Connections
	Labels      mwlabel.Set
	Leaving     bool
}

// Record is what a node publishes about itself. No other node changes it.
type Record struct {
	Node        mwid.NodeID
	Zone        mwid.ZoneName
	Region      mwid.RegionName
	Incarnation Incarnation
	Leaving     bool
	Services    []Service
}

// Opinion is the Health that one node ascribes to another at an Incarnation. The
// other node refutes it by a Record with a greater Incarnation.
type Opinion struct {
	Node        mwid.NodeID
	Zone        mwid.ZoneName
	Incarnation Incarnation
	Health      Health
}

// maxIncarnation is the greatest valid Incarnation. A node raises its own by one at
// a time, and must still be able to exceed the one in an opinion about itself.
const maxIncarnation Incarnation = 1 << 62

// maxServices is the maximum number of services of one node.
const maxServices = 64

// valid reports whether r can be the record of a node. Other records, as of a
// damaged or foreign program, are ignored: they name no target.
func (r Record) valid() bool {
	return addressOf(r.Node).Valid() && r.Zone != "" && r.Incarnation <= maxIncarnation &&
		len(r.Services) <= maxServices && !slices.ContainsFunc(r.Services, Service.invalid)
}

// invalid reports whether s can't be the announcement of a backend server.
func (s Service) invalid() bool { return s.Name == "" || s.Slots < 1 || s.Connections < 0 }

// valid reports whether o can be the opinion of a node.
func (o Opinion) valid() bool {
	return addressOf(o.Node).Valid() && o.Health <= Dead && o.Incarnation <= maxIncarnation
}

// addressOf returns the peer address in n.
func addressOf(n mwid.NodeID) mwid.Address {
	a, _, _ := strings.Cut(string(n), "#")
	return mwid.Address(a)
}

// Estimates of the encoded size of parts of messages, in bytes.
const (
	fieldBytes   = 2
	integerBytes = 4
	headerBytes  = 24
)

func textBytes[T ~string](s T) mwunit.Bytes { return mwunit.Bytes(len(s)) + fieldBytes }

// bytes returns the estimated size of s in a message.
func (s Service) bytes() mwunit.Bytes {
	n := textBytes(s.Name) + 3*integerBytes
	for k, v := range s.Labels {
		n += textBytes(k) + textBytes(v)
	}
	return n
}

// bytes returns the estimated size of r in a message.
func (r Record) bytes() mwunit.Bytes {
	n := textBytes(r.Node) + textBytes(r.Zone) + textBytes(r.Region) + 2*integerBytes
	for _, s := range r.Services {
		n += s.bytes()
	}
	return n
}

// bytes returns the estimated size of o in a message.
func (o Opinion) bytes() mwunit.Bytes {
	return textBytes(o.Node) + textBytes(o.Zone) + 2*integerBytes
}

// state returns the state of the target that the node of r, which has health h,
// announces as s. It disregards whether the zone of r is reachable.
func (r Record) state(s Service, h Health) mwcall.TargetState {
	switch {
	case r.Leaving || s.Leaving:
		return mwcall.Leaving
	case h == Suspect:
		return mwcall.Suspect
	default:
		return mwcall.Up
	}
}

// hash returns the hash of n, which determines its bucket and its position on
// the ring.
func hash(n mwid.NodeID) uint64 { return xxhash.Sum64String(string(n)) }

// rendezvousHash returns the rendezvous hash of n for duty.
func rendezvousHash(duty string, n mwid.NodeID) uint64 {
	d := xxhash.New()
	d.WriteString(duty)
	d.WriteString("\x00")
	d.WriteString(string(n))
	return d.Sum64()
}

// stamp returns a hash of the state of a node. Two tables with the same stamps
// hold the same state.
func stamp(n mwid.NodeID, i Incarnation, h Health) uint64 {
	var b [9]byte
	binary.LittleEndian.PutUint64(b[:], uint64(i))
	b[8] = byte(h)
	d := xxhash.New()
	d.WriteString(string(n))
	d.Write(b[:])
	return d.Sum64()
}
