package mwmember

import (
	"slices"
	"sync"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwunit"
)

// newest is the highest configuration version known to be in force anywhere.
type newest struct {
	mu        sync.Mutex
	version   mwid.Version
	holder    mwid.Address
	inOwnZone bool // whether holder is in this node's zone
	changed   chan struct{}
}

func (n *newest) get() (mwid.Version, mwid.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.holder
}

// raise applies the report that holder has v in force and reports whether v is
// higher than the version known so far. At the same version a holder in this
// node's zone replaces one in another zone.
func (n *newest) raise(v mwid.Version, holder mwid.Address, inOwnZone bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	higher := v > n.version
	if !higher && (v < n.version || n.inOwnZone || !inOwnZone) {
		return false
	}
	n.version, n.holder, n.inOwnZone = v, holder, inOwnZone
	return higher
}

// recordNewest applies the report that holder has v in force to g.newest, and
// signals NewestChanged if v is higher than the version known so far.
func (g *Gossip) recordNewest(v mwid.Version, holder mwid.Address, inOwnZone bool) {
	if v > 0 && g.newest.raise(v, holder, inOwnZone) {
		signal(g.newest.changed)
	}
}

// recordVersion records that n has v in force.
func (g *Gossip) recordVersion(n mwid.NodeID, v mwid.Version, inOwnZone bool) {
	if v == 0 {
		return
	}
	g.recordNewest(v, addressOf(n), inOwnZone)
	if inOwnZone {
		g.raiseVersion(n, v)
	}
}

// raiseVersion records v for n if it is higher than the version known so far.
func (g *Gossip) raiseVersion(n mwid.NodeID, v mwid.Version) {
	g.versions.Update(n, func(old mwid.Version, _ bool) (mwid.Version, bool) {
		return max(old, v), true
	})
}

// SetVersion publishes the configuration version in force at this node.
func (g *Gossip) SetVersion(v mwid.Version) {
	if mwid.Version(g.version.Swap(uint64(v))) >= v {
		return
	}
	g.recordNewest(v, g.addr, true)
	g.raiseVersion(g.self, v)
	signal(g.wake)
}

// Newest returns the highest version known to be in force anywhere, and the
// address of a node that has it.
func (g *Gossip) Newest() (mwid.Version, mwid.Address) { return g.newest.get() }

// NewestChanged returns a channel that receives a value after the version that
// Newest returns has risen.
func (g *Gossip) NewestChanged() <-chan struct{} { return g.newest.changed }

// Rank returns the index of this node, from 0, among the usable nodes of its
// zone in descending order of their rendezvous hashes for duty. Nodes that know
// the same usable nodes compute the same order. Different duties rank the nodes
// differently, which spreads duties over the nodes.
func (g *Gossip) Rank(duty string) int {
	mine := rendezvousHash(duty, g.self)
	rank := 0
	for _, n := range g.ownZone().usable {
		if rendezvousHash(duty, n) > mine {
			rank++
		}
	}
	return rank
}

const bitsPerByte = 8

// inForce returns the nodes of this node's zone that are known to have this
// node's version or a higher one in force.
func (g *Gossip) inForce() InForce {
	z := g.ownZone()
	f := InForce{Version: mwid.Version(g.version.Load()), Ring: z.ring}
	if f.Version == 0 {
		return InForce{}
	}
	bits := make([]byte, (len(z.live)+bitsPerByte-1)/bitsPerByte)
	f.All = true
	for i, n := range z.live {
		if v, _ := g.versions.Get(n); v >= f.Version {
			bits[i/bitsPerByte] |= 1 << (i % bitsPerByte)
			continue
		}
		f.All = false
	}
	if !f.All {
		f.Bits = bits
	}
	return f
}

// mergeInForce applies f from a node of the same zone. It ignores f if the two
// nodes differ in the set of live nodes, as a bit then can mean another node.
func (g *Gossip) mergeInForce(f InForce) {
	z := g.ownZone()
	if f.Version == 0 || f.Ring != z.ring {
		return
	}
	for i, n := range z.live {
		set := f.All || (i/bitsPerByte < len(f.Bits) && f.Bits[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0)
		if set {
			g.raiseVersion(n, f.Version)
		}
	}
}

// ownSummary returns the state of this node's zone.
func (g *Gossip) ownSummary() Summary {
	z := g.ownZone()
	s := Summary{Zone: g.zone, Nodes: mwunit.Nodes(len(z.live))}
	for i, n := range z.live {
		v, _ := g.versions.Get(n)
		if i == 0 {
			s.Lowest = v
		}
		s.Lowest, s.Highest = min(s.Lowest, v), max(s.Highest, v)
	}
	return s
}

// Zones returns the state of each availability zone with a live node. For an
// unreachable zone that is its last known state.
func (g *Gossip) Zones() []mwkernel.ZoneStatus {
	v := g.view.Load()
	out := make([]mwkernel.ZoneStatus, 0, len(v.names))
	for _, n := range v.names {
		z := v.zones[n]
		if len(z.live) > 0 {
			out = append(out, g.status(z))
		}
	}
	return out
}

func (g *Gossip) status(z *zoneView) mwkernel.ZoneStatus {
	s, _ := g.summaries.Get(z.name)
	if z.name == g.zone {
		s = g.ownSummary()
	}
	st := mwkernel.ZoneStatus{
		Zone: z.name, Region: z.region, Reachable: !z.unreachable, Nodes: len(z.live),
		Lowest: s.Lowest, Highest: s.Highest, Unheard: slices.Clone(z.suspects),
	}
	if z.unreachable {
		st.Unheard = slices.Clone(z.live)
	}
	return st
}
