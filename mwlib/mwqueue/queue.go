// Package mwqueue implements a bounded priority queue for calls that wait for a
// slot. It has no clock and no locks of its own.
package mwqueue

import (
	"slices"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwunit"
)

// Queue holds entries that wait for a slot, up to a capacity. The best entry by
// order O leaves first. If the queue is full, the worst entry is shed, which
// may be the new one.
//
// If entries of the lowest importance have waited longer than shedAfter, the
// worst of these is shed instead. The hash in its priority ranks it just below
// the entries that get a slot, so it would keep waiting, and in most cases be
// shed or expire in the end.
//
// A Queue counts as overloaded from the time when it sheds an entry until it is
// half empty. This does not depend on a clock, so that the overload ends as
// soon as the queue has drained that far.
//
// The entries are kept in a sorted slice: there are a few hundred at most, and
// entries are removed at both ends.
//
// A Queue is not safe for concurrent use; the owner must hold a lock.
type Queue[T any, O Order] struct {
	order      O
	capacity   int
	shedAfter  time.Duration // shedAfter is the wait after which an entry is shed first; 0 means never.
	overloaded bool
	seq        uint64
	entries    []*Entry[T] // entries is sorted, with the best one last.
}

// Entry is one call in a Queue.
type Entry[T any] struct {
	Value T
	Key
	// Arrived is the time at which the call arrived.
	Arrived time.Time
	// Deadline is the time by which the call must finish; zero means none.
	Deadline time.Time
	// Service is the expected service time of the call.
	Service time.Duration
}

// Key determines the order of entries.
type Key struct {
	Priority mwcall.Priority
	// Share is the number of calls of the same caller that were queued or in
	// flight when the call arrived. It is 0 unless callers share a ceiling of
	// slots. At equal importance the smaller share goes first, so that one
	// caller can't crowd out the others.
	Share mwunit.Slots
	// seq numbers the entries in order of arrival.
	seq uint64
}

// New returns an empty Queue with order o and a capacity of at least 1.
func New[T any, O Order](o O, capacity mwunit.Slots) *Queue[T, O] {
	return &Queue[T, O]{order: o, capacity: max(int(capacity), 1)}
}

// Len returns the number of entries.
func (q *Queue[T, O]) Len() int { return len(q.entries) }

// SetBounds sets the capacity, which is at least 1, and the wait after which an
// entry is shed first (0 means never). Entries above the capacity remain until
// they leave or are replaced by new ones.
func (q *Queue[T, O]) SetBounds(capacity mwunit.Slots, shedAfter time.Duration) {
	q.capacity, q.shedAfter = max(int(capacity), 1), shedAfter
}

// Overloaded reports whether the queue has shed an entry and has not been half
// empty since.
func (q *Queue[T, O]) Overloaded() bool { return q.overloaded }

// Threshold returns the lowest priority that has a chance to start, or 0 if the
// queue is not overloaded.
func (q *Queue[T, O]) Threshold() mwcall.Priority {
	if !q.overloaded || len(q.entries) == 0 {
		return 0
	}
	return q.entries[0].Priority
}

func (q *Queue[T, O]) setOverloaded(on bool) {
	if q.overloaded == on {
		return
	}
	q.overloaded = on
	slices.SortFunc(q.entries, q.compare)
}

// clearOverload ends the overload, if there is one, once the queue is half
// empty. It is called after an entry has left.
func (q *Queue[T, O]) clearOverload() {
	if len(q.entries) <= q.capacity/2 {
		q.setOverloaded(false)
	}
}

// compare orders the entries from worst to best.
func (q *Queue[T, O]) compare(a, b *Entry[T]) int {
	return q.order.Compare(a.Key, b.Key, q.overloaded)
}

// Push adds e. If the queue is full, one entry is shed and returned, which may
// be e itself.
func (q *Queue[T, O]) Push(e *Entry[T]) (shed *Entry[T]) {
	q.seq++
	e.seq = q.seq
	if len(q.entries) < q.capacity {
		q.insert(e)
		return nil
	}
	q.setOverloaded(true)
	i := q.shedIndex(e)
	if i < 0 {
		return e
	}
	shed = q.entries[i]
	q.entries = slices.Delete(q.entries, i, i+1)
	q.insert(e)
	return shed
}

func (q *Queue[T, O]) insert(e *Entry[T]) {
	i, _ := slices.BinarySearchFunc(q.entries, e, q.compare)
	q.entries = slices.Insert(q.entries, i, e)
}

// shedIndex returns the index of the entry to shed in favour of e, or -1 if e
// itself is to be shed.
func (q *Queue[T, O]) shedIndex(e *Entry[T]) int {
	lowest := q.entries[0].Priority.Importance()
	if e.Priority.Importance() >= lowest {
		for i, o := range q.entries {
			if o.Priority.Importance() != lowest {
				break
			}
			if q.shedAfter > 0 && e.Arrived.Sub(o.Arrived) > q.shedAfter {
				return i
			}
		}
	}
	if q.compare(e, q.entries[0]) < 0 {
		return -1
	}
	return 0
}

// Ahead returns the number of entries that would leave before a new entry with
// key k.
func (q *Queue[T, O]) Ahead(k Key) int {
	k.seq = q.seq + 1
	e := &Entry[T]{Key: k}
	i, _ := slices.BinarySearchFunc(q.entries, e, q.compare)
	return len(q.entries) - i
}

// Best returns the entry that leaves first, or nil.
func (q *Queue[T, O]) Best() *Entry[T] {
	if len(q.entries) == 0 {
		return nil
	}
	return q.entries[len(q.entries)-1]
}

// Better reports whether the best entry of q goes before the best one of r.
// Neither may be empty.
func (q *Queue[T, O]) Better(r *Queue[T, O]) bool {
	return q.order.Compare(q.Best().Key, r.Best().Key, false) > 0
}

// Pop removes and returns the best entry, or nil.
func (q *Queue[T, O]) Pop() *Entry[T] {
	e := q.Best()
	if e == nil {
		return nil
	}
	last := len(q.entries) - 1
	q.entries[last] = nil
	q.entries = q.entries[:last]
	q.clearOverload()
	return e
}

// Remove removes e and reports whether it was in the queue.
func (q *Queue[T, O]) Remove(e *Entry[T]) bool {
	i := slices.Index(q.entries, e)
	if i < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	q.clearOverload()
	return true
}
