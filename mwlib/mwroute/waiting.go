package mwroute

import (
	"slices"
	"time"
)

// waiting has the begin of each call in flight, as time since epoch, so that
// a target is found slow while its calls still wait: answer times tell of it
// only when the slow answers are there. Only age may be used without the lock
// of the target's shard.
type waiting struct {
	begins []time.Duration // begins ascend.
	// judged is the begin by which the calls are judged.
	judged time.Duration
	any    bool
}

// maxWaiting bounds the calls that are kept; with so many in flight, answers
// come often enough to judge by.
const maxWaiting = 64

func (w *waiting) add(begin time.Duration) {
	if len(w.begins) < maxWaiting {
		w.begins = append(w.begins, begin)
	}
	w.settle()
}

func (w *waiting) remove(begin time.Duration) {
	if i := slices.Index(w.begins, begin); i >= 0 {
		w.begins = slices.Delete(w.begins, i, i+1)
	}
	w.settle()
}

// settle finds the call to judge by: the second oldest, since the oldest may
// be a straggler that says nothing of the others, or the only one.
func (w *waiting) settle() {
	w.any = len(w.begins) > 0
	if w.any {
		w.judged = w.begins[min(1, len(w.begins)-1)]
	}
}

// age returns how long the call to judge by has waited at since.
func (w *waiting) age(since time.Duration) time.Duration {
	if !w.any {
		return 0
	}
	return since - w.judged
}
