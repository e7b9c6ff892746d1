package mwlimit

import "time"

// floor tracks the latency without queueing. It falls with each faster window.
// It rises only with windows so light that no call can have queued, or with
// accept. Otherwise a lasting overload would be taken for the normal state, and
// the limit would grow.
type floor struct {
	now time.Duration // now is the latency smoothed over windows.
	low time.Duration
}

// Parameters of floor.
const (
	// floorSmooth is the weight of a new window in the smoothed latency.
	floorSmooth = 0.3
	// floorRise is the weight of a light window in the floor.
	floorRise = 0.1
)

// note records the latency of a window and returns the smoothed latency and the
// floor.
func (f *floor) note(latency time.Duration, light bool) (now, low time.Duration) {
	if f.now == 0 {
		f.now = latency
	}
	f.now = blend(f.now, latency, floorSmooth)
	switch {
	case f.low == 0 || f.now < f.low:
		f.low = f.now
	case light:
		f.low = blend(f.low, f.now, floorRise)
	}
	return f.now, f.low
}

// accept sets the floor to the smoothed latency.
func (f *floor) accept() { f.low = f.now }

// blend returns the weighted mean of from and to; weight is that of to.
func blend[T time.Duration | float64](from, to T, weight float64) T {
	return T(float64(from)*(1-weight) + float64(to)*weight)
}
