package mwmember

import (
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// Message is a ping or its answer. Both carry updates.
type Message struct {
	From mwid.NodeID
	// Version is the configuration version in force at From. Newest is the highest
	// version that From knows to be in force anywhere, and Holder the address of a
	// node that has it; they are set only if Newest is higher than Version.
	Version mwid.Version
	Newest  mwid.Version
	Holder  mwid.Address
	// Watch is the best report of a reader of the configuration's source.
	Watch Watch
	// Digest covers the records and opinions of all live nodes in the table of
	// From.
	Digest   uint64
	Records  []Record
	Opinions []Opinion
	Reaches  []Reach
	Zones    []Summary
	InForce  InForce
}

// InForce lists the nodes of an availability zone that have Version or a higher
// one in force. Bits has one bit per live node, in the order of the ring whose
// hash is Ring. If All is set, every live node is listed and Bits is empty.
type InForce struct {
	Version mwid.Version
	Ring    uint64
	All     bool
	Bits    []byte
}

// Reach lists the availability zones that a relay can't reach. Of several
// Reaches from one relay, the one with the greatest Seq is valid.
type Reach struct {
	Relay       mwid.NodeID
	Seq         uint64
	Unreachable []mwid.ZoneName
}

// Summary is the state of an availability zone as reported by one of its
// relays. Of several Summaries of one zone, the one with the greatest Stamp is
// valid.
type Summary struct {
	Zone    mwid.ZoneName
	Stamp   uint64
	Nodes   mwunit.Nodes
	Lowest  mwid.Version
	Highest mwid.Version
}

// ViaRequest asks a node to ping another one.
type ViaRequest struct {
	From   mwid.NodeID
	Target mwid.NodeID
}

// ViaReply holds the node that answered at the target's address. Found is empty
// if none did.
type ViaReply struct {
	Found mwid.NodeID
}

// ExchangeRequest is one step of an exchange, which synchronizes two tables.
// The first step sends Tops, the digests of all top buckets. The second sends
// Buckets, which are some or all of those that differ. The third sends the
// Records and Opinions that the other side asked for in ExchangeReply.Wants.
type ExchangeRequest struct {
	From     mwid.NodeID
	Tops     []uint64
	Buckets  []Bucket
	Records  []Record
	Opinions []Opinion
}

// Bucket holds the stamps of the nodes in one bucket.
type Bucket struct {
	Index  int
	Stamps []Stamp
}

// Stamp identifies a node and its state. The upper 32 bits are those of the hash
// of the node; the lower 32 bits are the upper 32 bits of the member's stamp.
type Stamp uint64

// stampOf returns the Stamp of m.
func stampOf(m *member) Stamp {
	return Stamp(m.hash&^lowerHalf | m.stamp>>32)
}

const lowerHalf = 1<<32 - 1

// node returns the part of s that identifies the node.
func (s Stamp) node() uint32 { return uint32(s >> 32) }

// ExchangeReply answers one step of an exchange.
type ExchangeReply struct {
	// Tops are the top buckets that differ, each with the digests of its
	// buckets.
	Tops []Top
	// Records and Opinions are those that the requesting side may lack.
	Records  []Record
	Opinions []Opinion
	// Wants identifies the nodes of which the answering side may lack an
	// update, by the upper 32 bits of their hashes as in Stamp.
	Wants []uint32
}

// Top holds the digests of the buckets in one top bucket.
type Top struct {
	Index   int
	Digests []uint64
}

// bytes returns the estimated size of m.
func (m *Message) bytes() mwunit.Bytes {
	n := headerBytes + textBytes(m.From) + textBytes(m.Holder) + 4*integerBytes + watchBytes
	n += updateBytes(m.Records, m.Opinions)
	for _, r := range m.Reaches {
		n += r.bytes()
	}
	for _, s := range m.Zones {
		n += s.bytes()
	}
	return n + mwunit.Bytes(len(m.InForce.Bits)) + 3*integerBytes
}

// watchBytes is the size of a Watch of a node that reads because of its rank.
const watchBytes = 2 * integerBytes

func updateBytes(rs []Record, os []Opinion) mwunit.Bytes {
	var n mwunit.Bytes
	for _, r := range rs {
		n += r.bytes()
	}
	for _, o := range os {
		n += o.bytes()
	}
	return n
}

// bytes returns the estimated size of r in a message.
func (r Reach) bytes() mwunit.Bytes {
	n := textBytes(r.Relay) + integerBytes
	for _, z := range r.Unreachable {
		n += textBytes(z)
	}
	return n
}

// bytes returns the estimated size of s in a message.
func (s Summary) bytes() mwunit.Bytes { return textBytes(s.Zone) + 4*integerBytes }

// hashBytes is the size of a hash in a message.
const hashBytes = 9

// bytes returns the estimated size of r.
func (r *ExchangeRequest) bytes() mwunit.Bytes {
	n := headerBytes + textBytes(r.From) + mwunit.Bytes(len(r.Tops))*hashBytes
	for _, b := range r.Buckets {
		n += integerBytes + mwunit.Bytes(len(b.Stamps))*hashBytes
	}
	return n + updateBytes(r.Records, r.Opinions)
}

// bytes returns the estimated size of r.
func (r *ExchangeReply) bytes() mwunit.Bytes {
	n := headerBytes + mwunit.Bytes(len(r.Wants))*integerBytes
	for _, t := range r.Tops {
		n += integerBytes + mwunit.Bytes(len(t.Digests))*hashBytes
	}
	return n + updateBytes(r.Records, r.Opinions)
}
