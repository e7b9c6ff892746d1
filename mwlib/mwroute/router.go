// Package mwroute implements the routing plug-ins, which pick the target of
// each attempt. "cost" (a Router with PeakLatency) weighs zones, latencies and
// priority thresholds. "inflight" (a Router with InFlight) does the same but
// scores targets by calls in flight alone. "expect" (ShortestDelay) minimizes
// the expected time to the answer. "random" (Random) is the baseline.
package mwroute

import (
	"time"

	"mustardwheel.example/mwlib/mwbudget"
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwset"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwtimer"
)

// Router picks the better of two random targets in the nearest tier that has
// room. A call goes to a farther tier only if the targets of the nearer ones
// refuse calls, are slow, cannot be reached or were already tried, or if the
// nearest is this node's own target and this node uses half of its slots. Only a
// bounded fraction of a service's calls leaves the region because targets refuse
// calls or are slow. Router learns about targets from its own calls: an answer
// gives the target's latency and the priority threshold below which it refuses
// calls.
//
// S scores the targets that are compared. The state of each target is an entry
// of a sharded map. The order of a service's targets is computed when their list
// changes and otherwise at most ten times per second. It is shared as an
// immutable view, so that a pick compares only two targets of a tier.
type Router[S Scorer] struct {
	score     S
	here      mwcall.Target
	set       mwsetting.Route
	epoch     time.Time
	states    *mwshard.Map[targetKey, state]
	views     *mwshard.Map[mwid.ServiceName, *view]
	farBudget *mwbudget.Tokens[mwid.ServiceName]
	meter     *meter
}

func init() {
	mwkernel.Routers.Register("cost", newRouter[PeakLatency])
	mwkernel.Routers.Register("inflight", newRouter[InFlight])
}

func newRouter[S Scorer](env mwkernel.Env) (mwkernel.Router, mwregistry.Cleanup, error) {
	if err := env.Settings.Route.Check(); err != nil {
		return nil, nil, err
	}
	r := &Router[S]{
		here: mwcall.Target{
			Node: env.Node, Zone: env.Settings.Place.Zone, Region: env.Settings.Place.Region,
		},
		set:       env.Settings.Route,
		epoch:     time.Now(),
		states:    mwshard.New[targetKey, state](mwshard.DefaultShards),
		views:     mwshard.New[mwid.ServiceName, *view](mwshard.DefaultShards),
		farBudget: mwbudget.NewTokens[mwid.ServiceName](mwbudget.WithReserve(farReserve)),
		meter:     newMeter(env.Metrics),
	}
	return r, mwtimer.Every(sweepPeriod, env.Panics.Tick("routing", r.sweep)), nil
}

const (
	// farReserve is the number of calls of a service that can spill to other
	// regions at once.
	farReserve = 20
	// sweepPeriod is the interval between deletions of unused entries.
	sweepPeriod = 10 * time.Second
	// idleTimeout is the time after which an unused entry is deleted.
	idleTimeout = time.Minute
)

func keyOf(t mwcall.Target) targetKey { return targetKey{t.Node, t.Service} }

// Pick returns the target for the next attempt of c.
func (r *Router[S]) Pick(c *mwcall.Call, ts []mwcall.Target, tried mwset.Set[mwid.NodeID]) (mwcall.Target, error) {
	p := pick[S]{r: r, c: c, tried: tried, now: time.Now()}
	p.v = r.view(c.Service, ts, p.now)
	return p.run()
}

// view returns the view of service s over its targets ts. It builds a new one if
// the stored view is not valid.
func (r *Router[S]) view(s mwid.ServiceName, ts []mwcall.Target, now time.Time) *view {
	v, ok := r.views.Get(s)
	if ok && v.valid(ts, now) {
		return v
	}
	stateOf := func(k targetKey) state {
		st, _ := r.states.Get(k)
		return st
	}
	v = newView(r.here, ts, stateOf, r.set.EjectRatio, now)
	r.views.Set(s, v)
	r.meter.setEjected(s, v.ejected)
	return v
}

// Begin records that c is sent to t. The returned function records the end of
// the attempt.
func (r *Router[S]) Begin(c *mwcall.Call, t mwcall.Target) func(mwcall.Head, mwcall.Sample) {
	k, region, now := keyOf(t), t.Region, time.Now()
	long := c.Class.Length == mwconfig.Long
	r.states.Update(k, func(s state, _ bool) (state, bool) {
		s.addInFlight(long, now.Sub(r.epoch))
		s.lastUsed = now
		return s, true
	})
	d := distanceOf(r.here, t)
	r.meter.countCall(d)
	if d != otherRegion {
		r.farBudget.Earn(c.Service, r.set.FarRatio, now)
	}
	return func(h mwcall.Head, m mwcall.Sample) {
		began, now := now, time.Now()
		n := r.norm(k.service, region)
		r.states.Update(k, func(s state, ok bool) (state, bool) {
			if !ok {
				return s, false
			}
			s.removeInFlight(long, began.Sub(r.epoch))
			s.recordResult(h, m, long, began, now)
			if !long && (h.Code == mwcode.OK || m.Cancelled) {
				s.detectSlow(m, n, began, now)
			}
			s.lastUsed = now
			return s, true
		})
	}
}

// norm returns the usual latency of the targets of s in region.
func (r *Router[S]) norm(s mwid.ServiceName, region mwid.RegionName) norm {
	if v, ok := r.views.Get(s); ok {
		return v.norm(region, r.set.SlowFactor)
	}
	return norm{}
}

// sweep deletes the entries that were not used for idleTimeout.
func (r *Router[S]) sweep(now time.Time) {
	r.states.DeleteFunc(func(_ targetKey, s state) bool {
		return s.inFlight+s.longInFlight == 0 && now.Sub(s.lastUsed) >= idleTimeout
	})
	r.views.DeleteFunc(func(s mwid.ServiceName, v *view) bool {
		idle := now.Sub(v.builtAt) >= idleTimeout
		if idle {
			r.meter.unregister(s)
		}
		return idle
	})
}

// Len returns the number of targets whose state is stored.
func (r *Router[S]) Len() int { return r.states.Len() }
