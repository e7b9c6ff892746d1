package mwlimit

import (
	"math"

	"mustardwheel.example/mwlib/mwunit"
)

// Slots is the policy that keeps the limit at a part of the announced slots. It
// is for backend servers that do not answer what they can't queue: a limit
// learnt above the slots would lose calls, and latency that includes the wait
// for deeper services is no reason for one below.
//
// It answers a load above what a backend server can do. Some of them take
// longer for all their work while the last slots are in use, so that they do
// more with these left free.
type Slots struct {
	share mwunit.Ratio
}

// fullFactor is how many times longer the work of a backend server may take
// while all its slots are in use: the users report 1.3. A slot is left free
// only where the others then do more.
const fullFactor = 1.3

// NewSlots returns the policy that uses the part share of the slots.
func NewSlots(share mwunit.Ratio) Slots { return Slots{share} }

// Announced returns the part of slots, or slots where they are so few that
// one left free would cost more than it brings.
func (s Slots) Announced(_, slots float64) float64 {
	if part := math.Floor(float64(s.share) * slots); part*fullFactor > slots {
		return part
	}
	return slots
}

// Next returns the limit unchanged.
func (Slots) Next(limit float64, _ Window) float64 { return limit }
