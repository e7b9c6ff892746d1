package mwadmit

import (
	"math"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlane"
	"mustardwheel.example/mwlib/mwqueue"
	"mustardwheel.example/mwlib/mwunit"
)

// band is a group of calls with a floor and a ceiling of its own: those on
// one retired interface, or all others. It has a queue for each lane, so that
// what waits for the one does not hold up the other and can't push it out.
//
// The callers of a retired interface share its ceiling. Each call has a share:
// the number of calls of its caller that are here already.
type band struct {
	version  mwid.Version // version is that of the bounds; older ones don't count.
	floor    mwunit.Slots
	ceiling  mwunit.Slots
	inFlight mwunit.Slots
	queues   [mwlane.Count]*queue
	paces    [mwlane.Count]pace
	callers  map[mwid.CallerName]mwunit.Slots // callers counts what is here; nil where it does not matter.
}

type queue = mwqueue.Queue[*ticket, mwqueue.ByPriority]

// unbounded is the ceiling of calls that are not retired.
const unbounded mwunit.Slots = math.MaxInt

func newBand(floor, ceiling, capacity mwunit.Slots) *band {
	b := &band{floor: floor, ceiling: ceiling}
	for l := range b.queues {
		b.queues[l] = mwqueue.New[*ticket](mwqueue.ByPriority{}, capacity)
	}
	return b
}

// arrive counts a call of a caller that came and returns its share.
func (b *band) arrive(c mwid.CallerName) mwunit.Slots {
	if b.callers == nil {
		return 0
	}
	n := b.callers[c]
	b.callers[c] = n + 1
	return n
}

// depart counts a call of a caller that is not here any more.
func (b *band) depart(c mwid.CallerName) {
	if b.callers == nil {
		return
	}
	b.callers[c]--
	if b.callers[c] == 0 {
		delete(b.callers, c)
	}
}

// open tells whether the ceiling allows one more call.
func (b *band) open() bool { return b.inFlight < b.ceiling }

// owed tells whether the floor promises one more call.
func (b *band) owed() bool { return b.inFlight < b.floor }

// waiting returns the number of calls in the queues.
func (b *band) waiting() mwunit.Slots {
	n := 0
	for _, q := range b.queues {
		n += q.Len()
	}
	return mwunit.Slots(n)
}

// idle tells whether nothing of the band is here.
func (b *band) idle() bool { return b.inFlight == 0 && b.waiting() == 0 }
