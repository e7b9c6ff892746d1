package mwadmit

import (
	"iter"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwlane"
)

// partitions iterates over all partitions of g.
func (g *gate[P]) partitions() iter.Seq[*partition] {
	return func(yield func(*partition) bool) {
		if !yield(g.current) {
			return
		}
		for _, p := range g.retired {
			if !yield(p) {
				return
			}
		}
	}
}

// startQueued starts queued calls, best first, until no other may start.
func (g *gate[P]) startQueued(now time.Time) {
	for {
		q := g.nextQueue()
		if q == nil {
			return
		}
		g.startOrRefuse(now, q.Pop().Value)
	}
}

// startOrRefuse starts t, or refuses it if it would no longer finish by its
// deadline.
func (g *gate[P]) startOrRefuse(now time.Time, t *ticket) {
	if code := g.checkDeadlineAfter(now, t, 0); code != mwcode.OK {
		g.finish(t)
		t.refuse(code)
		return
	}
	g.start(t)
}

// nextQueue returns the queue whose best entry starts next, or nil if none may
// start. A retired interface below its floor takes precedence. Otherwise, the
// queue with the best entry is chosen from the partitions below their ceilings.
func (g *gate[P]) nextQueue() *queue {
	for _, p := range g.retired {
		if !p.belowFloor() {
			continue
		}
		if q := g.betterQueue(p, nil); q != nil {
			return q
		}
	}
	var best *queue
	for p := range g.partitions() {
		if p.belowCeiling() {
			best = g.betterQueue(p, best)
		}
	}
	return best
}

// betterQueue returns the queue of p whose best entry may start and goes before
// the best entry of q. If there is none, it returns q, which may be nil.
func (g *gate[P]) betterQueue(p *partition, q *queue) *queue {
	for l, r := range p.queues {
		if r.Len() == 0 || !g.slots.Free(mwlane.Lane(l)) {
			continue
		}
		if q == nil || r.Better(q) {
			q = r
		}
	}
	return q
}
