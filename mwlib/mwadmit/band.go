package mwadmit

import (
	"math"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlane"
	"mustardwheel.example/mwlib/mwqueue"
	"mustardwheel.example/mwlib/mwunit"
)

// band is a group of calls with its own floor and ceiling of slots: the calls
// to one retired interface, or all other calls. It has its own queue for each
// lane, so that queued calls of one group or lane neither delay nor displace
// those of another.
//
// The callers of a retired interface share its ceiling. Each call therefore has
// a share: the number of calls of its caller that are already queued or in
// flight in the group.
type band struct {
	version  mwid.Version // version of the configuration that set the bounds; older ones are ignored.
	floor    mwunit.Slots
	ceiling  mwunit.Slots
	inFlight mwunit.Slots
	queues   [mwlane.Count]*queue
	paces    [mwlane.Count]pace
	callers  map[mwid.CallerName]mwunit.Slots // calls queued or in flight by caller; nil if not on a retired interface.
}

type queue = mwqueue.Queue[*ticket, mwqueue.ByPriority]

// unbounded is the ceiling of calls that are not on a retired interface.
const unbounded mwunit.Slots = math.MaxInt

func newBand(floor, ceiling, capacity mwunit.Slots) *band {
	b := &band{floor: floor, ceiling: ceiling}
	for l := range b.queues {
		b.queues[l] = mwqueue.New[*ticket](mwqueue.ByPriority{}, capacity)
	}
	return b
}

// arrive counts a new call of caller c and returns its share.
func (b *band) arrive(c mwid.CallerName) mwunit.Slots {
	if b.callers == nil {
		return 0
	}
	n := b.callers[c]
	b.callers[c] = n + 1
	return n
}

// depart removes a call of caller c from the count, once it is neither queued
// nor in flight.
func (b *band) depart(c mwid.CallerName) {
	if b.callers == nil {
		return
	}
	b.callers[c]--
	if b.callers[c] == 0 {
		delete(b.callers, c)
	}
}

// open reports whether the ceiling allows one more call.
func (b *band) open() bool { return b.inFlight < b.ceiling }

// owed reports whether fewer calls are in flight than the floor guarantees.
func (b *band) owed() bool { return b.inFlight < b.floor }

// waiting returns the number of calls in the queues.
func (b *band) waiting() mwunit.Slots {
	n := 0
	for _, q := range b.queues {
		n += q.Len()
	}
	return mwunit.Slots(n)
}

// idle reports whether no call of b is queued or in flight.
func (b *band) idle() bool { return b.inFlight == 0 && b.waiting() == 0 }
