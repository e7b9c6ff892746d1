package mwkernel

import (
	"sync"
	"sync/atomic"
)

// lifecycle counts the calls in flight at this node, from all of its listeners,
// and records how far the node has come in leaving: it is leaving once its own
// backend server takes no new calls, and closed once it passes on none either.
type lifecycle struct {
	inFlight atomic.Int64
	leaving  atomic.Bool
	closed   atomic.Bool
	once     sync.Once
	idle     chan struct{} // closed when the node is leaving and no call is in flight
}

func newLifecycle() *lifecycle { return &lifecycle{idle: make(chan struct{})} }

func (l *lifecycle) enter() { l.inFlight.Add(1) }

func (l *lifecycle) exit() {
	if l.inFlight.Add(-1) == 0 {
		l.closeIfLeaving()
	}
}

func (l *lifecycle) closeIfLeaving() {
	if l.leaving.Load() {
		l.once.Do(func() { close(l.idle) })
	}
}

// leave marks the node as leaving. The returned channel is closed when no call
// is in flight.
func (l *lifecycle) leave() <-chan struct{} {
	l.leaving.Store(true)
	if l.inFlight.Load() == 0 {
		l.closeIfLeaving()
	}
	return l.idle
}

func (l *lifecycle) isLeaving() bool { return l.leaving.Load() }
