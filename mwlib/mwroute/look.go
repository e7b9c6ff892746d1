package mwroute

import (
	"time"

	"mustardwheel.example/mwlib/mwcall"
)

// look is the data common to all targets in one call to Expect.Pick.
type look struct {
	c       *mwcall.Call
	now     time.Time
	typical time.Duration // typical is the median time for which calls hold a slot of the targets.
	kind    kind
	left    time.Duration // left is the time until the deadline of c; 0 if it has none.
}

func (x *Expect) look(c *mwcall.Call, ts []mwcall.Target, now time.Time) look {
	l := look{c: c, now: now, typical: x.typical(ts)}
	l.kind, _ = x.kinds.Get(kindOf(c))
	l.left, _ = c.Remaining(now)
	return l
}

// hopeless reports whether c cannot end before its deadline even at the best
// target. A call that is part of a running request gets more time: refusing it
// would waste the work done for the request so far.
func (l *look) hopeless(best expected) bool {
	left := l.left
	if l.c.Depth > 0 {
		left *= begunChance
	}
	return l.left > 0 && best.fit == fit && best.took > left
}

// begunChance is the factor by which the expected time of a call that is part
// of a running request may exceed the time until its deadline: half of the
// calls take less than two thirds of the mean.
const begunChance = 2

// Penalties that are added to the expected time.
const (
	// farPenalty and farPerKB are how much longer an answer from this node's
	// region may take before another region is preferred, per call and per
	// 1,000 bytes of its answer: bytes between regions cost 7 times those
	// between zones, and 1,000 of them a twentieth of an ordinary call's value.
	farPenalty = 40 * time.Millisecond
	farPerKB   = 15 * time.Millisecond
	// zonePenalty and zonePerKB are the same for another availability zone.
	zonePenalty = 3 * time.Millisecond
	zonePerKB   = 2 * time.Millisecond
	// A straggler takes stragglerFactor times as long as other calls, and the
	// fraction stragglerShare of the calls are stragglers. Both are figures
	// that users report for their workloads.
	stragglerFactor = 6
	stragglerShare  = 0.03
	// The cost of a straggler that ends too late, as the time of equal value:
	// lostOnce if it misses the deadline and may not be repeated, lostAgain if
	// it misses the deadline and may be repeated, and late if it misses only
	// the objective.
	lostOnce  = 3600 * time.Millisecond
	lostAgain = 1200 * time.Millisecond
	late      = 800 * time.Millisecond
)

// price returns the cost of the bytes sent to a target at d, as a time.
func (l *look) price(d distance) time.Duration {
	kb := l.kind.size / 1000
	switch d {
	case otherRegion:
		return farPenalty + time.Duration(kb*float64(farPerKB))
	case sameRegion:
		return zonePenalty + time.Duration(kb*float64(zonePerKB))
	}
	return 0
}

// risk returns the expected loss by stragglers, as a time, for a call that
// waits for before and then holds its slot for hold. It directs calls with
// little time to spare to faster targets.
func (l *look) risk(before, hold time.Duration) time.Duration {
	end := before + stragglerFactor*hold
	cost := time.Duration(0)
	switch objective := l.c.Class.Objective; {
	case l.left > 0 && end > l.left && !l.c.Class.Repeatable:
		cost = lostOnce
	case l.left > 0 && end > l.left:
		cost = lostAgain
	case objective > 0 && end > objective:
		cost = late
	}
	return time.Duration(stragglerShare * float64(cost))
}
