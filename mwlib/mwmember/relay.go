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

// Parameters of the pings between zones.
const (
	relayPeriod         = time.Second
	relayTimeout        = 800 * time.Millisecond
	unreachableFailures = 3 // number of consecutive failures after which a relay reports a zone unreachable
	reachPeriod         = 10 * time.Second
	minSummaryInterval  = 4 * time.Second
)

// relay pings other zones and reports their reachability and the state of its own
// zone while this node is one of the zone's relays. At other times it is idle. mu
// guards failures; the other fields belong to the goroutine of run.
type relay struct {
	g          *Gossip
	round      int
	mu         sync.Mutex
	failures   map[mwid.ZoneName]int // consecutive failures per zone
	reported   []mwid.ZoneName
	reportedAt time.Time
	seq        uint64
	summaryAt  time.Time
}

func newRelay(g *Gossip) *relay {
	return &relay{g: g, failures: make(map[mwid.ZoneName]int)}
}

// relayIndex returns the index of this node among the relays of its zone, or
// RelaysPerZone if it is none of them.
func (g *Gossip) relayIndex() int {
	if i := slices.Index(g.ownZone().relays, g.self); i >= 0 {
		return i
	}
	return RelaysPerZone
}

// Relay reports whether this node is a relay of its zone.
func (g *Gossip) Relay() bool { return g.relayIndex() < RelaysPerZone }

// run pings other zones every relayPeriod while this node is a relay. It does not
// report their reachability in its first RelaysPerZone rounds, which it needs to
// ping each of them once if its index stays the same. The relay with index 0
// also publishes the summary of the zone.
func (r *relay) run(ctx context.Context) {
	t := mwtimer.NewTicker(relayPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		i := r.g.relayIndex()
		if i >= RelaysPerZone {
			r.round, r.reported = 0, nil
			clear(r.failures)
			continue
		}
		r.pingZones(ctx, i)
		r.round++
		if r.round > RelaysPerZone {
			r.reportReach()
		}
		if i == 0 {
			r.publishSummary()
		}
	}
}

// pingZones pings every zone whose last ping failed, and one in RelaysPerZone
// of the others, so that the relays together ping each zone in each period. index
// is the index of this node among the relays.
func (r *relay) pingZones(ctx context.Context, index int) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	v := r.g.view.Load()
	var eg errgroup.Group
	for i, n := range v.names {
		z := v.zones[n]
		if n == r.g.zone || len(z.live) == 0 {
			continue
		}
		failed := r.failureCount(n)
		if failed == 0 && (i+r.round)%RelaysPerZone != index {
			continue
		}
		to := r.contact(z, failed)
		eg.Go(func() error { return r.pingZone(ctx, n, to) })
	}
	if err := eg.Wait(); err != nil {
		r.g.log.Debug("ping of another zone failed", "Error", err)
	}
}

// contact returns the address to ping in z: that of a relay, in rotation, or
// that of a random node after as many failures as z has relays.
func (r *relay) contact(z *zoneView, failed int) mwid.Address {
	if failed < len(z.relays) {
		return addressOf(z.relays[(r.round/RelaysPerZone+failed)%len(z.relays)])
	}
	return addressOf(z.live[rand.N(len(z.live))])
}

func (r *relay) failureCount(n mwid.ZoneName) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures[n]
}

func (r *relay) pingZone(ctx context.Context, n mwid.ZoneName, to mwid.Address) error {
	res, err := r.g.ping(ctx, relayKind, to, r.g.zoneHeader())
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failures[n]++
		return err
	}
	r.failures[n] = 0
	r.g.requestExchange(to, res)
	return nil
}

// reportReach reports the unreachable zones to this node's zone, on a change and
// at least every reachPeriod.
func (r *relay) reportReach() {
	r.mu.Lock()
	var unreachable []mwid.ZoneName
	for n, f := range r.failures {
		if f >= unreachableFailures {
			unreachable = append(unreachable, n)
		}
	}
	r.mu.Unlock()
	slices.Sort(unreachable)
	now := time.Now()
	if slices.Equal(unreachable, r.reported) && now.Sub(r.reportedAt) < reachPeriod {
		return
	}
	r.reported, r.reportedAt = unreachable, now
	r.seq++
	r.g.applyReach(Reach{Relay: r.g.self, Seq: r.seq, Unreachable: unreachable})
}

// publishSummary publishes the state of this node's zone if it changed, at most
// once per minSummaryInterval.
func (r *relay) publishSummary() {
	now := time.Now()
	s := r.g.ownSummary()
	old, ok := r.g.summaries.Get(s.Zone)
	s.Stamp = old.Stamp
	if (ok && s == old) || now.Sub(r.summaryAt) < minSummaryInterval {
		return
	}
	r.summaryAt = now
	s.Stamp++
	r.g.applySummary(s)
}

// applyReach applies the report of a relay of this node's zone.
func (g *Gossip) applyReach(x Reach) {
	stored, changed := false, false
	g.reach.Update(x.Relay, func(old Reach, ok bool) (Reach, bool) {
		if ok && old.Seq >= x.Seq {
			return old, true
		}
		stored = true
		changed = !slices.Equal(old.Unreachable, x.Unreachable)
		return x, true
	})
	if !stored {
		return
	}
	g.reachQueue.put(x.Relay, x, lazySends)
	if changed {
		g.reachQueue.put(x.Relay, x, totalSends)
		signal(g.wake)
		g.log.Info("reachability of other zones changed", "Relay", x.Relay, "Unreachable", x.Unreachable)
		signal(g.dirty)
	}
}

// isUnreachable reports whether z is unreachable, that is, whether every relay of
// this node's zone that sent a report lists z in it. Without any report z counts
// as reachable.
func (g *Gossip) isUnreachable(v *view, z mwid.ZoneName) bool {
	own := v.zones[g.zone]
	if own == nil || z == g.zone {
		return false
	}
	reports := 0
	for _, n := range own.relays {
		report, ok := g.reach.Get(n)
		if !ok {
			continue
		}
		reports++
		if !slices.Contains(report.Unreachable, z) {
			return false
		}
	}
	return reports > 0
}

// applySummary applies the state of a zone as reported by one of its relays.
func (g *Gossip) applySummary(s Summary) {
	stored := false
	g.summaries.Update(s.Zone, func(old Summary, ok bool) (Summary, bool) {
		if ok && old.Stamp >= s.Stamp {
			return old, true
		}
		stored = true
		return s, true
	})
	if stored {
		g.summaryQueue.put(s.Zone, s, lazySends)
	}
}

// zoneHeader returns a message for another zone: a header with the state of this
// node's zone and no updates.
func (g *Gossip) zoneHeader() Message {
	m := g.header()
	if s, ok := g.summaries.Get(g.zone); ok {
		m.Zones = []Summary{s}
	}
	return m
}

// export sends updates of this node's zone to those other zones for which this
// node is one of the exporting relays.
func (g *Gossip) export(ctx context.Context, eg *errgroup.Group) {
	v := g.view.Load()
	own := v.zones[g.zone]
	if !slices.Contains(own.relays, g.self) {
		return
	}
	m := g.zoneHeader()
	room := maxExportBytes
	m.Opinions = g.exportOpinions.take(&room)
	m.Records = g.exportRecords.take(&room)
	for _, n := range v.names {
		z := v.zones[n]
		if n == g.zone || z.unreachable || len(z.relays) == 0 {
			continue
		}
		i := slices.Index(topRanked(string(n), own.relays, exportersPerZone), g.self)
		if i < 0 {
			continue
		}
		to := addressOf(z.relays[i%len(z.relays)])
		eg.Go(func() error {
			_, err := g.ping(ctx, exportKind, to, m)
			return err
		})
	}
}
