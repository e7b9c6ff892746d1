// Package mwroute holds the routers: plug-in "cost", which knows zones,
// latencies and thresholds, "inflight", which rates targets by calls in
// flight alone, and the baseline "random".
package mwroute

import (
	"math/rand/v2"
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
	if err := checkSettings(env.Settings.Route); err != nil {
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
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTicker(sweepPeriod)
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case now := <-t.C:
				r.sweep(now)
			}
		}
	}()
	return r, func() { close(stop); <-done }, nil
}

const (
	// farReserve is how many calls a service can spill at once.
	farReserve = 20
	// sweepPeriod is the time between two looks for targets that are gone.
	sweepPeriod = 10 * time.Second
	// idleFor is after which time an unused entry goes away.
	idleFor = time.Minute
)

func checkSettings(s mwsetting.Route) error {
	switch {
	case !(s.EjectRatio >= 0 && s.EjectRatio <= 1):
		return badSetting("route.eject-ratio", "0 to 1")
	case !(s.FarRatio >= 0 && s.FarRatio <= 1):
		return badSetting("route.far-ratio", "0 to 1")
	case !(s.SlowFactor >= 1):
		return badSetting("route.slow-factor", "at least 1")
	case s.Warmup < 0:
		return badSetting("route.warmup", "at least 0s")
	}
	return nil
}

func badSetting(field, expected string) error {
	return mwcode.New(mwcode.BadSetting, mwcode.Field(field), mwcode.Expected(expected))
}

func keyOf(t mwcall.Target) targetKey { return targetKey{t.Node, t.Service} }

// Pick returns the target for c.
func (r *Router[S]) Pick(c *mwcall.Call, ts []mwcall.Target, tried mwset.Set[mwid.NodeID]) (mwcall.Target, error) {
	p := pick[S]{
		r: r, c: c, tried: tried, now: time.Now(), leftovers: [down + 1]mwcall.Target{},
	}
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
	k, now := keyOf(t), time.Now()
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
		median := r.median(c.Service)
		r.states.Update(k, func(s state, ok bool) (state, bool) {
			if !ok {
				return s, false
			}
			s.finish(long, began.Sub(r.epoch))
			s.end(h, m, now)
			s.judge(median, r.set.SlowFactor, now)
			s.used = now
			return s, true
		})
	}
}

// median returns the median latency of s, or 0 where it is not known.
func (r *Router[S]) median(s mwid.ServiceName) time.Duration {
	if v, ok := r.views.Get(s); ok {
		return v.median
	}
	return 0
}

// sweep forgets what was not used for idleFor.
func (r *Router[S]) sweep(now time.Time) {
	r.states.DeleteFunc(func(_ targetKey, s state) bool {
		return s.inFlight == 0 && now.Sub(s.used) >= idleFor
	})
	r.views.DeleteFunc(func(s mwid.ServiceName, v *view) bool {
		idle := now.Sub(v.made) >= idleFor
		if idle {
			r.meter.forget(s)
		}
		return idle
	})
}

// pick is one choice.
type pick[S Score] struct {
	r     *Router[S]
	c     *mwcall.Call
	v     *view
	tried mwset.Set[mwid.NodeID]
	now   time.Time
	// leftovers has the nearest target found of each fitness worse than fit.
	leftovers [down + 1]mwcall.Target
}

func (p *pick[S]) run() (mwcall.Target, error) {
	near := false
	for i := range p.v.tiers {
		t := &p.v.tiers[i]
		if t.distance == otherRegion && near && p.c.Class.Length == mwconfig.Long {
			break
		}
		best, ok := p.from(t)
		if ok && t.distance == otherRegion && near && !p.r.far.Spend(p.c.Service, p.now) {
			break
		}
		if ok {
			p.r.meter.picked(t.distance, near)
			return best, nil
		}
		near = near || p.occupied()
	}
	return p.leftover()
}

// occupied tells whether a target was found that is only busy, not gone.
// Then a call leaves the region only while the bound on such calls holds,
// and long work, whose bytes cost the most, never does.
func (p *pick[S]) occupied() bool {
	return p.leftovers[busy].Node != "" || p.leftovers[below].Node != ""
}

// choice is the better of up to two candidates.
type choice struct {
	best  mwcall.Target
	score float64
	found int
}

// clearly is the factor by which a score must be lower to count. Below it the
// difference is noise, and without it the slower of two like targets would
// get no calls at all, and nothing would be learnt of it.
const clearly = 0.8

func (ch *choice) offer(t mwcall.Target, score float64) {
	if ch.found == 0 || score < clearly*ch.score {
		ch.best, ch.score = t, score
	}
	ch.found++
}

// choices is how many targets are compared.
const choices = 2

// from returns the better of two random targets of t that have room. One
// that is new is often passed over, so that its share grows slowly.
func (p *pick[S]) from(t *tier) (mwcall.Target, bool) {
	n := len(t.targets)
	var warm, cold choice
	start, step := rand.IntN(n), coprimeStep(n)
	for i := 0; i < n && warm.found < choices; i++ {
		tg := t.targets[(start+i*step)%n]
		s, ok := p.usable(tg)
		if !ok || t.distance == self && crowded(tg, s) {
			continue
		}
		score := p.r.score.Of(s.load(tg, p.v.median, p.now.Sub(p.r.epoch), p.now))
		if p.cold(tg) {
			cold.offer(tg, score)
			continue
		}
		warm.offer(tg, score)
	}
	if warm.found == 0 {
		return cold.best, cold.found > 0
	}
	return warm.best, true
}

// crowdedShare is the part of its slots up to which this node's own target
// is preferred.
const crowdedShare = 0.5

func crowded(t mwcall.Target, s state) bool {
	return float64(s.inFlight) >= crowdedShare*float64(t.Slots)
}

// usable returns what is known of t where it has room for the call, else it
// keeps t as a leftover.
func (p *pick[S]) usable(t mwcall.Target) (state, bool) {
	if p.tried.Has(t.Node) {
		return state{}, false
	}
	s, _ := p.r.states.Get(keyOf(t))
	f := s.fitness(p.c.Class.Priority, p.now)
	if f != fit && p.leftovers[f].Node == "" {
		p.leftovers[f] = t
	}
	return s, f == fit
}

// minShare is the share of calls that a target gets when it is new.
const minShare = 0.1

// cold tells whether t, which is new, is passed over this time.
func (p *pick[S]) cold(t mwcall.Target) bool {
	age := p.now.Sub(t.Since)
	if t.Since.IsZero() || age >= p.r.set.Warmup {
		return false
	}
	share := max(minShare, float64(age)/float64(p.r.set.Warmup))
	return rand.Float64() >= share
}

// probeShare is the part of the calls below every threshold that is sent all
// the same, to learn when thresholds fall.
const probeShare = 0.02

// leftover returns a target where none has room: a busy one, else one that
// was ejected, suspect or could not be reached. A call that every usable
// target is sure to refuse is refused here.
func (p *pick[S]) leftover() (mwcall.Target, error) {
	if t := p.leftovers[busy]; t.Node != "" {
		return t, nil
	}
	if t := p.leftovers[below]; t.Node != "" {
		if rand.Float64() < probeShare {
			p.r.meter.probes.Inc()
			return t, nil
		}
		p.r.meter.early.Inc()
		return mwcall.Target{}, mwcode.New(mwcode.EarlyRefusal)
	}
	for _, t := range p.v.last {
		if _, ok := p.usable(t); ok {
			p.r.meter.fallback.Inc()
			return t, nil
		}
	}
	if t := p.leftovers[down]; t.Node != "" {
		p.r.meter.fallback.Inc()
		return t, nil
	}
	return mwcall.Target{}, mwcode.New(mwcode.NoTarget)
}

// steps are primes, one of which has no factor in common with n.
var steps = [...]int{7, 11, 13, 17, 19, 23, 29, 31}

// coprimeStep returns a random step that reaches each of n places.
func coprimeStep(n int) int {
	for range steps {
		if s := steps[rand.IntN(len(steps))]; n%s != 0 {
			return s
		}
	}
	return 1
}
