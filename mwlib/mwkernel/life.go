package mwkernel

import (
	"sync"
	"sync/atomic"
)

// life counts the calls in flight at this node, by whatever listener they
// came, and tells whether its backend server takes new ones.
type life struct {
	inFlight atomic.Int64
	leaving  atomic.Bool
	once     sync.Once
	idle     chan struct{} // idle is closed when a leaving node is idle.
}

func newLife() *life { return &life{idle: make(chan struct{})} }

func (l *life) enter() { l.inFlight.Add(1) }

func (l *life) exit() {
	if l.inFlight.Add(-1) == 0 {
		l.closeIfLeaving()
	}
}

func (l *life) closeIfLeaving() {
	if l.leaving.Load() {
		l.once.Do(func() { close(l.idle) })
	}
}

// leave takes no more calls; the returned channel is closed when none is
// left.
func (l *life) leave() <-chan struct{} {
	l.leaving.Store(true)
	if l.inFlight.Load() == 0 {
		l.closeIfLeaving()
	}
	return l.idle
}

func (l *life) isLeaving() bool { return l.leaving.Load() }
