package mwcluster

import (
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwmemnet"
)

// OnAll returns a condition that reports whether ok holds for each node of
// ns.
func OnAll(ns []*Node, ok func(*Node) bool) func() bool {
	return func() bool {
		for _, n := range ns {
			if !ok(n) {
				return false
			}
		}
		return true
	}
}

// InForce reports whether v, or a later version, is in force at each node of ns.
func InForce(v mwid.Version, ns []*Node) bool {
	return OnAll(ns, func(n *Node) bool { return n.Version() >= v })()
}

// Split returns the nodes of zone z and the nodes of the other zones.
func (c *Cluster) Split(z mwid.ZoneName) (in, out []*Node) {
	for _, n := range c.Nodes() {
		if n.Place.Zone == z {
			in = append(in, n)
			continue
		}
		out = append(out, n)
	}
	return in, out
}

// Partition returns a function for SetLoss that loses all messages from side to
// the other side, and those in the other direction too if both is true.
func Partition(both bool, side func(mwmemnet.Place) bool) func(from, to mwmemnet.Place) bool {
	return func(from, to mwmemnet.Place) bool {
		return side(from) && !side(to) || both && side(to) && !side(from)
	}
}

// InZone returns a function that reports whether a place is in zone z.
func InZone(z mwid.ZoneName) func(mwmemnet.Place) bool {
	return func(p mwmemnet.Place) bool { return p.Zone == z }
}

// InRegion returns a function that reports whether a place is in region r.
func InRegion(r mwid.RegionName) func(mwmemnet.Place) bool {
	return func(p mwmemnet.Place) bool { return p.Region == r }
}
