package mwmember

import (
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
)

// member is the entry of one node in the table. It is immutable, so that views
// can share it; a change replaces it by another one.
type member struct {
	Record
	health  Health
	hash    uint64    // hash of Node
	stamp   uint64    // hash of Node, Incarnation and health
	since   time.Time // time at which the node became known as alive
	changed time.Time // time of the last change of the entry
}

// opinion returns the entry m as an Opinion.
func (m *member) opinion() Opinion {
	return Opinion{Node: m.Node, Zone: m.Zone, Incarnation: m.Incarnation, Health: m.health}
}

// withHashes returns a copy of m with its hashes set.
func (m member) withHashes() *member {
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

// putRecord stores r if it is newer than the entry of its node. It reports
// whether it stored r, and whether the node was known.
func (t *table) putRecord(r Record, now time.Time) (stored, known bool) {
	t.m.Update(r.Node, func(m *member, ok bool) (*member, bool) {
		known = ok
		if ok && r.Incarnation <= m.Incarnation {
			return m, true
		}
		stored = true
		x := member{Record: r, health: Alive, since: now, changed: now}
		if ok && m.health != Dead {
			x.since = m.since
		}
		return x.withHashes(), true
	})
	return stored, known
}

// putOpinion stores o if it overrides the entry of its node, and reports
// whether it did. The death of an unknown node is stored too, so that an old
// record can't bring the node back.
func (t *table) putOpinion(o Opinion, now time.Time) bool {
	stored := false
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
		stored = true
		x.health, x.changed = o.Health, now
		x.Incarnation = max(x.Incarnation, o.Incarnation)
		return x.withHashes(), true
	})
	return stored
}

// overrides reports whether o overrides m. A suspicion applies only to the
// incarnation that it names.
func (o Opinion) overrides(m *member) bool {
	if o.Health <= m.health {
		return false
	}
	if o.Health == Dead {
		return o.Incarnation >= m.Incarnation
	}
	return o.Incarnation == m.Incarnation
}

// get returns the entry of n.
func (t *table) get(n mwid.NodeID) (*member, bool) { return t.m.Get(n) }

// all returns all members, including dead ones.
func (t *table) all() []*member {
	out := make([]*member, 0, t.m.Len())
	t.m.Range(func(_ mwid.NodeID, m *member) bool {
		out = append(out, m)
		return true
	})
	return out
}

// deleteDead deletes the members that died before t0.
func (t *table) deleteDead(t0 time.Time) {
	t.m.DeleteFunc(func(_ mwid.NodeID, m *member) bool {
		return m.health == Dead && m.changed.Before(t0)
	})
}
