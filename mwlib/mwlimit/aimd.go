package mwlimit

import (
	"math"
	"time"
)

// AIMD raises the limit by a small step while calls do not queue in the backend
// server. It multiplies the limit by a factor below 1 if calls queue there or the
// backend server refuses calls. The queue time is the latency minus its floor.
type AIMD struct{}

// NewAIMD returns an AIMD.
func NewAIMD() AIMD { return AIMD{} }

// Parameters of AIMD.
const (
	// aimdStep is the increase per window, as a multiple of the square root of
	// the limit.
	aimdStep = 1
	// aimdFactor is the factor of a decrease.
	aimdFactor = 0.9
	// aimdTolerance is the queue time that is tolerated, as a ratio of the
	// floor.
	aimdTolerance = 0.5
	// aimdSlack is the queue time that is always tolerated.
	aimdSlack = 2 * time.Millisecond
)

// AfterAnnouncement returns limit, or slots if there is no limit yet.
func (AIMD) AfterAnnouncement(limit, slots float64) float64 { return keepLimit(limit, slots) }

// Next implements Policy.
func (AIMD) Next(limit float64, w Window) float64 {
	if w.Shed > 0 {
		return limit * aimdFactor
	}
	allowed := max(time.Duration(aimdTolerance*float64(w.Floor)), aimdSlack)
	if w.Latency-w.Floor > allowed {
		return limit * aimdFactor
	}
	return limit + aimdStep*math.Sqrt(limit)
}
