package mwlimit

import "time"

// latencyFloor tracks the latency without queueing. It falls when the smoothed
// latency falls below it. It rises only after a light window, in which so few
// calls were in flight that none can have queued, or by reset. Otherwise a
// lasting overload would be taken for the normal state, and the limit would
// grow.
type latencyFloor struct {
	smoothed time.Duration // smoothed is the latency smoothed over windows.
	lowest   time.Duration // lowest is the floor.
}

// Parameters of latencyFloor.
const (
	// floorSmooth is the weight of a new window in the smoothed latency.
	floorSmooth = 0.3
	// floorRise is the weight of a light window in the floor.
	floorRise = 0.1
)

// observe records the latency of a window and returns the smoothed latency and
// the floor.
func (f *latencyFloor) observe(latency time.Duration, light bool) (smoothed, floor time.Duration) {
	if f.smoothed == 0 {
		f.smoothed = latency
	}
	f.smoothed = blend(f.smoothed, latency, floorSmooth)
	switch {
	case f.lowest == 0 || f.smoothed < f.lowest:
		f.lowest = f.smoothed
	case light:
		f.lowest = blend(f.lowest, f.smoothed, floorRise)
	}
	return f.smoothed, f.lowest
}

// reset sets the floor to the smoothed latency.
func (f *latencyFloor) reset() { f.lowest = f.smoothed }

// blend returns the weighted mean of from and to; weight is that of to.
func blend[T time.Duration | float64](from, to T, weight float64) T {
	return T(float64(from)*(1-weight) + float64(to)*weight)
}
