package mwqueue

import (
	"cmp"
	"time"
)

// Order says which of two entries leaves a Queue first.
type Order interface {
	// Compare returns a negative number where a leaves after b and a
	// positive one where a leaves before b.
	Compare(a, b Key, overloaded bool) int
}

// ByPriority puts the greater importance first, then the lesser share, then
// the greater priority. Equal ones go oldest first, and newest first in an
// overload: the newest still has most of its time left.
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

// ByAge puts the oldest first whatever its priority.
type ByAge struct{}

// Compare implements Order.
func (ByAge) Compare(a, b Key, _ bool) int { return byAge(a, b, false) }

// byAge returns the order of a and b by age alone.
func byAge(a, b Key, newest bool) int {
	if newest {
		return cmp.Compare(a.seq, b.seq)
	}
	return cmp.Compare(b.seq, a.seq)
}

// Fit tells whether work that has to wait and then to be served can be done
// by a deadline.
type Fit int

// Results of Check.
const (
	// InTime says that the work can be done.
	InTime Fit = iota
	// TooShort says that the deadline is to come, but too soon.
	TooShort
	// Passed says that the deadline is over.
	Passed
)

// Check returns the Fit of work that waits for wait from now and then takes
// service; a zero deadline fits all.
func Check(now, deadline time.Time, wait, service time.Duration) Fit {
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
