package mwmember

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// Limits on the dissemination of updates.
const (
	eagerSends = 3 // number of neighbours to which an update is sent immediately
	lazySends  = 3 // number of pings that carry the update after that
	totalSends = eagerSends + lazySends
	// crowdedSends is the number of sends of the record of a new node while
	// many updates are queued, as when a whole zone starts. Nodes that these
	// sends do not reach receive the record by exchanges, which start when
	// digests differ.
	crowdedSends   = 2
	maxUpdateBytes = mwunit.Bytes(1200) // maximum size of the updates in one message
	// minUpdateBytes is the size of updates that each message may carry even if
	// the allowance is used up, so that a refutation is never delayed.
	minUpdateBytes = mwunit.Bytes(200)
	maxExportBytes = mwunit.Bytes(8192) // maximum size of the updates in one message to another zone
	batchDelay     = 10 * time.Millisecond
	sendInterval   = 100 * time.Millisecond
)

// equal reports whether s and t are the same announcement.
func (s Service) equal(t Service) bool {
	return s.Name == t.Name && s.Slots == t.Slots && s.Connections == t.Connections &&
		s.Leaving == t.Leaving && maps.Equal(s.Labels, t.Labels)
}

// shuffled returns a shuffled copy of s.
func shuffled[T any](s []T) []T {
	out := slices.Clone(s)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// pickRandom returns the addresses of up to n random nodes of from, without
// this node.
func (g *Gossip) pickRandom(from []mwid.NodeID, n int) []mwid.Address {
	var out []mwid.Address
	for _, x := range shuffled(from) {
		if len(out) >= n {
			break
		}
		if x != g.self {
			out = append(out, addressOf(x))
		}
	}
	return out
}

// applyRecord applies r to the table and, if it is new, queues it. It reports
// whether it is new.
func (g *Gossip) applyRecord(r Record) bool {
	stored, known := g.table.putRecord(r, time.Now())
	if !stored {
		g.recordQueue.recordDuplicate(r.Node)
		return false
	}
	g.markChanged()
	n := totalSends
	if !known && g.recordQueue.crowded() {
		n = crowdedSends
	}
	g.queueRecord(r, n)
	return true
}

// queueRecord queues r to be sent n times.
func (g *Gossip) queueRecord(r Record, n int) {
	g.recordQueue.put(r.Node, r, n)
	g.opinionQueue.remove(r.Node)
	if r.Zone == g.zone && g.relayIndex() < RelaysPerZone {
		g.exportRecords.put(r.Node, r, 1)
		g.exportOpinions.remove(r.Node)
	}
	signal(g.wake)
}

// applyOpinion applies o to the table and, if it is new, queues it. It reports
// whether it is new.
func (g *Gossip) applyOpinion(o Opinion) bool {
	if !g.storeOpinion(o) {
		g.opinionQueue.recordDuplicate(o.Node)
		return false
	}
	g.queueOpinion(o)
	return true
}

// storeOpinion applies o to the table and reports whether it is new.
func (g *Gossip) storeOpinion(o Opinion) bool {
	if !g.table.putOpinion(o, time.Now()) {
		return false
	}
	g.markChanged()
	if o.Health == Dead {
		g.versions.Delete(o.Node)
		g.reach.Delete(o.Node)
		g.recordQueue.remove(o.Node)
		g.stat.deaths.Inc()
		if omitted, ok := g.deathLines.Allow(time.Now()); ok {
			g.log.Info("node dead", "Node", o.Node, "Zone", o.Zone, "Omitted", omitted)
		}
	}
	return true
}

func (g *Gossip) queueOpinion(o Opinion) {
	g.opinionQueue.put(o.Node, o, totalSends)
	if o.Zone == g.zone && g.relayIndex() < RelaysPerZone {
		g.exportOpinions.put(o.Node, o, 1)
	}
	signal(g.wake)
}

// receiveUpdates applies records and opinions from another node and returns how
// many were new.
func (g *Gossip) receiveUpdates(rs []Record, os []Opinion) int {
	rs, os = g.withoutInvalid(rs, os)
	n := 0
	for _, r := range rs {
		if g.receiveRecord(r) {
			n++
		}
	}
	for _, o := range os {
		if g.receiveOpinion(o) {
			n++
		}
	}
	return n
}

// withoutInvalid returns the records and opinions that are valid, and counts the
// others.
func (g *Gossip) withoutInvalid(rs []Record, os []Opinion) ([]Record, []Opinion) {
	before := len(rs) + len(os)
	rs = slices.DeleteFunc(rs, func(r Record) bool { return !r.valid() })
	os = slices.DeleteFunc(os, func(o Opinion) bool { return !o.valid() })
	if n := before - len(rs) - len(os); n > 0 {
		g.stat.invalid.Add(n)
		if omitted, ok := g.invalidLines.Allow(time.Now()); ok {
			g.log.Warn("invalid membership update ignored", "Updates", n, "Omitted", omitted)
		}
	}
	return rs, os
}

// receiveRecord applies a record from another node. If it is of another boot at
// this node's address, that boot is declared dead: no other node has better
// knowledge of it.
func (g *Gossip) receiveRecord(r Record) bool {
	if r.Node == g.self {
		return false
	}
	if addressOf(r.Node) == g.addr {
		return g.applyOpinion(Opinion{Node: r.Node, Zone: r.Zone, Incarnation: r.Incarnation, Health: Dead})
	}
	return g.applyRecord(r)
}

// receiveOpinion applies an opinion from another node, or refutes it if it is
// about this node.
func (g *Gossip) receiveOpinion(o Opinion) bool {
	if o.Node != g.self {
		return g.applyOpinion(o)
	}
	if o.Health != Alive {
		g.stat.refuted.Inc()
		g.slowness.add(1)
		g.refute(o)
	}
	return false
}

// disseminate sends queued updates to neighbours soon after they are queued.
// Those that are queued within batchDelay go into the same messages.
func (g *Gossip) disseminate(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		if !mwtimer.Sleep(ctx, batchDelay) {
			return
		}
		for again := true; again; again = g.hasEagerUpdates() {
			g.disseminateOnce(ctx)
			if !mwtimer.Sleep(ctx, sendInterval) {
				return
			}
		}
	}
}

// hasEagerUpdates reports whether an update was not yet sent to eagerSends
// neighbours and the allowance permits a full message.
func (g *Gossip) hasEagerUpdates() bool {
	if g.allowance.available(maxUpdateBytes) < maxUpdateBytes {
		return false
	}
	return g.recordQueue.anyRemainingAbove(lazySends) || g.opinionQueue.anyRemainingAbove(lazySends) || g.reachQueue.anyRemainingAbove(lazySends)
}

// disseminateOnce sends updates to some neighbours and, from a relay, to other
// zones.
func (g *Gossip) disseminateOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.period/2)
	defer cancel()
	var eg errgroup.Group
	for _, a := range g.pickRandom(g.ownZone().fingers(g.self), eagerSends) {
		m := g.message(maxUpdateBytes)
		eg.Go(func() error {
			_, err := g.ping(ctx, updateKind, a, m)
			return err
		})
	}
	g.export(ctx, &eg)
	if err := eg.Wait(); err != nil {
		g.log.Debug("updates not delivered to every neighbour and zone", "Error", err)
	}
}

// message returns a message with up to limit bytes of updates, which it takes
// from the queues. If the allowance is used up, it takes up to minUpdateBytes.
func (g *Gossip) message(limit mwunit.Bytes) Message {
	m := g.header()
	m.InForce = g.inForce()
	room := max(g.allowance.available(limit), minUpdateBytes)
	before := room
	m.Opinions = g.opinionQueue.take(&room)
	m.Records = g.recordQueue.take(&room)
	m.Reaches = g.reachQueue.take(&room)
	m.Zones = g.summaryQueue.take(&room)
	g.allowance.spend(before - room)
	return m
}

// header returns a message without updates.
func (g *Gossip) header() Message {
	m := Message{
		From: g.self, Version: mwid.Version(g.version.Load()),
		Digest: g.view.Load().digest, Watch: g.watch.best(time.Now(), g.watchLimit()),
	}
	if v, a := g.newest.get(); v > m.Version {
		m.Newest, m.Holder = v, a
	}
	return m
}

// ping sends m and applies the answer.
func (g *Gossip) ping(ctx context.Context, k kind, to mwid.Address, m Message) (Message, error) {
	res, err := g.tr.Ping(ctx, to, m)
	if err != nil {
		g.stat.failures[k].Inc()
		g.stat.countSent(k, m.bytes())
		return res, err
	}
	g.stat.countSent(k, m.bytes()+res.bytes())
	g.receiveMessage(res)
	return res, nil
}

// receiveMessage applies m and reports whether its sender is in this node's zone.
func (g *Gossip) receiveMessage(m Message) bool {
	g.receiveUpdates(m.Records, m.Opinions)
	for _, s := range m.Zones {
		g.applySummary(s)
	}
	from, ok := g.table.get(m.From)
	inOwnZone := ok && from.Zone == g.zone
	g.recordVersion(m.From, m.Version, inOwnZone)
	g.recordNewest(m.Newest, m.Holder, false)
	g.watch.receive(time.Now(), m.Watch, g.watchLimit())
	if !inOwnZone {
		return false
	}
	for _, r := range m.Reaches {
		g.applyReach(r)
	}
	g.mergeInForce(m.InForce)
	return true
}

// HandlePing answers a ping.
func (g *Gossip) HandlePing(m Message) Message {
	if g.receiveMessage(m) {
		return g.message(maxUpdateBytes)
	}
	return g.zoneHeader()
}

// announceDeparture notifies some neighbours of the departure of this node, so
// that they need not detect it by failed pings.
func (g *Gossip) announceDeparture() {
	ctx, cancel := context.WithTimeout(context.Background(), g.period/2)
	defer cancel()
	m := g.header()
	g.mu.Lock()
	m.Opinions = []Opinion{{Node: g.self, Zone: g.zone, Incarnation: g.own.Incarnation, Health: Dead}}
	g.mu.Unlock()
	var eg errgroup.Group
	for _, a := range g.pickRandom(g.ownZone().fingers(g.self), eagerSends) {
		eg.Go(func() error {
			_, err := g.tr.Ping(ctx, a, m)
			return err
		})
	}
	if err := eg.Wait(); err != nil {
		g.log.Debug("departure not delivered to every neighbour", "Error", err)
	}
}
