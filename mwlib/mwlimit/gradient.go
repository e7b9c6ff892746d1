package mwlimit

import "math"

// Gradient follows the ratio between the latency without queueing and the
// latency now. It allows a queue that grows with the root of the limit, so
// that the limit can rise while the latency is near its floor.
type Gradient struct{}

// NewGradient returns a Gradient.
func NewGradient() Gradient { return Gradient{} }

// Parameters of Gradient.
const (
	// gradientTolerance is the latency that counts as no queueing, as a
	// multiple of the floor.
	gradientTolerance = 1.5
	// gradientLeast bounds the decrease for one window.
	gradientLeast = 0.5
	// gradientSmooth is the weight of a new window.
	gradientSmooth = 0.2
	// gradientShed is the gradient where the backend server refuses.
	gradientShed = 0.8
)

// Announced returns limit, or slots at first.
func (Gradient) Announced(limit, slots float64) float64 { return learnt(limit, slots) }

// Next implements Policy.
func (Gradient) Next(limit float64, w Window) float64 {
	if w.Shed > 0 {
		return blend(limit, limit*gradientShed, gradientSmooth)
	}
	if w.Latency == 0 {
		return limit
	}
	ratio := gradientTolerance * float64(w.Floor) / float64(w.Latency)
	ratio = min(max(ratio, gradientLeast), 1)
	return blend(limit, limit*ratio+math.Sqrt(limit), gradientSmooth)
}
