package mwlimit

import "time"

// floor is the latency without queueing. It goes down with each window that
// is faster. It goes up only with windows so light that no call can have
// queued, or when it is told to: in an overload that lasts it would else take
// the overload for the normal state and let the limit grow.
type floor struct {
	now time.Duration // now is smoothed over windows.
	low time.Duration
}

// Parameters of floor.
const (
	// floorSmooth is the weight of a new window in the latency now.
	floorSmooth = 0.3
	// floorRise is the weight of a light window in the floor.
	floorRise = 0.1
)

// note takes the latency of a window and returns the smoothed latency and
// the floor.
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

// accept makes the latency now the floor.
func (f *floor) accept() { f.low = f.now }

// blend moves from towards to by the part weight.
func blend[T time.Duration | float64](from, to T, weight float64) T {
	return T(float64(from)*(1-weight) + float64(to)*weight)
}
