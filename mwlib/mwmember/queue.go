package mwmember

import (
	"sync"

	"mustardwheel.example/mwlib/mwunit"
)

// update is a value that a queue can hold.
type update interface{ bytes() mwunit.Bytes }

// queue holds the updates that are still to be sent, one per key: a later
// update of a key replaces an earlier one.
type queue[K comparable, V update] struct {
	mu    sync.Mutex
	m     map[K]*queued[V]
	takes int // number of calls of take
}

// queued is an update with its remaining number of sends.
type queued[V update] struct {
	v         V
	remaining int
	lastTake  int // value of takes when take last returned v
}

// crowdedLen is the number of updates above which a queue is crowded.
const crowdedLen = 32

func newQueue[K comparable, V update]() *queue[K, V] {
	return &queue[K, V]{m: make(map[K]*queued[V])}
}

// put queues v to be sent n times.
func (q *queue[K, V]) put(k K, v V, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.m[k] = &queued[V]{v: v, remaining: n}
}

// crowded reports whether q holds more than crowdedLen updates.
func (q *queue[K, V]) crowded() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.m) > crowdedLen
}

// remove deletes the update of k.
func (q *queue[K, V]) remove(k K) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.m, k)
}

// recordDuplicate records that the update of k was also received from another
// node, so that q sends it one time fewer.
func (q *queue[K, V]) recordDuplicate(k K) {
	q.mu.Lock()
	defer q.mu.Unlock()
	x, ok := q.m[k]
	if !ok {
		return
	}
	if x.remaining--; x.remaining <= 0 {
		delete(q.m, k)
	}
}

// anyRemainingAbove reports whether an update has more than n remaining sends.
func (q *queue[K, V]) anyRemainingAbove(n int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, x := range q.m {
		if x.remaining > n {
			return true
		}
	}
	return false
}

// take returns updates that fit into *room together, those with the most
// remaining sends first. It subtracts their size from *room and one from their
// remaining sends.
func (q *queue[K, V]) take(room *mwunit.Bytes) []V {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.takes++
	var out []V
	for remaining := q.maxRemaining(); remaining > 0; remaining-- {
		for k, x := range q.m {
			if x.remaining != remaining || x.lastTake == q.takes {
				continue
			}
			size := x.v.bytes()
			if size > *room {
				return out
			}
			*room -= size
			out = append(out, x.v)
			x.lastTake = q.takes
			if x.remaining--; x.remaining <= 0 {
				delete(q.m, k)
			}
		}
	}
	return out
}

// maxRemaining returns the maximum number of remaining sends of an update.
func (q *queue[K, V]) maxRemaining() int {
	n := 0
	for _, x := range q.m {
		n = max(n, x.remaining)
	}
	return n
}
