package mwadmit

import (
	"context"
	"sync"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwunit"
)

// Fixed admits as many calls as the backend server announces slots; the
// others wait first come first served, up to a number. It is the baseline
// that Adaptive is measured against.
type Fixed struct {
	cfg   *config
	gates *mwshard.Map[mwid.ServiceName, *fixedGate]
}

// fixedGate is the state of one service under its own lock.
type fixedGate struct {
	mu       sync.Mutex
	slots    mwunit.Slots
	inFlight mwunit.Slots
	waiting  []chan struct{}
}

func newFixed(cfg *config) *Fixed {
	return &Fixed{cfg: cfg, gates: mwshard.New[mwid.ServiceName, *fixedGate](mwshard.DefaultShards)}
}

// Announce sets the slots of a service.
func (f *Fixed) Announce(a mwcall.Announcement) {
	g := f.gates.GetOrSet(a.Service, func() *fixedGate { return &fixedGate{} })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = a.Slots
	g.pump()
}

// Admit waits until c may start.
func (f *Fixed) Admit(ctx context.Context, c *mwcall.Call) (mwkernel.Release, error) {
	g, ok := f.gates.Get(c.Service)
	if !ok {
		return nil, mwcode.New(mwcode.NoBackend)
	}
	ch, ok := g.enter(f.cfg.queue)
	if !ok {
		return nil, mwcode.New(mwcode.Overloaded)
	}
	select {
	case <-ch:
	case <-ctx.Done():
		g.leave(ch)
		return nil, mwcode.New(goneCode(ctx))
	}
	var once sync.Once
	return func(mwcall.Sample) { once.Do(g.release) }, nil
}

// Load returns the present state of service s.
func (f *Fixed) Load(s mwid.ServiceName) mwkernel.Load {
	g, ok := f.gates.Get(s)
	if !ok {
		return mwkernel.Load{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return mwkernel.Load{Limit: g.slots, InFlight: g.inFlight, Queued: mwunit.Slots(len(g.waiting))}
}

// enter returns a channel that is closed when the call may start; ok is
// false where capacity calls wait already.
func (g *fixedGate) enter(capacity mwunit.Slots) (ch chan struct{}, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if mwunit.Slots(len(g.waiting)) >= capacity {
		return nil, false
	}
	ch = make(chan struct{})
	g.waiting = append(g.waiting, ch)
	g.pump()
	return ch, true
}

// leave takes back a call that does not wait any longer.
func (g *fixedGate) leave(ch chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, w := range g.waiting {
		if w == ch {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return
		}
	}
	g.inFlight--
	g.pump()
}

func (g *fixedGate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.pump()
}

// pump starts the calls that came first while slots are free.
func (g *fixedGate) pump() {
	for g.inFlight < g.slots && len(g.waiting) > 0 {
		close(g.waiting[0])
		g.waiting = g.waiting[1:]
		g.inFlight++
	}
}

// None admits every call at once.
type None struct{}

// Announce does nothing.
func (None) Announce(mwcall.Announcement) {}

// Admit admits c.
func (None) Admit(context.Context, *mwcall.Call) (mwkernel.Release, error) {
	return func(mwcall.Sample) {}, nil
}

// Load returns nothing.
func (None) Load(mwid.ServiceName) mwkernel.Load { return mwkernel.Load{} }
