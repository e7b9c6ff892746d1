package mwroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwset"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwtimer"
)

// ShortestDelayName is the name of the router ShortestDelay in the settings.
const ShortestDelayName mwregistry.Name = "expect"

// ShortestDelay sends a call to the target with the shortest expected time to
// the answer. It is meant for uneven load: targets of different speeds,
// availability zones whose targets are full while those of other zones have
// room, and targets that become slow for a while.
//
// The expected time is the sum of the round-trip time, the wait for a slot, and
// the time for which a call holds the slot. Target nodes report their load with
// each answer; between two reports a node counts its own calls. A pick compares
// up to maxCompared random targets of the service, so that its cost does not grow
// with the fleet and nodes with the same information spread over the targets. The
// weight of an old report decays, so that a target that was full or slow is tried
// again.
//
// A call that no target is expected to answer before its deadline is refused
// before it is sent, with the time after which to retry. A call that is part of
// a running request gets more time, and a small fraction is sent nevertheless,
// to learn when targets have room again.
type ShortestDelay struct {
	here   mwcall.Target
	epoch  time.Time
	states *mwshard.Map[targetKey, targetEstimate]
	kinds  *mwshard.Cache[kindKey, kind]
	// typicals holds the typical hold times of services, to which few keys belong.
	typicals *mwshard.Map[mwid.ServiceName, typicalHold]
	meter    *meter
}

func init() { mwkernel.Routers.Register(ShortestDelayName, newShortestDelay) }

func newShortestDelay(env mwkernel.Env) (mwkernel.Router, mwregistry.Cleanup, error) {
	x := &ShortestDelay{
		here: mwcall.Target{
			Node: env.Node, Zone: env.Settings.Place.Zone, Region: env.Settings.Place.Region,
		},
		epoch:  time.Now(),
		states: mwshard.New[targetKey, targetEstimate](mwshard.DefaultShards),
		kinds:  mwshard.NewCache[kindKey, kind](maxKinds),

		typicals: mwshard.New[mwid.ServiceName, typicalHold](mwshard.DefaultShards),
		meter:    newMeter(env.Metrics),
	}
	return x, mwtimer.Every(sweepPeriod, env.Panics.Tick("routing", x.sweep)), nil
}

// sweep deletes the entries that were not used for idleTimeout.
func (x *ShortestDelay) sweep(now time.Time) {
	x.states.DeleteFunc(func(_ targetKey, e targetEstimate) bool {
		return e.inFlight == 0 && now.Sub(e.lastUsed) >= idleTimeout
	})
	x.typicals.DeleteFunc(func(_ mwid.ServiceName, v typicalHold) bool {
		return now.Sub(v.computed) >= idleTimeout
	})
}

// Len returns the number of targets whose state is stored.
func (x *ShortestDelay) Len() int { return x.states.Len() }

// candidate is a target with its expected time to the answer.
type candidate struct {
	target       *mwcall.Target
	score        time.Duration // score orders targets; it is delay with penalties added.
	delay        time.Duration // delay is the expected time to the answer.
	availability availability
}

// maxCompared is the number of targets that are compared if one of them is
// available.
const maxCompared = 32

// Pick returns the target for the next attempt of c.
func (x *ShortestDelay) Pick(c *mwcall.Call, ts []mwcall.Target, tried mwset.Set[mwid.NodeID]) (mwcall.Target, error) {
	now := time.Now()
	l := x.newComparison(c, ts, now)
	best := candidate{availability: excluded}
	n := len(ts)
	start, step := 0, 1
	if n > maxCompared {
		start, step = rand.IntN(n), coprimeStep(n)
	}
	for i := 0; i < n && (i < maxCompared || best.availability > available); i++ {
		t := &ts[(start+i*step)%n]
		if t.State == mwcall.Leaving || tried.Has(t.Node) {
			continue
		}
		e := x.estimate(&l, t)
		if e.availability < best.availability || e.availability == best.availability && e.score < best.score {
			best = e
		}
	}
	if best.target == nil {
		return mwcall.Target{}, mwcode.New(mwcode.NoTarget)
	}
	if l.missesDeadline(best) && rand.Float64() >= probeShare {
		x.meter.early.Inc()
		return mwcall.Target{}, mwkernel.Refuse(mwcode.EarlyRefusal, mwcall.Head{RetryAfter: best.delay - l.remaining})
	}
	x.meter.countPick(distanceOf(x.here, *best.target), false)
	return *best.target, nil
}

// typicalHold is the median time for which calls hold a slot of the targets of a
// service.
type typicalHold struct {
	hold     time.Duration
	computed time.Time
}

// typicalAge is how long a typicalHold is used before it is computed again.
const typicalAge = 100 * time.Millisecond

// typical returns the median time for which calls hold a slot of ts, the targets
// of s. It is the estimate for a target that has not reported yet.
func (x *ShortestDelay) typical(s mwid.ServiceName, ts []mwcall.Target, now time.Time) time.Duration {
	if v, ok := x.typicals.Get(s); ok && now.Sub(v.computed) < typicalAge {
		return v.hold
	}
	hold := x.medianHold(ts)
	x.typicals.Set(s, typicalHold{hold, now})
	return hold
}

// medianHold returns the median time for which calls hold a slot of ts.
func (x *ShortestDelay) medianHold(ts []mwcall.Target) time.Duration {
	var holds []time.Duration
	for _, t := range ts {
		if e, ok := x.states.Get(keyOf(t)); ok && e.report.Hold > 0 {
			holds = append(holds, e.report.Hold)
		}
	}
	if len(holds) == 0 {
		return defaultHold
	}
	slices.Sort(holds)
	return holds[(len(holds)-1)/2]
}

// Estimates for targets without a report, penalties that are added to the
// expected time, and the random variation of scores.
const (
	// defaultHold is the time for which a call holds a slot.
	defaultHold = 30 * time.Millisecond
	// suspectPenalty is added for a suspect target, and three times that for an
	// unreachable one: the penalty is multiplied by the value of the state.
	suspectPenalty = 200 * time.Millisecond
	// failPenalty is the cost of a failed answer: the time of a second attempt.
	failPenalty = 400 * time.Millisecond
	// declinePenalty is the cost of a declined call: the wait in the queue before
	// the target's node shed it, and the way to another target.
	declinePenalty = 150 * time.Millisecond
	// noise is the width of the random variation, as a fraction of the
	// expected time, that spreads the picks of nodes with equal information.
	noise = 0.1
)

// estimate returns t as a candidate for the call of l.
func (x *ShortestDelay) estimate(l *comparison, t *mwcall.Target) candidate {
	s, _ := x.states.Get(keyOf(*t))
	d := distanceOf(x.here, *t)
	toSlot, hold := s.roundTripTo(d)+s.expectedWait(l, t), s.expectedHold(l)
	delay := max(toSlot+hold, s.waiting.age(l.now.Sub(x.epoch)))
	score := delay + time.Duration(s.failed*float64(failPenalty)) + s.declineCost(l.now) +
		l.stragglerCost(toSlot, hold) + l.trafficCost(d)
	if t.State != mwcall.Up {
		score += suspectPenalty * time.Duration(t.State)
	}
	score += time.Duration((rand.Float64() - 0.5) * noise * float64(delay))
	return candidate{target: t, score: score, delay: delay, availability: s.availability(l.c, l.now)}
}

// Begin records that c is sent to t. The returned function records the end of
// the attempt.
func (x *ShortestDelay) Begin(c *mwcall.Call, t mwcall.Target) func(mwcall.Head, mwcall.Sample) {
	k, now := keyOf(t), time.Now()
	since := now.Sub(x.epoch)
	x.states.Update(k, func(e targetEstimate, _ bool) (targetEstimate, bool) {
		e.inFlight++
		e.waiting.add(since)
		e.lastUsed = now
		return e, true
	})
	x.meter.countCall(distanceOf(x.here, t))
	kk := kindOf(c)
	return func(h mwcall.Head, m mwcall.Sample) {
		x.kinds.Update(kk, func(v kind) kind { return v.update(h) })
		x.states.Update(k, func(e targetEstimate, ok bool) (targetEstimate, bool) {
			if !ok {
				return e, false
			}
			e.inFlight--
			e.waiting.remove(since)
			e.recordResult(h, m, time.Now())
			return e, true
		})
	}
}
