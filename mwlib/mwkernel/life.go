package mwkernel

import "sync"

// life counts the calls in flight at this node, by whatever listener they
// came, and tells whether its backend server takes new ones.
type life struct {
	mu       sync.Mutex
	leaving  bool
	inFlight int
	idle     chan struct{} // idle is closed when a leaving node is idle.
}

func (l *life) enter() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
}

func (l *life) exit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.closeIfIdle()
}

func (l *life) closeIfIdle() {
	if l.leaving && l.inFlight == 0 && l.idle != nil {
		close(l.idle)
		l.idle = nil
	}
}

// leave takes no more calls; the returned channel is closed when none is
// left.
func (l *life) leave() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	ch := make(chan struct{})
	l.idle = ch
	l.closeIfIdle()
	return ch
}

func (l *life) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}
