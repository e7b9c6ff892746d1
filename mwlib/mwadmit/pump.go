package mwadmit

import (
	"iter"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwlane"
)

// bands returns the bands of g.
func (g *gate[P]) bands() iter.Seq[*band] {
	return func(yield func(*band) bool) {
		if !yield(g.plain) {
			return
		}
		for _, b := range g.retired {
			if !yield(b) {
				return
			}
		}
	}
}

// pump starts calls that wait, the best first, until none may start.
func (g *gate[P]) pump(now time.Time) {
	for {
		q := g.pick()
		if q == nil {
			return
		}
		g.serve(now, q.Pop().Value)
	}
}

// serve starts t, or refuses it where that would be too late.
func (g *gate[P]) serve(now time.Time, t *ticket) {
	if code := g.fitCode(now, t, 0); code != mwcode.OK {
		g.end(t)
		t.refuse(code)
		return
	}
	g.start(t)
}

// pick returns the queue whose best call starts next, or nil. A retired
// interface below its floor goes first, then the best by the queues' order.
func (g *gate[P]) pick() *queue {
	for _, b := range g.retired {
		if !b.owed() {
			continue
		}
		if q := g.pickOf(b, nil); q != nil {
			return q
		}
	}
	var best *queue
	for b := range g.bands() {
		if b.open() {
			best = g.pickOf(b, best)
		}
	}
	return best
}

// pickOf returns the queue of b whose best call may start and is better than
// the best of q, or else q.
func (g *gate[P]) pickOf(b *band, q *queue) *queue {
	for l, r := range b.queues {
		if r.Len() == 0 || !g.slots.Free(mwlane.Lane(l)) {
			continue
		}
		if q == nil || r.Better(q) {
			q = r
		}
	}
	return q
}
