package mwclaim

import (
	"time"

	"mustardwheel.example/mwlib/mwcode"
)

// window is the time for which a lane collects rows. It grows while the store is
// too busy or transactions queue on their way to it, and shrinks otherwise. Rows
// thus wait in the lane, where they can share transactions, instead of in the
// store's queue. Only the lane's goroutine uses it.
type window struct {
	minLength time.Duration
	length    time.Duration
	base      time.Duration // duration of a transaction without queueing
}

// Limits and adaptation factors of a window.
const (
	maxWindow    = 200 * time.Millisecond
	growFactor   = 1.3
	shrinkFactor = 0.97
	// queueFactor and queueSlack detect a queue: a transaction was queued if it
	// took longer than queueFactor times the base plus queueSlack.
	queueFactor = 2
	queueSlack  = 5 * time.Millisecond
	// baseDrift determines how fast base grows: after a transaction that took
	// longer than base, base grows by this fraction of the difference. Thus base
	// follows a store that became permanently slower.
	baseDrift = 0.002
)

// newWindow returns a window with minimum length d.
func newWindow(d time.Duration) *window { return &window{minLength: d, length: d} }

// observe adapts the window to a transaction that took d and returned code c.
func (w *window) observe(d time.Duration, c mwcode.Code) {
	if c == mwcode.StoreAway || c == mwcode.StoreUnknown {
		return
	}
	queued := c == mwcode.StoreSlow || w.base > 0 && d > queueFactor*w.base+queueSlack
	if c != mwcode.StoreSlow {
		w.updateBase(d)
	}
	f := shrinkFactor
	if queued {
		f = growFactor
	}
	w.length = min(max(time.Duration(float64(w.length)*f), w.minLength), max(maxWindow, w.minLength))
}

func (w *window) updateBase(d time.Duration) {
	if w.base == 0 || d < w.base {
		w.base = d
		return
	}
	w.base += time.Duration(float64(d-w.base) * baseDrift)
}
