package mwadmit

import (
	"math"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlane"
	"mustardwheel.example/mwlib/mwqueue"
	"mustardwheel.example/mwlib/mwunit"
)

// partition is a group of calls with its own floor and ceiling of slots: the
// calls to one retired interface, or all other calls. It has its own queue for
// each lane, so that queued calls of one partition or lane neither delay nor
// displace those of another.
//
// The callers of a retired interface share its ceiling. Each call therefore has
// a share: the number of calls of its caller that are already queued or in
// flight in the partition.
type partition struct {
	version   mwid.Version // version of the configuration that set the bounds; older ones are ignored.
	floor     mwunit.Slots
	ceiling   mwunit.Slots
	inFlight  mwunit.Slots
	queues    [mwlane.Count]*queue
	holdTimes [mwlane.Count]holdEstimate
	callers   map[mwid.CallerName]mwunit.Slots // number of queued or in-flight calls of each caller; nil unless the partition is that of a retired interface.
}

type queue = mwqueue.Queue[*ticket, mwqueue.ByPriority]

// unbounded is the ceiling of calls that are not on a retired interface.
const unbounded mwunit.Slots = math.MaxInt

func newPartition(floor, ceiling, capacity mwunit.Slots) *partition {
	p := &partition{floor: floor, ceiling: ceiling}
	for l := range p.queues {
		p.queues[l] = mwqueue.New[*ticket](mwqueue.ByPriority{}, capacity)
	}
	return p
}

// addCall counts a new call of caller c and returns its share.
func (p *partition) addCall(c mwid.CallerName) mwunit.Slots {
	if p.callers == nil {
		return 0
	}
	n := p.callers[c]
	p.callers[c] = n + 1
	return n
}

// removeCall removes a call of caller c from the count, once it is neither
// queued nor in flight.
func (p *partition) removeCall(c mwid.CallerName) {
	if p.callers == nil {
		return
	}
	p.callers[c]--
	if p.callers[c] == 0 {
		delete(p.callers, c)
	}
}

// belowCeiling reports whether the ceiling allows one more call.
func (p *partition) belowCeiling() bool { return p.inFlight < p.ceiling }

// belowFloor reports whether fewer calls are in flight than the floor
// guarantees.
func (p *partition) belowFloor() bool { return p.inFlight < p.floor }

// queueLen returns the number of calls in the queues.
func (p *partition) queueLen() mwunit.Slots {
	n := 0
	for _, q := range p.queues {
		n += q.Len()
	}
	return mwunit.Slots(n)
}

// idle reports whether no call of p is queued or in flight.
func (p *partition) idle() bool { return p.inFlight == 0 && p.queueLen() == 0 }
