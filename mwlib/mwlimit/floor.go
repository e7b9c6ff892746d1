package mwlimit

import "time"

// Floor is the mean latency without queueing. It goes down with each window
// that is faster. It goes up only with windows so light that no call can
// have queued: in an overload that lasts it would else take the overload for
// the normal state and let the limit grow.
type Floor struct {
	mean time.Duration // mean is smoothed over windows.
	low  time.Duration
}

// Parameters of Floor.
const (
	// floorSmooth is the weight of a new window in the mean.
	floorSmooth = 0.3
	// floorRise is the weight of a light window in the floor.
	floorRise = 0.1
)

// Note takes a window and returns the smoothed mean and the floor.
func (f *Floor) Note(w Window) (mean, low time.Duration) {
	if f.mean == 0 {
		f.mean = w.Mean
	}
	f.mean = blend(f.mean, w.Mean, floorSmooth)
	switch {
	case f.low == 0 || f.mean < f.low:
		f.low = f.mean
	case w.Light:
		f.low = blend(f.low, f.mean, floorRise)
	}
	return f.mean, f.low
}

// blend moves from towards to by the part weight.
func blend[T time.Duration | float64](from, to T, weight float64) T {
	return T(float64(from)*(1-weight) + float64(to)*weight)
}
