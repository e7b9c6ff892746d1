package mwadmit

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwlimit"
	"mustardwheel.example/mwlib/mwshard"
)

// Adaptive is an admission with a concurrency limit that policy P adapts. Calls
// above the limit wait in bounded queues in order of priority. A queued call is
// refused if its queue sheds it or if it would no longer finish by its deadline.
//
// There is one gate for each service, and the hold times of routes are in a
// sharded cache. Each gate and each shard has its own lock, and no two of these
// locks are held at once. A queued call waits on a channel, with no lock held.
type Adaptive[P mwlimit.Policy] struct {
	cfg       *config
	stats     *stats
	newPolicy func() P
	gates     *table[*gate[P]]
	holdTimes *mwshard.Cache[routeKey, holdEstimate]
}

// newAdaptive returns an Adaptive without services.
func newAdaptive[P mwlimit.Policy](cfg *config, st *stats, newPolicy func() P) *Adaptive[P] {
	return &Adaptive[P]{
		cfg: cfg, stats: st, newPolicy: newPolicy,
		gates:     newTable[*gate[P]](),
		holdTimes: mwshard.NewCache[routeKey, holdEstimate](cachedRoutes),
	}
}

// Announce applies an announcement to the gate of its service. The first one
// creates the gate.
func (a *Adaptive[P]) Announce(ann mwcall.Announcement) {
	g, fresh := a.gates.getOrSet(ann.Service, func() *gate[P] {
		return newGate(a.cfg, a.stats.gate(ann.Service), a.newPolicy(), ann)
	})
	if fresh {
		a.stats.watch(ann.Service, g.load)
		return
	}
	g.applyAnnouncement(time.Now(), ann)
}

// Admit waits until c may start. Every error has a code which says that c was
// not run.
func (a *Adaptive[P]) Admit(ctx context.Context, c *mwcall.Call) (mwkernel.Release, error) {
	g, ok := a.gates.get(c.Service)
	if !ok {
		return nil, mwcode.New(mwcode.NoBackend)
	}
	if ctx.Err() != nil {
		return nil, g.stat.countRefusal(contextCode(ctx))
	}
	now, key := time.Now(), routeKey{c.Service, c.Class.Route}
	e, _ := a.holdTimes.Get(key)
	t, code := g.enter(now, c, e.serviceTime(now))
	if code == mwcode.OK && t.verdict != nil {
		code = g.await(ctx, t)
	}
	if code != mwcode.OK {
		return nil, g.stat.countRefusal(code)
	}
	g.stat.admitted.Inc()
	return func(s mwcall.Sample) {
		now := time.Now()
		if g.release(now, t, s) && s.Took > 0 && !s.Cancelled {
			a.holdTimes.Update(key, func(e holdEstimate) holdEstimate { return e.observe(now, s.Took) })
		}
	}, nil
}

// await waits until t is started or refused, or until ctx is done.
func (g *gate[P]) await(ctx context.Context, t *ticket) mwcode.Code {
	select {
	case code := <-t.verdict:
		if code == mwcode.OK && ctx.Err() != nil {
			return g.withdraw(time.Now(), t, contextCode(ctx))
		}
		g.stat.observeWait(t.lane, time.Since(t.entry.Arrived))
		return code
	case <-ctx.Done():
		return g.withdraw(time.Now(), t, contextCode(ctx))
	}
}

// RefuseQueued refuses the queued calls of service s with mwcode.Draining.
func (a *Adaptive[P]) RefuseQueued(s mwid.ServiceName) {
	if g, ok := a.gates.get(s); ok {
		g.refuseQueued(mwcode.Draining)
	}
}

// Load returns the current load of service s.
func (a *Adaptive[P]) Load(s mwid.ServiceName) mwkernel.Load {
	g, ok := a.gates.get(s)
	if !ok {
		return mwkernel.Load{}
	}
	return g.load()
}

// Hold returns the mean time for which calls with the route of c hold a slot,
// or 0 if it is unknown.
func (a *Adaptive[P]) Hold(c *mwcall.Call) time.Duration {
	e, _ := a.holdTimes.Get(routeKey{c.Service, c.Class.Route})
	return e.mean
}

// contextCode returns the code for a call whose ctx is done: its deadline has
// passed, or its caller has cancelled it.
func contextCode(ctx context.Context) mwcode.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return mwcode.DeadlinePassed
	}
	return mwcode.CallerGone
}
