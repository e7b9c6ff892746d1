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

// Adaptive admits calls by a limit that policy P adapts, and lets the others
// wait in order of priority as long as their deadlines allow.
//
// Its state is in one gate for each service, and the paces of routes in the
// shards of a cache, each under its own lock; no two are held at once. A call
// that waits does so on a channel, outside of all locks.
type Adaptive[P mwlimit.Policy] struct {
	cfg       *config
	stats     *stats
	newPolicy func() P
	gates     *table[*gate[P]]
	paces     *mwshard.Cache[paceKey, pace]
}

// newAdaptive returns an Adaptive without services.
func newAdaptive[P mwlimit.Policy](cfg *config, st *stats, newPolicy func() P) *Adaptive[P] {
	return &Adaptive[P]{
		cfg: cfg, stats: st, newPolicy: newPolicy,
		gates: newTable[*gate[P]](),
		paces: mwshard.NewCache[paceKey, pace](paceRoutes),
	}
}

// Announce sets the bounds of a service.
func (a *Adaptive[P]) Announce(ann mwcall.Announcement) {
	g, fresh := a.gates.getOrSet(ann.Service, func() *gate[P] {
		return newGate(a.cfg, a.stats.gate(ann.Service), a.newPolicy(), ann)
	})
	if fresh {
		a.stats.watch(ann.Service, g.load)
		return
	}
	g.bound(time.Now(), ann)
}

// Admit waits until c may start. Each error has a code that tells that c did
// not run.
func (a *Adaptive[P]) Admit(ctx context.Context, c *mwcall.Call) (mwkernel.Release, error) {
	g, ok := a.gates.get(c.Service)
	if !ok {
		return nil, mwcode.New(mwcode.NoBackend)
	}
	if ctx.Err() != nil {
		return nil, g.stat.refused(goneCode(ctx))
	}
	now, key := time.Now(), paceKey{c.Service, c.Class.Route}
	p, _ := a.paces.Get(key)
	t, code := g.enter(now, c, p.service(now))
	if code == mwcode.OK && t.verdict != nil {
		code = g.await(ctx, t)
	}
	if code != mwcode.OK {
		return nil, g.stat.refused(code)
	}
	g.stat.admitted.Inc()
	return func(s mwcall.Sample) {
		now := time.Now()
		if g.release(now, t, s) && s.Took > 0 && !s.Cancelled {
			a.paces.Update(key, func(p pace) pace { return p.note(now, s.Took) })
		}
	}, nil
}

// await waits for the verdict on t.
func (g *gate[P]) await(ctx context.Context, t *ticket) mwcode.Code {
	select {
	case code := <-t.verdict:
		if code == mwcode.OK && ctx.Err() != nil {
			return g.leave(time.Now(), t, goneCode(ctx))
		}
		g.stat.waited(t.lane, time.Since(t.entry.Came))
		return code
	case <-ctx.Done():
		return g.leave(time.Now(), t, goneCode(ctx))
	}
}

// Load returns the present state of service s.
func (a *Adaptive[P]) Load(s mwid.ServiceName) mwkernel.Load {
	g, ok := a.gates.get(s)
	if !ok {
		return mwkernel.Load{}
	}
	return g.load()
}

// Hold returns the mean time for which calls of the route of c hold their
// slot.
func (a *Adaptive[P]) Hold(c *mwcall.Call) time.Duration {
	p, _ := a.paces.Get(paceKey{c.Service, c.Class.Route})
	return p.mean
}

// goneCode returns the code for a call whose ctx is done.
func goneCode(ctx context.Context) mwcode.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return mwcode.DeadlinePassed
	}
	return mwcode.CallerGone
}
