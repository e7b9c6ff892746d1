package mwmember

import (
	"sync"

	"mustardwheel.example/mwlib/mwunit"
)

// news is an update that a queue holds.
type news interface{ bytes() mwunit.Bytes }

// queue holds the updates that are still to be sent, one per key: a later update
// of a key replaces an earlier one.
type queue[K comparable, V news] struct {
	mu   sync.Mutex
	m    map[K]*queued[V]
	turn int // turn is the number of calls of take.
}

// queued is an update with its remaining number of sends.
type queued[V news] struct {
	v    V
	left int
	turn int // turn is the call of take that returned v last.
}

// crowd is the number of updates above which a queue is crowded.
const crowd = 32

func newQueue[K comparable, V news]() *queue[K, V] {
	return &queue[K, V]{m: make(map[K]*queued[V])}
}

// put queues v to be sent n times.
func (q *queue[K, V]) put(k K, v V, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.m[k] = &queued[V]{v: v, left: n}
}

// crowded reports whether q holds more than crowd updates.
func (q *queue[K, V]) crowded() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.m) > crowd
}

// drop removes the update of k.
func (q *queue[K, V]) drop(k K) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.m, k)
}

// known records that another node already had the update of k, which saves one
// send.
func (q *queue[K, V]) known(k K) {
	q.mu.Lock()
	defer q.mu.Unlock()
	x, ok := q.m[k]
	if !ok {
		return
	}
	if x.left--; x.left <= 0 {
		delete(q.m, k)
	}
}

// fresh reports whether an update has more than lazy remaining sends.
func (q *queue[K, V]) fresh(lazy int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, x := range q.m {
		if x.left > lazy {
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
	q.turn++
	var out []V
	for remaining := q.most(); remaining > 0; remaining-- {
		for k, x := range q.m {
			if x.left != remaining || x.turn == q.turn {
				continue
			}
			size := x.v.bytes()
			if size > *room {
				return out
			}
			*room -= size
			out = append(out, x.v)
			x.turn = q.turn
			if x.left--; x.left <= 0 {
				delete(q.m, k)
			}
		}
	}
	return out
}

// most returns the maximum number of remaining sends of an update.
func (q *queue[K, V]) most() int {
	n := 0
	for _, x := range q.m {
		n = max(n, x.left)
	}
	return n
}
