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
	queue    *mwqueue.Queue[chan mwcode.Code, mwqueue.ByAge]
}

// waiter is a queued call. Its channel receives mwcode.OK when the call may start,
// or the code of its refusal. It has a buffer for that one code.
type waiter = mwqueue.Entry[chan mwcode.Code]

func newFixed(cfg *config) *Fixed {
	return &Fixed{cfg: cfg, gates: newTable[*fixedGate]()}
}

// Announce sets the number of slots of a service.
func (f *Fixed) Announce(a mwcall.Announcement) {
	g, _ := f.gates.getOrSet(a.Service, func() *fixedGate {
		return &fixedGate{queue: mwqueue.New[chan mwcode.Code](mwqueue.ByAge{}, f.cfg.queue)}
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
	if code := g.await(ctx, w); code != mwcode.OK {
		return nil, mwcode.New(code)
	}
	if code := endedCode(ctx, c); code != mwcode.OK {
		g.release()
		return nil, mwcode.New(code)
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
	w = &waiter{Value: make(chan mwcode.Code, 1)}
	if g.queue.Push(w) != nil {
		return nil, false
	}
	g.startQueued()
	return w, true
}

// await waits until w is started or refused, or until ctx is done while w is queued.
func (g *fixedGate) await(ctx context.Context, w *waiter) mwcode.Code {
	select {
	case code := <-w.Value:
		return code
	case <-ctx.Done():
	}
	if g.remove(w) {
		return contextCode(ctx)
	}
	return <-w.Value
}

// remove removes w from the queue and reports whether it was there.
func (g *fixedGate) remove(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Remove(w)
}

// endedCode returns the code for a call that no longer needs to run, or mwcode.OK.
func endedCode(ctx context.Context, c *mwcall.Call) mwcode.Code {
	if ctx.Err() != nil {
		return contextCode(ctx)
	}
	if d, ok := c.Remaining(time.Now()); ok && d <= 0 {
		return mwcode.DeadlinePassed
	}
	return mwcode.OK
}

func (g *fixedGate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.startQueued()
}

// RefuseQueued refuses the queued calls of service s with mwcode.Draining.
func (f *Fixed) RefuseQueued(s mwid.ServiceName) {
	g, ok := f.gates.get(s)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.queue.Len() > 0 {
		g.queue.Pop().Value <- mwcode.Draining
	}
}

// startQueued starts queued calls, oldest first, while slots are free.
func (g *fixedGate) startQueued() {
	for g.inFlight < g.slots && g.queue.Len() > 0 {
		g.queue.Pop().Value <- mwcode.OK
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

// RefuseQueued does nothing: None queues no calls.
func (None) RefuseQueued(mwid.ServiceName) {}

// Load returns the zero Load.
func (None) Load(mwid.ServiceName) mwkernel.Load { return mwkernel.Load{} }

// Hold returns 0.
func (None) Hold(*mwcall.Call) time.Duration { return 0 }

// Hold returns 0, since Fixed measures no times.
func (f *Fixed) Hold(*mwcall.Call) time.Duration { return 0 }
