package mwlimit

import (
	"math"

	"mustardwheel.example/mwlib/mwunit"
)

// Slots is the policy that keeps the limit at a ratio of the announced slots.
// It is for backend servers that leave a call unanswered if their queue has no
// room for it. A learned limit above the slots would lose such calls, and one
// below the slots would not be justified, since the latency from which it is
// learned includes the wait for deeper services.
//
// A ratio below 1 is meant for overload. Some backend servers take longer for
// all their work while all or nearly all of their slots are in use. Their
// throughput under overload is higher if the last slots are left free.
type Slots struct {
	share mwunit.Ratio
}

// fullFactor is the factor by which the work of a backend server may take
// longer while all its slots are in use; users report 1.3. A slot is left free
// only if the remaining slots then have a higher throughput.
const fullFactor = 1.3

// NewSlots returns the policy that uses the ratio share of the slots.
func NewSlots(share mwunit.Ratio) Slots { return Slots{share} }

// AfterAnnouncement returns the share of slots that s uses, rounded down, if its
// throughput is higher than that of all slots slowed down by fullFactor, and all
// slots otherwise. If there are few slots, leaving one free costs more throughput
// than it gains.
func (s Slots) AfterAnnouncement(_, slots float64) float64 {
	if part := math.Floor(float64(s.share) * slots); part*fullFactor > slots {
		return part
	}
	return slots
}

// Next returns the limit unchanged.
func (Slots) Next(limit float64, _ Window) float64 { return limit }
