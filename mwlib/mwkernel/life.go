package mwkernel

import (
	"sync"
	"sync/atomic"
)

// life counts the calls in flight at this node, from all of its listeners, and
// holds whether the node takes new ones.
type life struct {
	inFlight atomic.Int64
	leaving  atomic.Bool
	once     sync.Once
	idle     chan struct{} // closed when the node is leaving and no call is in flight
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

// leave marks the node as leaving. The returned channel is closed when no call
// is in flight.
func (l *life) leave() <-chan struct{} {
	l.leaving.Store(true)
	if l.inFlight.Load() == 0 {
		l.closeIfLeaving()
	}
	return l.idle
}

func (l *life) isLeaving() bool { return l.leaving.Load() }
