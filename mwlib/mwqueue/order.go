package mwqueue

import (
	"cmp"
	"time"
)

// Order determines which of two entries leaves a Queue first.
type Order interface {
	// Compare returns a negative number if a leaves after b, and a positive one
	// if a leaves before b; overloaded is whether the Queue is overloaded.
	Compare(a, b Key, overloaded bool) int
}

// ByPriority orders entries by importance, greatest first, then by share,
// smallest first, and then by priority, greatest first. Entries that are equal
// in these leave oldest first, but newest first in an overload, since the
// newest entry has the most time remaining until its deadline.
type ByPriority struct{}

// Compare implements Order.
func (ByPriority) Compare(a, b Key, overloaded bool) int {
	if c := cmp.Compare(a.Priority.Importance(), b.Priority.Importance()); c != 0 {
		return c
	}
	if c := cmp.Compare(b.Share, a.Share); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	return byAge(a, b, overloaded)
}

// ByAge orders entries by age alone, oldest first.
type ByAge struct{}

// Compare implements Order.
func (ByAge) Compare(a, b Key, _ bool) int { return byAge(a, b, false) }

// byAge compares a and b by age: oldest first, or newest first if newest is
// set.
func byAge(a, b Key, newest bool) int {
	if newest {
		return cmp.Compare(a.seq, b.seq)
	}
	return cmp.Compare(b.seq, a.seq)
}

// Feasibility is the result of Check: whether a call can finish by its
// deadline.
type Feasibility int

// Values of Feasibility.
const (
	// InTime means that the call can finish by its deadline.
	InTime Feasibility = iota
	// TooShort means that the deadline has not passed, but that the call cannot
	// finish by it.
	TooShort
	// Passed means that the deadline has passed.
	Passed
)

// Check returns the Feasibility of a call that waits for wait from now and then
// runs for service. A zero deadline means none, and the result is InTime.
func Check(now, deadline time.Time, wait, service time.Duration) Feasibility {
	switch {
	case deadline.IsZero():
		return InTime
	case !now.Before(deadline):
		return Passed
	case now.Add(wait + service).After(deadline):
		return TooShort
	}
	return InTime
}
