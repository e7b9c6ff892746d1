package mwmember

import (
	"sync"

	"mustardwheel.example/mwlib/mwunit"
)

// news is what a queue holds.
type news interface{ bytes() mwunit.Bytes }

// queue holds news that is still to be passed on, at most one for each key:
// later news of a key replaces earlier ones.
type queue[K comparable, V news] struct {
	mu   sync.Mutex
	m    map[K]*queued[V]
	turn int // turn counts the calls of take.
}

// queued is news with the number of times that it is still to be sent.
type queued[V news] struct {
	v    V
	left int
	turn int // turn is when v was last taken.
}

// crowd is how much queued news makes a queue crowded.
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

// crowded tells whether more than crowd news is queued.
func (q *queue[K, V]) crowded() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.m) > crowd
}

// drop takes the news of k back.
func (q *queue[K, V]) drop(k K) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.m, k)
}

// known notes that another node had the news of k too, so that it need not
// be sent as often.
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

// fresh tells whether some news is to be sent more than lazy times.
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

// take returns the news that was sent least, as much as fits into *room,
// and takes its size from *room.
func (q *queue[K, V]) take(room *mwunit.Bytes) []V {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.turn++
	var out []V
	for left := q.most(); left > 0; left-- {
		for k, x := range q.m {
			if x.left != left || x.turn == q.turn {
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

// most returns the greatest number of times that some news is still to be
// sent.
func (q *queue[K, V]) most() int {
	n := 0
	for _, x := range q.m {
		n = max(n, x.left)
	}
	return n
}
