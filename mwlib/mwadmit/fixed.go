package mwadmit

import (
	"context"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwqueue"
	"mustardwheel.example/mwlib/mwunit"
)

// Fixed admits as many concurrent calls as the backend server announces slots.
// Further calls wait in a first-in, first-out queue of limited capacity. It is
// the baseline for measurements of Adaptive.
type Fixed struct {
	cfg   *config
	gates *table[*fixedGate]
}

// fixedGate is the state of one service. Each has its own lock.
type fixedGate struct {
	mu       sync.Mutex
	slots    mwunit.Slots
	inFlight mwunit.Slots
	queue    *mwqueue.Queue[chan struct{}, mwqueue.ByAge]
}

// waiter is a queued call; its channel is closed when the call may start.
type waiter = mwqueue.Entry[chan struct{}]

func newFixed(cfg *config) *Fixed {
	return &Fixed{cfg: cfg, gates: newTable[*fixedGate]()}
}

// Announce sets the number of slots of a service.
func (f *Fixed) Announce(a mwcall.Announcement) {
	g, _ := f.gates.getOrSet(a.Service, func() *fixedGate {
		return &fixedGate{queue: mwqueue.New[chan struct{}](mwqueue.ByAge{}, f.cfg.queue)}
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = a.Slots
	g.startQueued()
}

// Admit waits until c may start.
func (f *Fixed) Admit(ctx context.Context, c *mwcall.Call) (mwkernel.Release, error) {
	g, ok := f.gates.get(c.Service)
	if !ok {
		return nil, mwcode.New(mwcode.NoBackend)
	}
	w, ok := g.enter()
	if !ok {
		return nil, mwcode.New(mwcode.Overloaded)
	}
	select {
	case <-w.Value:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		g.withdraw(w)
		return nil, mwcode.New(contextCode(ctx))
	}
	if d, ok := c.Remaining(time.Now()); ok && d <= 0 {
		g.withdraw(w)
		return nil, mwcode.New(mwcode.DeadlinePassed)
	}
	var once sync.Once
	return func(mwcall.Sample) { once.Do(g.release) }, nil
}

// Load returns the current load of service s.
func (f *Fixed) Load(s mwid.ServiceName) mwkernel.Load {
	g, ok := f.gates.get(s)
	if !ok {
		return mwkernel.Load{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return mwkernel.Load{Limit: g.slots, InFlight: g.inFlight, Queued: mwunit.Slots(g.queue.Len())}
}

// enter queues a new call and starts it if it is next and a slot is free; ok is
// false if the queue is full.
func (g *fixedGate) enter() (w *waiter, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w = &waiter{Value: make(chan struct{})}
	if g.queue.Push(w) != nil {
		return nil, false
	}
	g.startQueued()
	return w, true
}

// withdraw ends a call that will not run: it removes the call from the
// queue or, if the call was already started, releases its slot.
func (g *fixedGate) withdraw(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Remove(w) {
		return
	}
	g.inFlight--
	g.startQueued()
}

func (g *fixedGate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.startQueued()
}

// startQueued starts queued calls, oldest first, while slots are free.
func (g *fixedGate) startQueued() {
	for g.inFlight < g.slots && g.queue.Len() > 0 {
		close(g.queue.Pop().Value)
		g.inFlight++
	}
}

// None is an admission that admits every call immediately.
type None struct{}

// Announce does nothing.
func (None) Announce(mwcall.Announcement) {}

// Admit admits c immediately.
func (None) Admit(context.Context, *mwcall.Call) (mwkernel.Release, error) {
	return func(mwcall.Sample) {}, nil
}

// Load returns the zero Load.
func (None) Load(mwid.ServiceName) mwkernel.Load { return mwkernel.Load{} }

// Hold returns 0.
func (None) Hold(*mwcall.Call) time.Duration { return 0 }

// Hold returns 0, since Fixed measures no times.
func (f *Fixed) Hold(*mwcall.Call) time.Duration { return 0 }
