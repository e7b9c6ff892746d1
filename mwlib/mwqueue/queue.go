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
// Among entries of the least importance, one that waited
// for longer than the stay is shed before the others. Its hash put it just
// below what gets in, where it would wait for long and mostly in vain.
//
// A Queue counts as overloaded from when it sheds an entry until it is half
// empty again. No clock decides that, so a queue that demand has left is
// back to normal as soon as it has drained.
//
// The entries are kept in a sorted slice: a queue is a few hundred entries
// at the most, and both ends are needed.
//
// A Queue is not safe for concurrent use; its owner has a lock.
type Queue[T any, O Order] struct {
	order      O
	capacity   int
	stay       time.Duration // stay is how long entries wait before they are shed first; 0 is for ever.
	overloaded bool
	seq        uint64
	entries    []*Entry[T] // entries are sorted, the best one last.
}

// Entry is one call in a Queue.
type Entry[T any] struct {
	Value T
	Key
	// Came is when the call came.
	Came time.Time
	// Deadline is when the call must be finished; zero is no deadline.
	Deadline time.Time
	// Service is how long the call will probably take once it starts.
	Service time.Duration
}

// Key is what orders entries.
type Key struct {
	Priority mwcall.Priority
	// Share is how many calls of the same caller were here when the call
	// came, where callers share a bound. Among equal importance the lesser
	// one goes first, so that one caller can't crowd out the others.
	Share mwunit.Slots
	// seq counts entries from the oldest to the newest.
	seq uint64
}

// New returns an empty Queue of a capacity with order o.
func New[T any, O Order](o O, capacity mwunit.Slots) *Queue[T, O] {
	return &Queue[T, O]{order: o, capacity: max(int(capacity), 1)}
}

// Len returns the number of entries.
func (q *Queue[T, O]) Len() int { return len(q.entries) }

// SetBounds sets the capacity, which is at least 1, and the stay. Entries
// above the capacity remain until they leave or newcomers take their place.
func (q *Queue[T, O]) SetBounds(capacity mwunit.Slots, stay time.Duration) {
	q.capacity, q.stay = max(int(capacity), 1), stay
}

// Overloaded tells whether the queue had to shed and has not drained since.
func (q *Queue[T, O]) Overloaded() bool { return q.overloaded }

// Threshold returns the least priority that can wait here with a hope to
// start; 0 where there is no overload.
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

// drained notes that an entry left.
func (q *Queue[T, O]) drained() {
	if len(q.entries) <= q.capacity/2 {
		q.setOverloaded(false)
	}
}

// compare orders the worse entry before the better one.
func (q *Queue[T, O]) compare(a, b *Entry[T]) int {
	return q.order.Compare(a.Key, b.Key, q.overloaded)
}

// Push adds e. Where the queue was full, an entry is shed and returned,
// which may be e itself.
func (q *Queue[T, O]) Push(e *Entry[T]) (shed *Entry[T]) {
	q.seq++
	e.seq = q.seq
	if len(q.entries) < q.capacity {
		q.insert(e)
		return nil
	}
	q.setOverloaded(true)
	i := q.toShed(e)
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

// toShed returns the index of the entry that makes room for e, or -1 where e
// is to be shed.
func (q *Queue[T, O]) toShed(e *Entry[T]) int {
	least := q.entries[0].Priority.Importance()
	if e.Priority.Importance() >= least {
		for i, o := range q.entries {
			if o.Priority.Importance() != least {
				break
			}
			if q.stay > 0 && e.Came.Sub(o.Came) > q.stay {
				return i
			}
		}
	}
	if q.compare(e, q.entries[0]) < 0 {
		return -1
	}
	return 0
}

// Ahead returns how many entries would leave before one with k that came
// now.
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

// Better tells whether the best entry of q goes before the best one of r;
// neither may be empty.
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
	q.drained()
	return e
}

// Remove removes e and tells whether it was there.
func (q *Queue[T, O]) Remove(e *Entry[T]) bool {
	i := slices.Index(q.entries, e)
	if i < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	q.drained()
	return true
}
