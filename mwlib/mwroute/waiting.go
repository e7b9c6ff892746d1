package mwroute

import (
	"slices"
	"time"
)

// waiting holds the start times of the calls in flight, as times since the
// router's epoch. It allows a target to be found slow while its calls still
// wait, whereas latencies rise only once slow answers have arrived.
//
// A copy of a waiting shares the array of starts with the stored state. Only
// age, which does not read starts, may be called without the lock of the
// target's shard.
type waiting struct {
	starts []time.Duration // starts is in ascending order.
	// selected is the start time from which age is computed.
	selected time.Duration
	nonEmpty bool
}

// maxWaiting is the maximum number of start times kept. With so many calls in
// flight, answers arrive often enough to measure the latency.
const maxWaiting = 64

func (w *waiting) add(begin time.Duration) {
	if len(w.starts) < maxWaiting {
		w.starts = append(w.starts, begin)
	}
	w.selectCall()
}

func (w *waiting) remove(begin time.Duration) {
	if i := slices.Index(w.starts, begin); i >= 0 {
		w.starts = slices.Delete(w.starts, i, i+1)
	}
	w.selectCall()
}

// selectCall selects the call from which age is computed: the second oldest,
// since the oldest may be a straggler. If there is only one call, it selects
// that one.
func (w *waiting) selectCall() {
	w.nonEmpty = len(w.starts) > 0
	if w.nonEmpty {
		w.selected = w.starts[min(1, len(w.starts)-1)]
	}
}

// age returns how long the selected call has been waiting at the time since
// after the epoch, or 0 if no call is waiting.
func (w *waiting) age(since time.Duration) time.Duration {
	if !w.nonEmpty {
		return 0
	}
	return since - w.selected
}
