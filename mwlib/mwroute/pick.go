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
type pick[S Scorer] struct {
	r     *Router[S]
	c     *mwcall.Call
	v     *view
	tried mwset.Set[mwid.NodeID]
	now   time.Time
	// slow is the best of the slow targets found.
	slow choice
	// fallbacks has, for each availability worse than slowNow, the first target
	// found, which is the nearest, since the nearest tiers are searched first.
	fallbacks [down + 1]*mwcall.Target
}

func (p *pick[S]) run() (mwcall.Target, error) {
	for i := range p.v.tiers {
		t := &p.v.tiers[i]
		passed := p.passedOver()
		if t.distance == otherRegion && passed && p.c.Class.Length == mwconfig.Long {
			break
		}
		best, ok := p.pickFrom(t)
		if ok && t.distance == otherRegion && passed && !p.r.farBudget.Spend(p.c.Service, p.now) {
			break
		}
		if ok {
			p.r.meter.countPick(t.distance, passed)
			return *best, nil
		}
	}
	return p.fallback()
}

// passedOver reports whether a target was passed over only because it was busy
// or slow. If so, the call may leave the region only if farBudget has a token for
// it, and long work, whose bytes cost the most, may not leave it at all.
func (p *pick[S]) passedOver() bool {
	return p.slow.found > 0 || p.fallbacks[busy] != nil || p.fallbacks[belowThreshold] != nil
}

// choice is the best of the targets offered; found is the number of offers.
type choice struct {
	best  *mwcall.Target
	score float64
	found int
}

// winFactor is the factor by which a score must be lower to win. Smaller
// differences are noise; without the factor, the slower of two similar targets
// would get no calls at all and its latency would never be updated.
const winFactor = 0.8

func (ch *choice) offer(t *mwcall.Target, score float64) {
	if ch.found == 0 || score < winFactor*ch.score {
		ch.best, ch.score = t, score
	}
	ch.found++
}

// maxCandidates is the number of targets compared in a tier.
const maxCandidates = 2

// pickFrom returns the better of two random targets of t that have room and are
// not slow. A new target is often skipped, so that its share grows gradually.
func (p *pick[S]) pickFrom(t *tier) (*mwcall.Target, bool) {
	n := len(t.targets)
	var warm, cold choice
	start, step := rand.IntN(n), coprimeStep(n)
	for i := 0; i < n && warm.found < maxCandidates; i++ {
		tg := &t.targets[(start+i*step)%n]
		l, a := p.inspect(tg)
		if a != available || t.distance == self && crowded(l) {
			continue
		}
		score := p.r.score.Score(l)
		if p.skipNew(tg) {
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

// inspect returns the load and availability of t, and records t as a fallback
// if it is not available.
func (p *pick[S]) inspect(t *mwcall.Target) (Load, availability) {
	if p.tried.Has(t.Node) {
		return Load{}, excluded
	}
	s, _ := p.r.states.Get(targetKey{t.Node, t.Service})
	n := p.v.norm(t.Region, p.r.set.SlowFactor)
	l := s.load(t.Slots, n.typical, p.now.Sub(p.r.epoch), p.now)
	if p.c.Class.Length == mwconfig.Long {
		l = s.longLoad(t.Slots, n.typical)
	}
	a := s.availability(p.c, p.now)
	slow := n.known() && l.Latency > n.passOver
	if a == available && (slow || s.trialInFlight()) {
		a = slowNow
		p.slow.offer(t, p.r.score.Score(l))
	}
	if a > slowNow && p.fallbacks[a] == nil {
		p.fallbacks[a] = t
	}
	return l, a
}

// minNewShare is the fraction of its full share that a new target gets at
// first.
const minNewShare = 0.1

// skipNew reports whether t is skipped this time because it is new. A target is
// compared with the oldest one known: at a node that has just started, all are
// equally new and none is skipped.
func (p *pick[S]) skipNew(t *mwcall.Target) bool {
	age, warm := p.now.Sub(t.Since), min(p.r.set.Warmup, p.now.Sub(p.v.oldest))
	if age >= warm {
		return false
	}
	share := max(minNewShare, float64(age)/float64(warm))
	return rand.Float64() >= share
}

// probeShare is the fraction of the calls due for an early refusal that are sent
// to a target nevertheless, to learn when targets accept such calls again.
const probeShare = 0.02

// fallback returns a target if no tier has one with room: a slow one, else a
// busy one, else one that was ejected, is suspect or could not be reached. It
// refuses a call that every usable target would refuse.
func (p *pick[S]) fallback() (mwcall.Target, error) {
	if p.slow.found > 0 {
		return *p.slow.best, nil
	}
	if t := p.fallbacks[busy]; t != nil {
		return *t, nil
	}
	if t := p.fallbacks[belowThreshold]; t != nil {
		if rand.Float64() < probeShare {
			p.r.meter.probes.Inc()
			return *t, nil
		}
		p.r.meter.early.Inc()
		return mwcall.Target{}, mwcode.New(mwcode.EarlyRefusal)
	}
	for i := range p.v.lastResort {
		t := &p.v.lastResort[i]
		if _, a := p.inspect(t); a <= slowNow {
			p.r.meter.fallback.Inc()
			return *t, nil
		}
	}
	if t := p.fallbacks[down]; t != nil {
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
