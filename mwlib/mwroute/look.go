package mwroute

import (
	"time"

	"mustardwheel.example/mwlib/mwcall"
)

// look is what all targets are judged by in one choice.
type look struct {
	c       *mwcall.Call
	now     time.Time
	typical time.Duration // typical is the median hold of the targets.
	kind    kind
	left    time.Duration // left is the time that c has; 0 is no bound.
}

func (x *Expect) look(c *mwcall.Call, ts []mwcall.Target, now time.Time) look {
	l := look{c: c, now: now, typical: x.typical(ts)}
	l.kind, _ = x.kinds.Get(kindOf(c))
	l.left, _ = c.Remaining(now)
	return l
}

// hopeless tells whether c can't end in its time even at the best target. A
// call that belongs to work already done has more of a chance given: where it
// is refused, that work is lost.
func (l *look) hopeless(best expected) bool {
	left := l.left
	if l.c.Depth > 0 {
		left *= begunChance
	}
	return l.left > 0 && best.fit == fit && best.took > left
}

// begunChance is how many times as long as it has left a call may be expected
// to take that belongs to work already done: half of the calls take less than
// two thirds of the mean.
const begunChance = 2

// What weighs beside the time to expect.
const (
	// farPenalty and farPerKB are how much longer an answer from the own
	// region may take than one from another region, for a call and for each
	// 1,000 bytes of its answer: bytes between regions cost 7 times those
	// between zones, and 1,000 of them a twentieth of a plain call's worth.
	farPenalty = 40 * time.Millisecond
	farPerKB   = 15 * time.Millisecond
	// zonePenalty and zonePerKB are the same for another availability zone.
	zonePenalty = 3 * time.Millisecond
	zonePerKB   = 2 * time.Millisecond
	// A straggler takes stragglerFactor times as long as other calls, and
	// stragglerShare of the calls are stragglers: what the users report of
	// their work.
	stragglerFactor = 6
	stragglerShare  = 0.03
	// What a straggler costs that ends after its time: lostOnce where the
	// call is not made again, lostAgain where it may be, and late where only
	// the objective is missed; in the time that is worth as much.
	lostOnce  = 3600 * time.Millisecond
	lostAgain = 1200 * time.Millisecond
	late      = 800 * time.Millisecond
)

// price returns what the bytes to a target at d cost, as a time.
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

// risk returns what is lost by stragglers where a call starts after before and
// holds its slot for hold, as a time. It sends work that has little time to
// spare to faster targets.
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
