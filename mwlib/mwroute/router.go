// Package mwroute holds the routers: plug-in "cost", which knows zones,
// latencies and thresholds, "inflight", which rates targets by calls in
// flight alone, and the baseline "random".
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
// room. Calls leave the tier only while it refuses, and leave the region only
// for a bounded part of the calls. What it knows comes from its own calls: a
// target's answers tell its latency and the threshold below which it refuses.
//
// The score S varies. State lives in sharded maps, one entry a target; the
// order of a service's targets is worked out at most ten times a second and
// shared as a value that never changes, so that a pick looks at two targets
// only.
type Router[S Score] struct {
	score  S
	here   mwcall.Target
	set    mwsetting.Route
	epoch  time.Time
	states *mwshard.Map[targetKey, state]
	views  *mwshard.Map[mwid.ServiceName, *view]
	far    *mwbudget.Tokens[mwid.ServiceName]
	meter  *meter
}

func init() {
	mwkernel.Routers.Register("cost", newRouter[PeakLatency])
	mwkernel.Routers.Register("inflight", newRouter[InFlight])
}

func newRouter[S Score](env mwkernel.Env) (mwkernel.Router, mwregistry.Cleanup, error) {
	if err := env.Settings.Route.Check(); err != nil {
		return nil, nil, err
	}
	r := &Router[S]{
		here: mwcall.Target{
			Node: env.Node, Zone: env.Settings.Place.Zone, Region: env.Settings.Place.Region,
		},
		set:    env.Settings.Route,
		epoch:  time.Now(),
		states: mwshard.New[targetKey, state](mwshard.DefaultShards),
		views:  mwshard.New[mwid.ServiceName, *view](mwshard.DefaultShards),
		far:    mwbudget.NewTokens[mwid.ServiceName](mwbudget.WithReserve(farReserve)),
		meter:  newMeter(env.Metrics),
	}
	return r, mwtimer.Every(sweepPeriod, r.sweep), nil
}

const (
	// farReserve is how many calls a service can spill at once.
	farReserve = 20
	// sweepPeriod is the time between two looks for targets that are gone.
	sweepPeriod = 10 * time.Second
	// idleFor is after which time an unused entry goes away.
	idleFor = time.Minute
)

func keyOf(t mwcall.Target) targetKey { return targetKey{t.Node, t.Service} }

// Pick returns the target for c.
func (r *Router[S]) Pick(c *mwcall.Call, ts []mwcall.Target, tried mwset.Set[mwid.NodeID]) (mwcall.Target, error) {
	p := pick[S]{r: r, c: c, tried: tried, now: time.Now()}
	p.v = r.view(c.Service, ts, p.now)
	return p.run()
}

// view returns the order of the targets of s.
func (r *Router[S]) view(s mwid.ServiceName, ts []mwcall.Target, now time.Time) *view {
	v, ok := r.views.Get(s)
	if ok && v.holds(ts, now) {
		return v
	}
	look := func(k targetKey) state {
		st, _ := r.states.Get(k)
		return st
	}
	v = newView(r.here, ts, look, r.set.EjectRatio, now)
	r.views.Set(s, v)
	r.meter.ejected(s, v.ejected)
	return v
}

// Begin notes that c is sent to t.
func (r *Router[S]) Begin(c *mwcall.Call, t mwcall.Target) func(mwcall.Head, mwcall.Sample) {
	k, region, now := keyOf(t), t.Region, time.Now()
	long := c.Class.Length == mwconfig.Long
	r.states.Update(k, func(s state, _ bool) (state, bool) {
		s.begin(long, now.Sub(r.epoch))
		s.used = now
		return s, true
	})
	d := distanceOf(r.here, t)
	r.meter.begun(d)
	if d != otherRegion {
		r.far.Earn(c.Service, r.set.FarRatio, now)
	}
	return func(h mwcall.Head, m mwcall.Sample) {
		began, now := now, time.Now()
		n := r.norm(k.service, region)
		r.states.Update(k, func(s state, ok bool) (state, bool) {
			if !ok {
				return s, false
			}
			s.finish(long, began.Sub(r.epoch))
			s.end(h, m, long, began, now)
			if !long && (h.Code == mwcode.OK || m.Cancelled) {
				s.judge(m, n, began, now)
			}
			s.used = now
			return s, true
		})
	}
}

// norm returns what is ordinary for targets of s in region.
func (r *Router[S]) norm(s mwid.ServiceName, region mwid.RegionName) norm {
	if v, ok := r.views.Get(s); ok {
		return v.norm(region, r.set.SlowFactor)
	}
	return norm{}
}

// sweep forgets what was not used for idleFor.
func (r *Router[S]) sweep(now time.Time) {
	r.states.DeleteFunc(func(_ targetKey, s state) bool {
		return s.inFlight+s.longInFlight == 0 && now.Sub(s.used) >= idleFor
	})
	r.views.DeleteFunc(func(s mwid.ServiceName, v *view) bool {
		idle := now.Sub(v.made) >= idleFor
		if idle {
			r.meter.forget(s)
		}
		return idle
	})
}

// Len returns the number of targets of which something is kept.
func (r *Router[S]) Len() int { return r.states.Len() }
