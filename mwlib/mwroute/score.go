package mwroute

import (
	"time"

	"mustardwheel.example/mwlib/mwunit"
)

// Load is the input of a Scorer.
type Load struct {
	// InFlight is the number of calls from this node at the target.
	InFlight mwunit.Slots
	Slots    mwunit.Slots
	// Latency is the moving average of the time to the answer's head, or the
	// service's median if the target has not answered yet; 0 if neither is
	// known. If calls are in flight, it is at least the time that the second
	// oldest of them, or the only one, has waited.
	Latency time.Duration
}

// Scorer rates a target; lower is better.
type Scorer interface {
	Score(l Load) float64
}

// PeakLatency scores a target by the expected wait: calls in flight times
// latency, per slot.
type PeakLatency struct{}

// Score returns the score of l.
func (PeakLatency) Score(l Load) float64 {
	latency := max(l.Latency, time.Microsecond)
	return float64(l.InFlight+1) * float64(latency) / float64(max(l.Slots, 1))
}

// InFlight scores a target by its calls in flight alone.
type InFlight struct{}

// Score returns the score of l.
func (InFlight) Score(l Load) float64 { return float64(l.InFlight) }
