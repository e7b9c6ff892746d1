package mwroute

import (
	"time"

	"mustardwheel.example/mwlib/mwunit"
)

// Load is what a Score judges a target by.
type Load struct {
	// InFlight is the calls that this node has at the target.
	InFlight mwunit.Slots
	Slots    mwunit.Slots
	// Latency is the moving average of the time to the answer's head, or the
	// service's median where the target was not seen; 0 where neither is
	// known.
	Latency time.Duration
}

// Score rates a target; the lower is better.
type Score interface {
	Of(l Load) float64
}

// PeakLatency is the wait to expect: calls in flight times latency, for each
// slot.
type PeakLatency struct{}

// Of returns the score of l.
func (PeakLatency) Of(l Load) float64 {
	latency := max(l.Latency, time.Microsecond)
	return float64(l.InFlight+1) * float64(latency) / float64(max(l.Slots, 1))
}

// InFlight is the calls in flight alone.
type InFlight struct{}

// Of returns the score of l.
func (InFlight) Of(l Load) float64 { return float64(l.InFlight) }
