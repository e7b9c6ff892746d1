package mwmember

import (
	"slices"
	"sync"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwunit"
)

// newest is the highest version known to be in force anywhere.
type newest struct {
	mu      sync.Mutex
	version mwid.Version
	holder  mwid.Address
	near    bool // near tells that holder is in the own zone.
	ch      chan struct{}
}

func (n *newest) get() (mwid.Version, mwid.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, n.holder
}

// take takes v of holder and tells whether v is higher than what was known.
func (n *newest) take(v mwid.Version, holder mwid.Address, near bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	higher := v > n.version
	if !higher && (v < n.version || n.near || !near) {
		return false
	}
	n.version, n.holder, n.near = v, holder, near
	return higher
}

// newer notes that holder has v in force.
func (g *Gossip) newer(v mwid.Version, holder mwid.Address, near bool) {
	if v > 0 && g.newest.take(v, holder, near) {
		signal(g.newest.ch)
	}
}

// sawVersion notes that n has v in force.
func (g *Gossip) sawVersion(n mwid.NodeID, v mwid.Version, near bool) {
	if v == 0 {
		return
	}
	g.newer(v, addressOf(n), near)
	if near {
		g.raise(n, v)
	}
}

// raise notes v for n where it is higher than what was known.
func (g *Gossip) raise(n mwid.NodeID, v mwid.Version) {
	g.versions.Update(n, func(old mwid.Version, _ bool) (mwid.Version, bool) {
		return max(old, v), true
	})
}

// SetVersion makes known which configuration is in force here.
func (g *Gossip) SetVersion(v mwid.Version) {
	if mwid.Version(g.version.Swap(uint64(v))) >= v {
		return
	}
	g.newer(v, g.addr, true)
	g.raise(g.self, v)
	signal(g.wake)
}

// Newest returns the highest version known to be in force anywhere, and a
// node that has it.
func (g *Gossip) Newest() (mwid.Version, mwid.Address) { return g.newest.get() }

// NewestChanged returns a channel that receives after Newest grew.
func (g *Gossip) NewestChanged() <-chan struct{} { return g.newest.ch }

// Rank returns this node's place, from 0, among the usable nodes of its zone
// for duty, by rendezvous hash. Nodes that know the same nodes agree on it;
// duties are spread over different nodes.
func (g *Gossip) Rank(duty string) int {
	mine := score(duty, g.self)
	rank := 0
	for _, n := range g.home().usable {
		if score(duty, n) > mine {
			rank++
		}
	}
	return rank
}

// bitsPerByte is the number of bits in a byte.
const bitsPerByte = 8

// inForce returns which nodes of the own zone are known to have this node's
// version in force.
func (g *Gossip) inForce() InForce {
	z := g.home()
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

// mergeInForce takes what a node of the own zone knows, where both know the
// same nodes.
func (g *Gossip) mergeInForce(f InForce) {
	z := g.home()
	if f.Version == 0 || f.Ring != z.ring {
		return
	}
	for i, n := range z.live {
		set := f.All || (i/bitsPerByte < len(f.Bits) && f.Bits[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0)
		if set {
			g.raise(n, f.Version)
		}
	}
}

// summarise returns the state of the own zone.
func (g *Gossip) summarise() Summary {
	z := g.home()
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

// Zones returns the state of each known availability zone. Of a zone that
// can't be reached it is the state when it was last heard.
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
		s = g.summarise()
	}
	st := mwkernel.ZoneStatus{
		Zone: z.name, Region: z.region, Reachable: !z.away, Nodes: len(z.live),
		Lowest: s.Lowest, Highest: s.Highest, Unheard: slices.Clone(z.suspects),
	}
	if z.away {
		st.Unheard = slices.Clone(z.live)
	}
	return st
}
