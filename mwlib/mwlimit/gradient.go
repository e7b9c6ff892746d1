package mwlimit

import "math"

// Gradient adapts the limit to the ratio of the latency without queueing to the
// current latency. It allows a queue that grows with the square root of the
// limit, so that the limit can rise while the latency is near its floor.
type Gradient struct{}

// NewGradient returns a Gradient.
func NewGradient() Gradient { return Gradient{} }

// Parameters of Gradient.
const (
	// gradientTolerance is the multiple of the floor up to which a latency
	// counts as free of queueing.
	gradientTolerance = 1.5
	// minGradient is the minimum gradient, which bounds the decrease per
	// window.
	minGradient = 0.5
	// gradientSmooth is the weight of a new window in the limit.
	gradientSmooth = 0.2
	// gradientShed is the gradient while the backend server refuses calls.
	gradientShed = 0.8
)

// AfterAnnouncement returns limit, or slots if there is no limit yet.
func (Gradient) AfterAnnouncement(limit, slots float64) float64 { return keepLimit(limit, slots) }

// Next implements Policy.
func (Gradient) Next(limit float64, w Window) float64 {
	if w.Shed > 0 {
		return blend(limit, limit*gradientShed, gradientSmooth)
	}
	if w.Latency == 0 {
		return limit
	}
	ratio := gradientTolerance * float64(w.Floor) / float64(w.Latency)
	ratio = min(max(ratio, minGradient), 1)
	return blend(limit, limit*ratio+math.Sqrt(limit), gradientSmooth)
}
