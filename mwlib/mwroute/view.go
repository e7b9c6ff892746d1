package mwroute

import (
	"cmp"
	"slices"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// distance orders targets by the cost of reaching them.
type distance int

const (
	self distance = iota
	sameZone
	sameRegion
	otherRegion
	numDistances // numDistances is the number of distances.
)

// String returns the name used in metrics.
func (d distance) String() string {
	return [...]string{"self", "zone", "region", "far"}[d]
}

// tier is the targets at one distance. Targets in other regions form one tier
// per region, so that the cheapest region comes first.
type tier struct {
	tierKey
	cost    time.Duration // cost is the median latency, which orders far regions.
	targets []mwcall.Target
}

// tierKey identifies a tier; region is set only for otherRegion.
type tierKey struct {
	distance distance
	region   mwid.RegionName
}

// view is the targets of one service, ordered for picking. It is immutable; a
// new view is built when the known targets change or after viewAge.
type view struct {
	first        *mwcall.Target // first and n identify the slice that the view was built from.
	n            int
	builtAt      time.Time
	tiers        []tier
	lastResort   []mwcall.Target                   // lastResort is the targets used if no tier has a usable one.
	median       time.Duration                     // median is the median latency, without the excess of other regions.
	spread       time.Duration                     // spread is the median of the targets' spreads.
	regionExcess map[mwid.RegionName]time.Duration // regionExcess is the additional latency of each other region.
	oldest       time.Time                         // oldest is the earliest Since of the targets.
	ejected      int
}

// viewAge is how long a view is valid.
const viewAge = 100 * time.Millisecond

func (v *view) valid(ts []mwcall.Target, now time.Time) bool {
	return v.n == len(ts) && (v.n == 0 || v.first == &ts[0]) && now.Sub(v.builtAt) < viewAge
}

// observed is a target with its observed state.
type observed struct {
	mwcall.Target
	state
	ejected bool
}

// newView orders ts for the node at here. stateOf returns the observed state of
// a target; at most the fraction maxEjected of the targets is ejected.
func newView(here mwcall.Target, ts []mwcall.Target, stateOf func(targetKey) state, maxEjected mwunit.Ratio, now time.Time) *view {
	v := &view{n: len(ts), builtAt: now}
	if len(ts) > 0 {
		v.first = &ts[0]
	}
	all := make([]observed, 0, len(ts))
	for i, t := range ts {
		if t.State != mwcall.Leaving {
			all = append(all, observed{Target: t, state: stateOf(keyOf(t))})
		}
		if i == 0 || t.Since.Before(v.oldest) {
			v.oldest = t.Since
		}
	}
	v.regionExcess = regionExcess(here, all)
	v.median = medianOf(all, func(s observed) time.Duration { return s.level - v.regionExcess[s.Region] })
	v.spread = medianOf(all, func(s observed) time.Duration { return s.spread })
	v.ejected = eject(all, maxEjected, now)
	v.buildTiers(here, all)
	return v
}

// buildTiers puts each target into its tier. This node's own target is in the
// tier of its zone too, so that other targets share its load when it is high.
func (v *view) buildTiers(here mwcall.Target, all []observed) {
	members := make(map[tierKey][]observed, numDistances)
	for _, s := range all {
		if s.ejected || s.State != mwcall.Up {
			continue
		}
		for _, k := range tiersOf(here, s.Target) {
			members[k] = append(members[k], s)
		}
	}
	for k, ss := range members {
		t := tier{tierKey: k, cost: medianOf(ss, levelOf)}
		for _, s := range ss {
			t.targets = append(t.targets, s.Target)
		}
		v.tiers = append(v.tiers, t)
	}
	slices.SortFunc(v.tiers, func(a, b tier) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance),
			cmp.Compare(a.cost, b.cost), cmp.Compare(a.region, b.region))
	})
	v.lastResort = lastResort(here, all)
}

// tiersOf returns the tiers that t belongs to.
func tiersOf(here, t mwcall.Target) []tierKey {
	switch d := distanceOf(here, t); d {
	case self:
		return []tierKey{{distance: self}, {distance: sameZone}}
	case otherRegion:
		return []tierKey{{distance: d, region: t.Region}}
	default:
		return []tierKey{{distance: d}}
	}
}

// lastResort returns the targets that are in no tier: by state (ejected ones,
// suspects, unreachable ones), then by distance.
func lastResort(here mwcall.Target, all []observed) []mwcall.Target {
	var ts []mwcall.Target
	for _, s := range all {
		if s.ejected || s.State != mwcall.Up {
			ts = append(ts, s.Target)
		}
	}
	slices.SortStableFunc(ts, func(a, b mwcall.Target) int {
		return cmp.Or(cmp.Compare(a.State, b.State),
			cmp.Compare(distanceOf(here, a), distanceOf(here, b)))
	})
	return ts
}

func distanceOf(here, t mwcall.Target) distance {
	switch {
	case t.Node == here.Node:
		return self
	case t.Zone == here.Zone:
		return sameZone
	case t.Region == here.Region:
		return sameRegion
	}
	return otherRegion
}

// minSamples is the number of answers that a target must have given before its
// latency counts as known.
const minSamples = 5

// medianOf returns the lower median of value over the targets whose latency is
// known, or 0.
func medianOf(all []observed, value func(observed) time.Duration) time.Duration {
	ds := make([]time.Duration, 0, len(all))
	for _, s := range all {
		if s.samples >= minSamples {
			ds = append(ds, value(s))
		}
	}
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[(len(ds)-1)/2]
}

// regionExcess returns the additional latency of each other region: the
// difference between its median latency and that of this region. Without this
// correction, all targets in other regions would look slow.
func regionExcess(here mwcall.Target, all []observed) map[mwid.RegionName]time.Duration {
	byRegion := make(map[mwid.RegionName][]observed)
	for _, s := range all {
		byRegion[s.Region] = append(byRegion[s.Region], s)
	}
	base := medianOf(byRegion[here.Region], levelOf)
	excess := make(map[mwid.RegionName]time.Duration)
	for r, ss := range byRegion {
		if d := medianOf(ss, levelOf); r != here.Region && base > 0 && d > base {
			excess[r] = d - base
		}
	}
	return excess
}

func levelOf(s observed) time.Duration { return s.level }

// norm returns the usual latency of the targets in r. A target is slow above
// factor times the typical latency.
func (v *view) norm(r mwid.RegionName, factor mwunit.Ratio) norm {
	if v.median == 0 {
		return norm{}
	}
	typical := v.median + v.regionExcess[r]
	slow := max(time.Duration(float64(factor)*float64(typical)), minSlowLatency)
	passOver := max(typical+passOverSpreads*v.spread, time.Duration(passOverFactor*float64(typical)), minSlowLatency)
	return norm{typical: typical, passOver: min(passOver, slow), eject: slow}
}

// eject marks targets that are slow or cannot be reached, the worst first, and
// returns their number. It ejects at most the fraction maxEjected of all
// targets. Slow or unreachable targets beyond that stay in use, since if most
// targets look bad, the fault may well be on the path to them.
func eject(all []observed, maxEjected mwunit.Ratio, now time.Time) int {
	var bad []*observed
	for i := range all {
		s := &all[i]
		if s.State == mwcall.Up && (now.Before(s.downUntil) || now.Before(s.slowUntil)) {
			bad = append(bad, s)
		}
	}
	slices.SortStableFunc(bad, func(a, b *observed) int {
		return cmp.Or(b.downUntil.Compare(a.downUntil), cmp.Compare(b.slowLatency, a.slowLatency))
	})
	n := min(len(bad), int(float64(maxEjected)*float64(len(all))))
	for _, s := range bad[:n] {
		s.ejected = true
	}
	return n
}
