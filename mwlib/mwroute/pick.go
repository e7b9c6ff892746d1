package mwroute

import (
	"math/rand/v2"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwset"
)

// pick is the state of one call to Router.Pick.
type pick[S Score] struct {
	r     *Router[S]
	c     *mwcall.Call
	v     *view
	tried mwset.Set[mwid.NodeID]
	now   time.Time
	// tardy is the better of the tardy targets found.
	tardy choice
	// leftovers has the first target found for each fitness worse than tardy,
	// which is the nearest.
	leftovers [down + 1]*mwcall.Target
}

func (p *pick[S]) run() (mwcall.Target, error) {
	for i := range p.v.tiers {
		t := &p.v.tiers[i]
		passed := p.passedOver()
		if t.distance == otherRegion && passed && p.c.Class.Length == mwconfig.Long {
			break
		}
		best, ok := p.from(t)
		if ok && t.distance == otherRegion && passed && !p.r.far.Spend(p.c.Service, p.now) {
			break
		}
		if ok {
			p.r.meter.picked(t.distance, passed)
			return *best, nil
		}
	}
	return p.leftover()
}

// passedOver reports whether a target was passed over only because it was busy
// or slow. The call may then leave the region only within the limit for such
// calls, and long work, whose bytes cost the most, may not leave it at all.
func (p *pick[S]) passedOver() bool {
	return p.tardy.found > 0 || p.leftovers[busy] != nil || p.leftovers[below] != nil
}

// choice is the better of the candidates offered.
type choice struct {
	best  *mwcall.Target
	score float64
	found int
}

// clearly is the factor by which a score must be lower to win. Smaller
// differences are noise; without the factor, the slower of two similar targets
// would get no calls at all and its latency would never be updated.
const clearly = 0.8

func (ch *choice) offer(t *mwcall.Target, score float64) {
	if ch.found == 0 || score < clearly*ch.score {
		ch.best, ch.score = t, score
	}
	ch.found++
}

// choices is the number of targets compared in a tier.
const choices = 2

// from returns the better of two random targets of t that have room and are
// not slow. A new target is often skipped, so that its share grows gradually.
func (p *pick[S]) from(t *tier) (*mwcall.Target, bool) {
	n := len(t.targets)
	var warm, cold choice
	start, step := rand.IntN(n), coprimeStep(n)
	for i := 0; i < n && warm.found < choices; i++ {
		tg := &t.targets[(start+i*step)%n]
		l, f := p.look(tg)
		if f != fit || t.distance == self && crowded(l) {
			continue
		}
		score := p.r.score.Of(l)
		if p.cold(tg) {
			cold.offer(tg, score)
			continue
		}
		warm.offer(tg, score)
	}
	if warm.found == 0 {
		return cold.best, cold.found > 0
	}
	return warm.best, true
}

// crowdedShare is the fraction of its slots up to which this node's own target
// is preferred.
const crowdedShare = 0.5

func crowded(l Load) bool {
	return float64(l.InFlight) >= crowdedShare*float64(l.Slots)
}

// look returns the load and fitness of t, and records t as a fallback if it is
// not fit.
func (p *pick[S]) look(t *mwcall.Target) (Load, fitness) {
	if p.tried.Has(t.Node) {
		return Load{}, gone
	}
	s, _ := p.r.states.Get(targetKey{t.Node, t.Service})
	n := p.v.norm(t.Region, p.r.set.SlowFactor)
	l := s.load(t.Slots, n.typical, p.now.Sub(p.r.epoch), p.now)
	if p.c.Class.Length == mwconfig.Long {
		l = s.loadOfLong(t.Slots, n.typical)
	}
	f := s.fitness(p.c, p.now)
	slow := n.known() && l.Latency > n.tardy
	if f == fit && (slow || s.onTrial()) {
		f = tardy
		p.tardy.offer(t, p.r.score.Of(l))
	}
	if f > tardy && p.leftovers[f] == nil {
		p.leftovers[f] = t
	}
	return l, f
}

// minShare is the fraction of its full share that a new target gets at first.
const minShare = 0.1

// cold reports whether t is skipped this time because it is new. A target is
// compared with the oldest one known: at a node that has just started, all are
// equally new and none is skipped.
func (p *pick[S]) cold(t *mwcall.Target) bool {
	age, warm := p.now.Sub(t.Since), min(p.r.set.Warmup, p.now.Sub(p.v.oldest))
	if age >= warm {
		return false
	}
	share := max(minShare, float64(age)/float64(warm))
	return rand.Float64() >= share
}

// probeShare is the fraction of calls sent to a target although all are
// expected to refuse them, to learn when thresholds fall.
const probeShare = 0.02

// leftover returns a target if no tier has one with room: a slow one, else a
// busy one, else one that was ejected, is suspect or could not be reached. It
// refuses a call that every usable target would refuse.
func (p *pick[S]) leftover() (mwcall.Target, error) {
	if p.tardy.found > 0 {
		return *p.tardy.best, nil
	}
	if t := p.leftovers[busy]; t != nil {
		return *t, nil
	}
	if t := p.leftovers[below]; t != nil {
		if rand.Float64() < probeShare {
			p.r.meter.probes.Inc()
			return *t, nil
		}
		p.r.meter.early.Inc()
		return mwcall.Target{}, mwcode.New(mwcode.EarlyRefusal)
	}
	for i := range p.v.last {
		t := &p.v.last[i]
		if _, f := p.look(t); f <= tardy {
			p.r.meter.fallback.Inc()
			return *t, nil
		}
	}
	if t := p.leftovers[down]; t != nil {
		p.r.meter.fallback.Inc()
		return *t, nil
	}
	return mwcall.Target{}, mwcode.New(mwcode.NoTarget)
}

// steps are primes. Any n below their product is coprime to at least one of
// them.
var steps = [...]int{7, 11, 13, 17, 19, 23, 29, 31}

// coprimeStep returns a random step that visits each of n indices.
func coprimeStep(n int) int {
	for range steps {
		if s := steps[rand.IntN(len(steps))]; n%s != 0 {
			return s
		}
	}
	return 1
}
