package mwmember

import (
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
)

// member is what the table knows of one node. It never changes; a change puts
// another one in its place, so that views can share it.
type member struct {
	Record
	health  Health
	hash    uint64    // hash is that of Node.
	stamp   uint64    // stamp is a hash of what is known of Node.
	since   time.Time // since is when the node was first known alive.
	changed time.Time // changed is when health became what it is.
}

// opinion returns the Opinion that the table has of m.
func (m *member) opinion() Opinion {
	return Opinion{Node: m.Node, Zone: m.Zone, Incarnation: m.Incarnation, Health: m.health}
}

// sealed returns m with its hashes set.
func (m member) sealed() *member {
	m.hash = hash(m.Node)
	m.stamp = stamp(m.Node, m.Incarnation, m.health)
	return &m
}

// table holds all known nodes, sharded by node.
type table struct {
	m *mwshard.Map[mwid.NodeID, *member]
}

func newTable() *table {
	return &table{m: mwshard.New[mwid.NodeID, *member](mwshard.DefaultShards)}
}

// record takes r where it is newer than what is known. It tells whether it
// was, and whether the node was known.
func (t *table) record(r Record, now time.Time) (taken, known bool) {
	t.m.Update(r.Node, func(m *member, ok bool) (*member, bool) {
		known = ok
		if ok && r.Incarnation <= m.Incarnation {
			return m, true
		}
		taken = true
		x := member{Record: r, health: Alive, since: now, changed: now}
		if ok && m.health != Dead {
			x.since = m.since
		}
		return x.sealed(), true
	})
	return taken, known
}

// opinion takes o where it overrides what is known and tells whether it did.
// A death is remembered also of a node that isn't known, so that an old
// record can't bring it back.
func (t *table) opinion(o Opinion, now time.Time) bool {
	taken := false
	t.m.Update(o.Node, func(m *member, ok bool) (*member, bool) {
		x := member{Record: Record{Node: o.Node, Zone: o.Zone, Incarnation: o.Incarnation}}
		if !ok && o.Health != Dead {
			return nil, false
		}
		if ok {
			if !o.overrides(m) {
				return m, true
			}
			x = *m
		}
		taken = true
		x.health, x.changed = o.Health, now
		x.Incarnation = max(x.Incarnation, o.Incarnation)
		return x.sealed(), true
	})
	return taken
}

// overrides tells whether o counts against m. A suspicion of an incarnation
// that isn't known says nothing of the one that is.
func (o Opinion) overrides(m *member) bool {
	if o.Health <= m.health {
		return false
	}
	if o.Health == Dead {
		return o.Incarnation >= m.Incarnation
	}
	return o.Incarnation == m.Incarnation
}

// get returns what is known of n.
func (t *table) get(n mwid.NodeID) (*member, bool) { return t.m.Get(n) }

// all returns every member, dead ones included.
func (t *table) all() []*member {
	out := make([]*member, 0, t.m.Len())
	t.m.Range(func(_ mwid.NodeID, m *member) bool {
		out = append(out, m)
		return true
	})
	return out
}

// forget deletes the members that died before t0.
func (t *table) forget(t0 time.Time) {
	t.m.DeleteFunc(func(_ mwid.NodeID, m *member) bool {
		return m.health == Dead && m.changed.Before(t0)
	})
}
