package mwbudget

import (
	"time"

	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwunit"
)

// Windows bounds repetitions by the first tries of the last span of time: in
// any span, there are at most ratio times as many repetitions as first tries
// in that span, in the one before it or in the one half a span before it,
// whichever has most, and a slack beside. A service that fails as a whole for
// some seconds so has the repetitions of its calm time to draw on, which a
// bucket filled by successes does not give. They are spread over the span: the
// last fifth of it may have half more than its part.
type Windows[K comparable] struct {
	ratio mwunit.Ratio
	slack mwunit.Attempts
	slice time.Duration
	epoch time.Time
	m     *mwshard.Map[K, window]
}

const (
	// slices is the number of slices of time in a span.
	slices = 10
	// paceSlices is the number of slices over which repetitions are spread.
	paceSlices = 2
	// paceBurst is by how much more may be used in these than in the long run.
	paceBurst = 1.5
)

// window counts tries in slices of time, those of the last two spans.
type window struct {
	at     int64 // at is the number of the newest slice.
	first  [2 * slices]int32
	repeat [2 * slices]int32
}

// NewWindows returns Windows of a span.
func NewWindows[K comparable](span time.Duration, ratio mwunit.Ratio, slack mwunit.Attempts) *Windows[K] {
	return &Windows[K]{
		ratio: ratio, slack: slack, slice: span / slices, epoch: time.Now(),
		m: mwshard.New[K, window](mwshard.DefaultShards),
	}
}

// First counts a first try.
func (w *Windows[K]) First(k K, now time.Time) {
	w.update(k, now, func(x *window, i int) { x.first[i]++ })
}

// Repeat counts a repetition that was made in any case.
func (w *Windows[K]) Repeat(k K, now time.Time) {
	w.update(k, now, func(x *window, i int) { x.repeat[i]++ })
}

// Spend counts a repetition where those of the last span stay within what is
// allowed, and the latest of them within the part share of their pace. It
// tells whether it did.
func (w *Windows[K]) Spend(k K, share mwunit.Ratio, now time.Time) bool {
	ok := false
	w.update(k, now, func(x *window, i int) {
		ok = float64(x.repeats()+1) <= w.allowed(x) &&
			float64(x.recent(&x.repeat)+1) <= float64(share)*w.pace(x)
		if ok {
			x.repeat[i]++
		}
	})
	return ok
}

// Used returns the part of the pace of k that the latest repetitions of q use;
// q may be a part of k that is counted by itself.
func (w *Windows[K]) Used(k, q K, now time.Time) mwunit.Ratio {
	var most float64
	w.update(k, now, func(x *window, _ int) { most = w.pace(x) })
	var n int32
	w.update(q, now, func(x *window, _ int) { n = x.recent(&x.repeat) })
	if most == 0 {
		return 1
	}
	return mwunit.Ratio(float64(n) / most)
}

// pace returns how many of the repetitions allowed for a span the latest
// slices may have. It follows the load of the span, as one that fails has
// fewer first tries, and that of the latest slices where a load is new.
func (w *Windows[K]) pace(x *window) float64 {
	allowed := w.allowed(x)
	latest := float64(w.ratio) * float64(x.recent(&x.first))
	return max(paceBurst*max(allowed*paceSlices/slices, latest), min(allowed, unpaced))
}

// unpaced is the number of repetitions that need not be spread.
const unpaced = 5

// allowed returns how many repetitions a span may have.
func (w *Windows[K]) allowed(x *window) float64 {
	return float64(w.ratio)*float64(x.firsts()) + float64(w.slack)
}

// update calls f with the window of k and the index of the present slice.
func (w *Windows[K]) update(k K, now time.Time, f func(x *window, i int)) {
	at := int64(now.Sub(w.epoch) / w.slice)
	w.m.Update(k, func(x window, _ bool) (window, bool) {
		x.advance(at)
		f(&x, int(x.at%(2*slices)))
		return x, true
	})
}

// advance clears the slices between the newest one and at.
func (x *window) advance(at int64) {
	for n := 0; x.at < at && n < 2*slices; n++ {
		x.at++
		x.first[x.at%(2*slices)], x.repeat[x.at%(2*slices)] = 0, 0
	}
	x.at = max(x.at, at)
}

// firsts returns the first tries of the last span, the one before it or the
// one half a span before it, whichever has most.
func (x *window) firsts() int32 {
	var last, half, before int32
	for d := range int64(slices) {
		last += x.first[x.index(d)]
		half += x.first[x.index(d+slices/2)]
		before += x.first[x.index(d+slices)]
	}
	return max(last, half, before)
}

// repeats returns the repetitions of the last span and the present slice, so
// that no span of any phase has more.
func (x *window) repeats() int32 {
	var n int32
	for d := range int64(slices) + 1 {
		n += x.repeat[x.index(d)]
	}
	return n
}

// recent returns the sum of the slices that the pace is for.
func (x *window) recent(tries *[2 * slices]int32) int32 {
	var n int32
	for d := range int64(paceSlices) {
		n += tries[x.index(d)]
	}
	return n
}

// index returns the index of the slice that is d before the newest one.
func (x *window) index(d int64) int64 {
	return (x.at - d + 4*slices) % (2 * slices)
}
