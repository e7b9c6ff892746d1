package mwlimit

// Slots is the policy that keeps the limit at the announced slots. It is for
// backend servers that do not answer what they can't queue: a limit learnt
// above the slots would lose calls, and latency that includes the wait for
// deeper services is no reason for one below.
type Slots struct{}

// NewSlots returns the policy.
func NewSlots() Slots { return Slots{} }

// Next returns the limit unchanged.
func (Slots) Next(limit float64, _ Window) float64 { return limit }
