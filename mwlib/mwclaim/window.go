package mwclaim

import (
	"time"

	"mustardwheel.example/mwlib/mwcode"
)

// window is the time for which a lane gathers rows. It grows while the store
// is too busy or transactions queue on their way to it, and shrinks while
// they do not, so that rows wait in the lane, where they share transactions,
// and not behind it. Only the lane's goroutine uses it.
type window struct {
	least  time.Duration
	length time.Duration
	base   time.Duration // base is how long a transaction takes without a queue.
}

// Steps of a window.
const (
	mostWindow   = 200 * time.Millisecond
	growFactor   = 1.3
	shrinkFactor = 0.97
	// queueFactor and queueSlack tell a queue: a transaction took longer than
	// the base times the factor, and the slack.
	queueFactor = 2
	queueSlack  = 5 * time.Millisecond
	// baseDrift is the part by which base grows with each transaction, so that
	// it follows a store that became slower for good.
	baseDrift = 0.002
)

func newWindow(least time.Duration) *window { return &window{least: least, length: least} }

// observe adapts the window to a transaction that took d and ended with c.
func (w *window) observe(d time.Duration, c mwcode.Code) {
	if c == mwcode.StoreAway || c == mwcode.StoreUnknown {
		return
	}
	queued := c == mwcode.StoreSlow || w.base > 0 && d > queueFactor*w.base+queueSlack
	if c != mwcode.StoreSlow {
		w.learn(d)
	}
	f := shrinkFactor
	if queued {
		f = growFactor
	}
	w.length = min(max(time.Duration(float64(w.length)*f), w.least), max(mostWindow, w.least))
}

func (w *window) learn(d time.Duration) {
	if w.base == 0 || d < w.base {
		w.base = d
		return
	}
	w.base += time.Duration(float64(d-w.base) * baseDrift)
}
