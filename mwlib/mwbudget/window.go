package mwbudget

import (
	"time"

	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwunit"
)

// Windows limits the retries of each key to a fraction of its first attempts in
// a sliding window of time, the span. A span may have at most slack retries plus
// a number in proportion to first attempts: ratio times those of that span, of
// the previous span or of the span that ended half a span ago, whichever is
// largest. A service that fails completely for some seconds can therefore use
// the retries allowed by its load before the failure. A token bucket filled by
// successes would not provide them.
//
// Retries are spread over the span: its last fifth may have at most 1.5 times
// its proportional part, or 5 retries if that is more.
type Windows[K comparable] struct {
	ratio mwunit.Ratio
	slack mwunit.Attempts
	slice time.Duration
	epoch time.Time
	m     *mwshard.Map[K, window]
}

const (
	// slices is the number of time slices in a span.
	slices = 10
	// paceSlices is the number of most recent slices whose retries are
	// limited by Windows.pace.
	paceSlices = 2
	// paceBurst is the factor by which these slices may exceed their
	// proportional part.
	paceBurst = 1.5
)

// window counts the attempts in each time slice of the last two spans.
type window struct {
	newest int64 // newest is the number of the newest slice.
	first  [2 * slices]int32
	repeat [2 * slices]int32
}

// NewWindows returns Windows of the given span.
func NewWindows[K comparable](span time.Duration, ratio mwunit.Ratio, slack mwunit.Attempts) *Windows[K] {
	return &Windows[K]{
		ratio: ratio, slack: slack, slice: span / slices, epoch: time.Now(),
		m: mwshard.New[K, window](mwshard.DefaultShards),
	}
}

// First counts a first attempt.
func (w *Windows[K]) First(k K, now time.Time) {
	w.update(k, now, func(x *window, i int) { x.first[i]++ })
}

// CountRetry counts a retry without checking whether it is allowed.
func (w *Windows[K]) CountRetry(k K, now time.Time) {
	w.update(k, now, func(x *window, i int) { x.repeat[i]++ })
}

// Spend counts one retry and returns true if the retry is allowed: the retries
// of the span must stay within the number that allowed returns, and those of the
// most recent slices within the fraction share of the number that pace returns.
// Otherwise it counts nothing and returns false.
func (w *Windows[K]) Spend(k K, share mwunit.Ratio, now time.Time) bool {
	ok := false
	w.update(k, now, func(x *window, i int) {
		ok = float64(x.retries()+1) <= w.allowed(x) &&
			float64(x.recent(&x.repeat)+1) <= float64(share)*w.pace(x)
		if ok {
			x.repeat[i]++
		}
	})
	return ok
}

// UsedShare returns the recent retries of key q as a fraction of the retries that
// pace allows for key k. The calls of q may be a part of the calls of k that is
// also counted separately.
func (w *Windows[K]) UsedShare(k, q K, now time.Time) mwunit.Ratio {
	var pace float64
	w.update(k, now, func(x *window, _ int) { pace = w.pace(x) })
	var n int32
	w.update(q, now, func(x *window, _ int) { n = x.recent(&x.repeat) })
	if pace == 0 {
		return 1
	}
	return mwunit.Ratio(float64(n) / pace)
}

// pace returns the number of retries that the most recent slices may have. It is
// in proportion to the retries allowed in the whole span rather than to the
// first attempts of these slices, since a failing service gets fewer of them.
// The first attempts of these slices are used only if they allow more retries,
// as after a new load has started.
func (w *Windows[K]) pace(x *window) float64 {
	allowed := w.allowed(x)
	latest := float64(w.ratio) * float64(x.recent(&x.first))
	return max(paceBurst*max(allowed*paceSlices/slices, latest), min(allowed, unpacedRetries))
}

// unpacedRetries is the number of retries that need not be spread over the
// span.
const unpacedRetries = 5

// allowed returns the number of retries that a span may have.
func (w *Windows[K]) allowed(x *window) float64 {
	return float64(w.ratio)*float64(x.firstAttempts()) + float64(w.slack)
}

// update calls f with the window of k and the index of the current slice.
func (w *Windows[K]) update(k K, now time.Time, f func(x *window, i int)) {
	at := int64(now.Sub(w.epoch) / w.slice)
	w.m.Update(k, func(x window, _ bool) (window, bool) {
		x.advance(at)
		f(&x, int(x.newest%(2*slices)))
		return x, true
	})
}

// advance moves x to slice at and clears the slices in between.
func (x *window) advance(at int64) {
	for n := 0; x.newest < at && n < 2*slices; n++ {
		x.newest++
		x.first[x.newest%(2*slices)], x.repeat[x.newest%(2*slices)] = 0, 0
	}
	x.newest = max(x.newest, at)
}

// firstAttempts returns the number of first attempts of the current span, of
// the previous one or of the one that ended half a span ago, whichever is
// largest.
func (x *window) firstAttempts() int32 {
	var last, half, before int32
	for d := range int64(slices) {
		last += x.first[x.index(d)]
		half += x.first[x.index(d+slices/2)]
		before += x.first[x.index(d+slices)]
	}
	return max(last, half, before)
}

// retries returns the number of retries in the span and one more slice, so that
// a span that starts within a slice does not exceed the limit either.
func (x *window) retries() int32 {
	var n int32
	for d := range int64(slices) + 1 {
		n += x.repeat[x.index(d)]
	}
	return n
}

// recent returns the sum of attempts over the slices to which the pace applies.
func (x *window) recent(attempts *[2 * slices]int32) int32 {
	var n int32
	for d := range int64(paceSlices) {
		n += attempts[x.index(d)]
	}
	return n
}

// index returns the index of the slice that is d slices before the newest one.
func (x *window) index(d int64) int64 {
	return (x.newest - d + 4*slices) % (2 * slices)
}
