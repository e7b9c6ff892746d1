package mwmember

import (
	"cmp"
	"slices"
	"sync"

	"mustardwheel.example/mwlib/mwunit"
)

// news is what a queue holds.
type news interface{ bytes() mwunit.Bytes }

// queue holds news that is still to be passed on, at most one for each key:
// later news of a key replaces earlier ones.
type queue[K comparable, V news] struct {
	mu sync.Mutex
	m  map[K]*queued[V]
}

// queued is news with the number of times that it is still to be sent.
type queued[V news] struct {
	v    V
	left int
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
	if len(q.m) == 0 {
		return nil
	}
	var out []V
	for _, k := range q.order() {
		x := q.m[k]
		size := x.v.bytes()
		if size > *room {
			break
		}
		*room -= size
		out = append(out, x.v)
		if x.left--; x.left <= 0 {
			delete(q.m, k)
		}
	}
	return out
}

// order returns the keys, those sent least first.
func (q *queue[K, V]) order() []K {
	ks := make([]K, 0, len(q.m))
	for k := range q.m {
		ks = append(ks, k)
	}
	slices.SortFunc(ks, func(a, b K) int { return cmp.Compare(q.m[b].left, q.m[a].left) })
	return ks
}
