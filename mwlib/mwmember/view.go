package mwmember

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
)

// Sizes of the groups into which nodes are divided. The hash of a node selects its
// bucket; bucketsPerTop consecutive buckets form a top bucket. An exchange
// compares the digests of top buckets, then those of the buckets in them.
const (
	topBuckets    = 16
	bucketsPerTop = 16
	buckets       = topBuckets * bucketsPerTop
	relayDuty     = "relay" // duty for which electRelays ranks nodes
	// RelaysPerZone is the number of nodes of a zone that exchange updates with
	// other zones.
	RelaysPerZone    = 3
	exportersPerZone = 2 // number of relays that send updates to any one other zone
)

// view is derived from the table. It is immutable, so that the request path
// reads it without a lock. After a change of the table a new one is built.
type view struct {
	targets  map[mwid.ServiceName][]mwcall.Target
	members  map[mwid.ServiceName][]*member // live members that announce each service
	services []mwid.ServiceName
	zones    map[mwid.ZoneName]*zoneView
	names    []mwid.ZoneName // keys of zones, sorted
	digests  [buckets]uint64
	digest   uint64
}

// zoneView is the state of one availability zone.
type zoneView struct {
	name        mwid.ZoneName
	region      mwid.RegionName
	live        []mwid.NodeID // nodes that are not dead, in the order of the ring
	usable      []mwid.NodeID // live nodes that are neither suspect nor leaving
	suspects    []mwid.NodeID
	dead        []mwid.NodeID
	relays      []mwid.NodeID
	ring        uint64 // hash of live
	unreachable bool
}

// bucket returns the bucket of m.
func (m *member) bucket() int { return int(m.hash % buckets) }

// newView returns the view of ms. It calls unreachable, which reports whether a
// zone can't be reached, after the relays of all zones are elected. Targets of
// services that did not change since old are shared with old.
func newView(ms []*member, old *view, unreachable func(v *view, z mwid.ZoneName) bool) *view {
	slices.SortFunc(ms, func(a, b *member) int { return cmp.Compare(a.hash, b.hash) })
	v := &view{
		targets: make(map[mwid.ServiceName][]mwcall.Target),
		members: make(map[mwid.ServiceName][]*member),
		zones:   make(map[mwid.ZoneName]*zoneView),
	}
	for _, m := range ms {
		v.add(m)
	}
	for _, z := range v.zones {
		z.electRelays()
	}
	for _, z := range v.zones {
		z.unreachable = unreachable(v, z.name)
	}
	for n, announcing := range v.members {
		v.targets[n] = v.targetsOf(n, announcing, old)
	}
	v.names = slices.Sorted(maps.Keys(v.zones))
	v.services = slices.Sorted(maps.Keys(v.targets))
	return v
}

func (v *view) zone(n mwid.ZoneName) *zoneView {
	z, ok := v.zones[n]
	if !ok {
		z = &zoneView{name: n}
		v.zones[n] = z
	}
	return z
}

// add adds m to its zone and, unless it is dead, to the digest of its bucket
// and to its services.
func (v *view) add(m *member) {
	z := v.zone(m.Zone)
	if m.health == Dead {
		z.dead = append(z.dead, m.Node)
		return
	}
	v.digests[m.bucket()] ^= m.stamp
	v.digest ^= m.stamp
	for _, x := range m.Services {
		v.members[x.Name] = append(v.members[x.Name], m)
	}
	z.region = m.Region
	z.live = append(z.live, m.Node)
	z.ring = bits.RotateLeft64(z.ring, 1) ^ m.hash
	switch {
	case m.health == Suspect:
		z.suspects = append(z.suspects, m.Node)
	case !m.Leaving:
		z.usable = append(z.usable, m.Node)
	}
}

// electRelays elects the relays of z: from its usable nodes, or from all live
// ones if none is usable.
func (z *zoneView) electRelays() {
	from := z.usable
	if len(from) == 0 {
		from = z.live
	}
	z.relays = topRanked(relayDuty, from, RelaysPerZone)
}

// topRanked returns the n nodes of from with the highest rendezvous hashes for
// duty.
func topRanked(duty string, from []mwid.NodeID, n int) []mwid.NodeID {
	type scored struct {
		n mwid.NodeID
		s uint64
	}
	ss := make([]scored, len(from))
	for i, x := range from {
		ss[i] = scored{x, rendezvousHash(duty, x)}
	}
	slices.SortFunc(ss, func(a, b scored) int { return cmp.Compare(b.s, a.s) })
	out := make([]mwid.NodeID, 0, min(n, len(ss)))
	for _, s := range ss[:min(n, len(ss))] {
		out = append(out, s.n)
	}
	return out
}

// targetsOf returns the targets of service n. announcing are the members that
// announce n.
func (v *view) targetsOf(n mwid.ServiceName, announcing []*member, old *view) []mwcall.Target {
	if old != nil && slices.Equal(announcing, old.members[n]) && v.sameReachability(old, announcing) {
		return old.targets[n]
	}
	out := make([]mwcall.Target, 0, len(announcing))
	for _, m := range announcing {
		i := slices.IndexFunc(m.Services, func(s Service) bool { return s.Name == n })
		out = append(out, m.target(m.Services[i], v.zones[m.Zone].unreachable))
	}
	return out
}

// sameReachability reports whether the zones of ms have the same reachability
// in v and in old.
func (v *view) sameReachability(old *view, ms []*member) bool {
	for _, m := range ms {
		if z := old.zones[m.Zone]; z == nil || z.unreachable != v.zones[m.Zone].unreachable {
			return false
		}
	}
	return true
}

// target returns the target of service s at m. unreachable is set if the
// zone of m can't be reached.
func (m *member) target(s Service, unreachable bool) mwcall.Target {
	t := mwcall.Target{
		Node: m.Node, Peer: addressOf(m.Node), Service: s.Name, Zone: m.Zone, Region: m.Region,
		Slots: s.Slots, Connections: s.Connections, Labels: s.Labels,
		State: m.state(s, m.health), Since: m.since,
	}
	if unreachable {
		t.State = mwcall.Unreachable
	}
	return t
}

// fingers returns the nodes that n pings: those at distances 1, 2, 4, 8 and so
// on after it on the ring. Each node is thus pinged by as many nodes as it
// pings and needs few open connections, and updates cross the zone in few
// steps.
func (z *zoneView) fingers(n mwid.NodeID) []mwid.NodeID {
	i := slices.Index(z.live, n)
	if i < 0 {
		return nil
	}
	var out []mwid.NodeID
	for d := 1; d < len(z.live); d *= 2 {
		out = append(out, z.live[(i+d)%len(z.live)])
	}
	return out
}

// topDigests returns the digests of the top buckets.
func (v *view) topDigests() []uint64 {
	out := make([]uint64, topBuckets)
	for i, d := range v.digests {
		out[i/bucketsPerTop] ^= d
	}
	return out
}

// countOthers returns the number of live nodes in all zones, without n.
func (v *view) countOthers(n mwid.NodeID) int {
	count := 0
	for _, z := range v.zones {
		count += len(z.live)
		if slices.Contains(z.live, n) {
			count--
		}
	}
	return count
}
