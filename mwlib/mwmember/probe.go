package mwmember

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwtimer"
)

// Parameters of failure detection.
const (
	indirectPings   = 3  // number of nodes asked for an indirect ping after a direct one failed
	suspectPeriods  = 6  // time in which a suspect may refute, in periods
	deadPingPeriods = 10 // mean time between two pings of dead nodes, in periods
	// deadRetention is the time for which a dead node stays in the table.
	deadRetention = 10 * time.Minute
)

// probeNeighbours pings one neighbour in each period.
func (g *Gossip) probeNeighbours(ctx context.Context) {
	t := mwtimer.NewTicker(g.period)
	defer t.Stop()
	var pending []mwid.NodeID
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		g.expireSuspects()
		if len(pending) == 0 {
			pending = shuffled(g.ownZone().fingers(g.self))
		}
		if len(pending) > 0 {
			n := pending[0]
			pending = pending[1:]
			g.probe(ctx, n)
		}
		if rand.N(deadPingPeriods) == 0 {
			g.probeDead(ctx)
		}
	}
}

// expireSuspects declares dead those suspects of this node's zone that did not
// refute the suspicion in time. It also deletes nodes of any zone from the table
// deadRetention after their deaths.
func (g *Gossip) expireSuspects() {
	now := time.Now()
	limit := g.period * time.Duration(suspectPeriods*g.slowness.factor())
	for _, n := range g.ownZone().suspects {
		m, ok := g.table.get(n)
		if ok && m.health == Suspect && now.Sub(m.changed) >= limit {
			o := m.opinion()
			o.Health = Dead
			g.applyOpinion(o)
		}
	}
	g.table.deleteDead(now.Add(-deadRetention))
}

// probe pings n directly and, if n does not answer, through other nodes. It
// suspects n if none of the pings is answered.
func (g *Gossip) probe(ctx context.Context, n mwid.NodeID) {
	m, ok := g.table.get(n)
	if !ok || m.health == Dead {
		return
	}
	timeout := g.period / 2 * time.Duration(g.slowness.factor())
	found, err := g.probeDirect(ctx, m, timeout)
	if err == nil {
		g.slowness.add(-1)
		g.applyProbe(m, found)
		return
	}
	if ctx.Err() != nil {
		return
	}
	found, answered := g.probeIndirect(ctx, n, timeout)
	if answered == 0 {
		g.slowness.add(1)
	}
	g.applyProbe(m, found)
}

// probeDirect pings m and returns which node answered.
func (g *Gossip) probeDirect(ctx context.Context, m *member, timeout time.Duration) (mwid.NodeID, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	msg := g.message(maxUpdateBytes)
	if m.health != Alive {
		msg.Opinions = append(msg.Opinions, m.opinion())
	}
	to := addressOf(m.Node)
	res, err := g.ping(ctx, pingKind, to, msg)
	if err != nil {
		return "", err
	}
	g.requestExchange(to, res)
	return res.From, nil
}

// applyProbe applies the result of a probe of m: found is the node that
// answered at the address of m, or empty if none did.
func (g *Gossip) applyProbe(m *member, found mwid.NodeID) {
	o := m.opinion()
	switch found {
	case m.Node:
		return
	case "":
		o.Health = Suspect
		if g.applyOpinion(o) {
			g.stat.suspicions.Inc()
		}
	default: // The VM was replaced.
		o.Health = Dead
		g.applyOpinion(o)
	}
}

// probeIndirect asks other nodes to ping n. It returns the node that they found
// and how many of them answered.
func (g *Gossip) probeIndirect(ctx context.Context, n mwid.NodeID, timeout time.Duration) (mwid.NodeID, int) {
	ctx, cancel := context.WithTimeout(ctx, 2*timeout)
	defer cancel()
	var mu sync.Mutex
	var found mwid.NodeID
	answered := 0
	from := slices.DeleteFunc(slices.Clone(g.ownZone().usable), func(x mwid.NodeID) bool { return x == n })
	var eg errgroup.Group
	for _, a := range g.pickRandom(from, indirectPings) {
		eg.Go(func() error {
			res, err := g.tr.PingVia(ctx, a, ViaRequest{From: g.self, Target: n})
			g.stat.countSent(viaKind, 2*headerBytes+2*textBytes(n))
			if err != nil {
				g.stat.failures[viaKind].Inc()
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
			if found == "" {
				found = res.Found
			}
			return nil
		})
	}
	if err := eg.Wait(); err != nil {
		g.log.Debug("indirect ping failed", "Error", err)
	}
	return found, answered
}

// HandlePingVia pings on behalf of another node.
func (g *Gossip) HandlePingVia(ctx context.Context, r ViaRequest) ViaReply {
	ctx, cancel := context.WithTimeout(ctx, g.period/2)
	defer cancel()
	res, err := g.ping(ctx, viaKind, addressOf(r.Target), g.header())
	if err != nil {
		return ViaReply{}
	}
	return ViaReply{Found: res.From}
}

// probeDead pings a random dead node of this node's zone. If that node is alive, as
// after a partition, it learns of the opinion that it is dead and refutes it.
func (g *Gossip) probeDead(ctx context.Context) {
	dead := g.ownZone().dead
	if len(dead) == 0 {
		return
	}
	m, ok := g.table.get(dead[rand.N(len(dead))])
	if !ok || m.health != Dead || addressOf(m.Node) == g.addr {
		return
	}
	if _, err := g.probeDirect(ctx, m, g.period/2); err != nil {
		g.log.Debug("dead node did not answer", "Node", m.Node, "Error", err)
	}
}
