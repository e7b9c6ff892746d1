package mwroute

import (
	"slices"
	"time"
)

// waiting holds the start time of each call in flight, as time since the
// epoch. A target is thereby found slow while its calls still wait; answer times
// show it only when the slow answers have arrived. Only age may be used without
// the lock of the target's shard.
type waiting struct {
	begins []time.Duration // begins is in ascending order.
	// judged is the start time from which age is computed.
	// judged is the begin by which the calls are judged.
	judged time.Duration
	any    bool
}

// maxWaiting is the maximum number of start times kept. With so many calls in
// flight, answers arrive often enough to measure the latency.
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

// settle selects the call from which age is computed: the second oldest, since
// the oldest may be a straggler that is not typical, or the only one.
func (w *waiting) settle() {
	w.any = len(w.begins) > 0
	if w.any {
		w.judged = w.begins[min(1, len(w.begins)-1)]
	}
}

// age returns how long the selected call has waited at since; 0 if there is
// none.
func (w *waiting) age(since time.Duration) time.Duration {
	if !w.any {
		return 0
	}
	return since - w.judged
}
