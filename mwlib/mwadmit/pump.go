package mwadmit

import (
	"iter"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwlane"
)

// bands iterates over all bands of g.
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

// pump starts queued calls, best first, until no other may start.
func (g *gate[P]) pump(now time.Time) {
	for {
		q := g.pick()
		if q == nil {
			return
		}
		g.serve(now, q.Pop().Value)
	}
}

// serve starts t, or refuses it if it would no longer finish by its deadline.
func (g *gate[P]) serve(now time.Time, t *ticket) {
	if code := g.fitCode(now, t, 0); code != mwcode.OK {
		g.end(t)
		t.refuse(code)
		return
	}
	g.start(t)
}

// pick returns the queue whose best entry starts next, or nil if none may start.
// A retired interface below its floor takes precedence; otherwise the order of
// the queues decides.
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

// pickOf returns the queue of b whose best entry may start and goes before the
// best entry of q. If there is none, it returns q, which may be nil.
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
