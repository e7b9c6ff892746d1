package mwroute

import (
	"time"

	"mustardwheel.example/mwlib/mwcall"
)

// comparison is the data common to all targets in one call to
// ShortestDelay.Pick.
type comparison struct {
	c         *mwcall.Call
	now       time.Time
	typical   time.Duration // typical is the median time for which calls hold a slot of the targets.
	kind      kind
	remaining time.Duration // remaining is the time until the deadline of c; 0 if it has none.
}

func (x *ShortestDelay) newComparison(c *mwcall.Call, ts []mwcall.Target, now time.Time) comparison {
	l := comparison{c: c, now: now, typical: x.typical(c.Service, ts, now)}
	l.kind, _ = x.kinds.Get(kindOf(c))
	l.remaining, _ = c.Remaining(now)
	return l
}

// missesDeadline reports whether c is not expected to end before its deadline
// even at the best target. A call that is part of a running request gets more
// time: refusing it would waste the work done for the request so far.
func (l *comparison) missesDeadline(best candidate) bool {
	limit := l.remaining
	if l.c.Depth > 0 {
		limit *= nestedTimeFactor
	}
	return l.remaining > 0 && best.availability == available && best.delay > limit
}

// nestedTimeFactor is the factor by which the expected time of a call that is
// part of a running request may exceed the time until its deadline. The expected
// time is a mean, and half of the calls take less than two thirds of it.
const nestedTimeFactor = 2

// Penalties that are added to the expected time, and the figures from which the
// cost of stragglers is computed.
const (
	// farPenalty, per call, and farPerKB, per 1,000 bytes of the answer, are how
	// much shorter the expected time in another region must be for that region
	// to be preferred. A byte between regions costs 7 times as much as one
	// between zones, and 1,000 bytes between regions cost a twentieth of the
	// value of an ordinary call.
	farPenalty = 40 * time.Millisecond
	farPerKB   = 15 * time.Millisecond
	// zonePenalty and zonePerKB are the corresponding penalties for another
	// availability zone.
	zonePenalty = 3 * time.Millisecond
	zonePerKB   = 2 * time.Millisecond
	// A straggler takes stragglerFactor times as long as other calls, and the
	// fraction stragglerShare of the calls are stragglers. Both are figures
	// that users report for their workloads.
	stragglerFactor = 6
	stragglerShare  = 0.03
	// The cost of a straggler that ends too late, as an equivalent time:
	// missedDeadlineCost if it misses the deadline and may not be repeated,
	// missedRepeatableCost if it misses the deadline and may be repeated, and
	// missedObjectiveCost if it misses only the objective.
	missedDeadlineCost   = 3600 * time.Millisecond
	missedRepeatableCost = 1200 * time.Millisecond
	missedObjectiveCost  = 800 * time.Millisecond
)

// trafficCost returns the cost of traffic with a target at d, as a time: a fixed
// penalty for the call, and one for the expected size of its answer.
func (l *comparison) trafficCost(d distance) time.Duration {
	kb := l.kind.size / 1000
	switch d {
	case otherRegion:
		return farPenalty + time.Duration(kb*float64(farPerKB))
	case sameRegion:
		return zonePenalty + time.Duration(kb*float64(zonePerKB))
	}
	return 0
}

// stragglerCost returns the expected cost of stragglers, as a time, for a call
// that gets its slot after toSlot and then holds it for hold. It directs calls
// with little time to spare to faster targets.
func (l *comparison) stragglerCost(toSlot, hold time.Duration) time.Duration {
	end := toSlot + stragglerFactor*hold
	cost := time.Duration(0)
	switch objective := l.c.Class.Objective; {
	case l.remaining > 0 && end > l.remaining && !l.c.Class.Repeatable:
		cost = missedDeadlineCost
	case l.remaining > 0 && end > l.remaining:
		cost = missedRepeatableCost
	case objective > 0 && end > objective:
		cost = missedObjectiveCost
	}
	return time.Duration(stragglerShare * float64(cost))
}
