// Package mwqueue holds a pure queue of calls that wait for a slot.
package mwqueue

import (
	"slices"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwunit"
)

// Queue holds what waits for a slot, up to a capacity. What is best by order
// O leaves first; where the queue is full, what is worst is shed, the
// newcomer or one that waits.
//
// The entries are kept in a sorted slice: a queue is a few hundred entries
// at the most, and both ends are needed.
//
// A Queue is not safe for concurrent use; its owner has a lock.
type Queue[T any, O Order] struct {
	order      O
	capacity   mwunit.Slots
	overloaded bool
	seq        uint64
	entries    []*Entry[T] // entries are sorted, the best one last.
}

// Entry is one call in a Queue.
type Entry[T any] struct {
	Value T
	Key
	// Deadline is when the call must be finished; zero is no deadline.
	Deadline time.Time
	// Service is how long the call will probably take once it starts.
	Service time.Duration
}

// Key is what orders entries.
type Key struct {
	Priority mwcall.Priority
	// seq counts entries from the oldest to the newest.
	seq uint64
}

// New returns an empty Queue of a capacity with order o.
func New[T any, O Order](o O, capacity mwunit.Slots) *Queue[T, O] {
	return &Queue[T, O]{order: o, capacity: capacity}
}

// Len returns the number of entries.
func (q *Queue[T, O]) Len() int { return len(q.entries) }

// SetOverloaded tells the order whether there is an overload.
func (q *Queue[T, O]) SetOverloaded(on bool) {
	if q.overloaded == on {
		return
	}
	q.overloaded = on
	slices.SortFunc(q.entries, q.compare)
}

// compare orders the worse entry before the better one.
func (q *Queue[T, O]) compare(a, b *Entry[T]) int {
	return q.order.Compare(a.Key, b.Key, q.overloaded)
}

// Push adds e. Where the queue was full, the worst entry is shed and
// returned, which may be e itself.
func (q *Queue[T, O]) Push(e *Entry[T]) (shed *Entry[T]) {
	q.seq++
	e.seq = q.seq
	i, _ := slices.BinarySearchFunc(q.entries, e, q.compare)
	if len(q.entries) < int(q.capacity) {
		q.entries = slices.Insert(q.entries, i, e)
		return nil
	}
	if i == 0 {
		return e
	}
	shed = q.entries[0]
	copy(q.entries, q.entries[1:i])
	q.entries[i-1] = e
	return shed
}

// Ahead returns how many entries would leave before one of priority p that
// came now.
func (q *Queue[T, O]) Ahead(p mwcall.Priority) int {
	e := &Entry[T]{Key: Key{Priority: p, seq: q.seq + 1}}
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

// Worst returns the entry that is shed first, or nil.
func (q *Queue[T, O]) Worst() *Entry[T] {
	if len(q.entries) == 0 {
		return nil
	}
	return q.entries[0]
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
	return e
}

// Remove removes e and tells whether it was there.
func (q *Queue[T, O]) Remove(e *Entry[T]) bool {
	i := slices.Index(q.entries, e)
	if i < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	return true
}
