// Package mwlane divides the slots of a backend server into lanes for short,
// medium and long work, so that short work does not wait behind long work.
package mwlane

import (
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwunit"
)

// Lane is the index of a length class. Longer work has a greater index.
type Lane int

// Lanes from the shortest to the longest work.
const (
	Short Lane = iota
	Medium
	Long
	// Count is the number of lanes.
	Count
)

// ForLength returns the Lane of a length class. Calls without one are short.
func ForLength(l mwconfig.Length) Lane {
	switch l {
	case mwconfig.Long:
		return Long
	case mwconfig.Medium:
		return Medium
	}
	return Short
}

// String returns the name of l.
func (l Lane) String() string {
	switch l {
	case Long:
		return string(mwconfig.Long)
	case Medium:
		return string(mwconfig.Medium)
	}
	return string(mwconfig.Short)
}

// Slots counts the slots in use by lane and limits them by nested bounds: one
// for long work, a wider one for medium and long work together, and the limit
// for all work. Shorter work may use the slots that a longer lane leaves
// unused, since it soon returns them. Longer work may not use slots beyond its
// bound, since it would hold them for a long time.
//
// Slots is not safe for concurrent use; the owner must hold a lock.
type Slots struct {
	limit  mwunit.Slots
	bounds [Count]mwunit.Slots
	shares [Count]mwunit.Ratio
	used   [Count]mwunit.Slots
}

// New returns a Slots in which long work may use at most the ratio long of the
// announced slots, and medium and long work together at most the ratio medium.
func New(announced mwunit.Slots, medium, long mwunit.Ratio) *Slots {
	s := &Slots{shares: [Count]mwunit.Ratio{Short: 1, Medium: max(medium, long), Long: long}}
	s.SetLimit(announced, announced)
	return s
}

// SetLimit sets the limit of all lanes together. The bounds of medium and long
// work shrink with a limit below the announced slots, but do not grow with one
// above them. Such a limit is learned from short work only. If the backend
// server does not have that many slots, long work would keep the excess ones in
// use for a long time.
func (s *Slots) SetLimit(limit, announced mwunit.Slots) {
	s.limit = limit
	s.bounds[Short] = limit
	for l := Medium; l < Count; l++ {
		s.bounds[l] = max(1, mwunit.Slots(float64(s.shares[l])*float64(min(limit, announced))))
	}
}

// Limit returns the limit of all lanes together.
func (s *Slots) Limit() mwunit.Slots { return s.limit }

// Bound returns the number of slots that lane l and longer lanes may use.
func (s *Slots) Bound(l Lane) mwunit.Slots { return s.bounds[l] }

// Used returns the slots in use by all lanes.
func (s *Slots) Used() mwunit.Slots { return s.usedFrom(Short) }

// UsedBy returns the slots in use by lane l.
func (s *Slots) UsedBy(l Lane) mwunit.Slots { return s.used[l] }

// usedFrom returns the slots in use by lane l and longer lanes.
func (s *Slots) usedFrom(l Lane) mwunit.Slots {
	var n mwunit.Slots
	for ; l < Count; l++ {
		n += s.used[l]
	}
	return n
}

// Free reports whether one more call of lane l may start.
func (s *Slots) Free(l Lane) bool {
	for ; l >= Short; l-- {
		if s.Full(l) {
			return false
		}
	}
	return true
}

// Full reports whether lane l and longer lanes together have reached Bound(l).
func (s *Slots) Full(l Lane) bool { return s.usedFrom(l) >= s.bounds[l] }

// Acquire counts a call of lane l that has started.
func (s *Slots) Acquire(l Lane) { s.used[l]++ }

// Release counts a call of lane l that has ended.
func (s *Slots) Release(l Lane) { s.used[l]-- }
