package mwroute

import (
	"math"
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

// ExpectName is the name of the router Expect in the settings.
const ExpectName mwregistry.Name = "expect"

// Expect sends a call to the target from which it expects the answer first.
// It answers a load that is uneven: targets of different speeds, availability
// zones whose targets are full while those of other zones have room, and
// targets that turn slow for a while.
//
// The time to expect is the way there and back, the wait for a slot, and the
// time that a call holds it. Target nodes report their load with each answer,
// and between two reports a node counts its own calls. A service has a few
// targets, so each pick looks at all of them. What is not heard of for a
// while fades, so that a target that was full or slow is tried again.
//
// A call that no target can answer in its time is refused at the entry, which
// also says when there will be room.
type Expect struct {
	here   mwcall.Target
	epoch  time.Time
	states *mwshard.Map[targetKey, expectation]
	kinds  *mwshard.Cache[kindKey, kind]
	meter  *meter
}

// kindKey is what the calls of one kind have in common.
type kindKey struct {
	service mwid.ServiceName
	route   mwid.Route
}

func kindOf(c *mwcall.Call) kindKey { return kindKey{c.Service, c.Class.Route} }

// kind has the moving averages of what is seen of the calls of one kind.
type kind struct {
	size float64 // size is that of answers, in bytes.
	// hold is the time that such a call holds a slot, as a part of that of all
	// calls of the target; 0 where it is not known.
	hold float64
}

// rememberedKinds is the number of kinds of calls that are remembered.
const rememberedKinds = 512

func init() { mwkernel.Routers.Register(ExpectName, newExpect) }

func newExpect(env mwkernel.Env) (mwkernel.Router, mwregistry.Cleanup, error) {
	x := &Expect{
		here: mwcall.Target{
			Node: env.Node, Zone: env.Settings.Place.Zone, Region: env.Settings.Place.Region,
		},
		epoch:  time.Now(),
		states: mwshard.New[targetKey, expectation](mwshard.DefaultShards),
		kinds:  mwshard.NewCache[kindKey, kind](rememberedKinds),
		meter:  newMeter(env.Metrics),
	}
	return x, mwtimer.Every(sweepPeriod, x.sweep), nil
}

// sweep forgets what was not used for idleFor.
func (x *Expect) sweep(now time.Time) {
	x.states.DeleteFunc(func(_ targetKey, e expectation) bool {
		return e.inFlight == 0 && now.Sub(e.used) >= idleFor
	})
}

// Len returns the number of targets of which something is kept.
func (x *Expect) Len() int { return x.states.Len() }

// expected is a target with the time to expect.
type expected struct {
	target *mwcall.Target
	score  time.Duration // score orders targets; it has penalties beside the time.
	took   time.Duration // took is the time to expect alone.
	fit    fitness
}

// Pick returns the target for c.
func (x *Expect) Pick(c *mwcall.Call, ts []mwcall.Target, tried mwset.Set[mwid.NodeID]) (mwcall.Target, error) {
	now := time.Now()
	l := x.look(c, ts, now)
	best := expected{fit: gone}
	for i := range ts {
		t := &ts[i]
		if t.State == mwcall.Leaving || tried.Has(t.Node) {
			continue
		}
		e := x.expect(&l, t)
		if e.fit < best.fit || e.fit == best.fit && e.score < best.score {
			best = e
		}
	}
	if best.target == nil {
		return mwcall.Target{}, mwcode.New(mwcode.NoTarget)
	}
	if l.hopeless(best) && rand.Float64() >= probeShare {
		x.meter.early.Inc()
		return mwcall.Target{}, mwkernel.Refuse(mwcode.EarlyRefusal, mwcall.Head{RetryAfter: best.took - l.left})
	}
	x.meter.picked(distanceOf(x.here, *best.target), false)
	return *best.target, nil
}

// look is what all targets are judged by in one choice.
type look struct {
	c       *mwcall.Call
	now     time.Time
	typical time.Duration // typical is the median hold of the targets.
	kind    kind
	left    time.Duration // left is the time that c has; 0 is no bound.
}

func (x *Expect) look(c *mwcall.Call, ts []mwcall.Target, now time.Time) look {
	l := look{c: c, now: now, typical: x.typical(ts)}
	l.kind, _ = x.kinds.Get(kindOf(c))
	l.left, _ = c.Remaining(now)
	return l
}

// hopeless tells whether c can't end in its time even at the best target. A
// call that belongs to work already done has more of a chance given: where it
// is refused, that work is lost.
func (l *look) hopeless(best expected) bool {
	left := l.left
	if l.c.Depth > 0 {
		left *= begunChance
	}
	return l.left > 0 && best.fit == fit && best.took > left
}

// begunChance is how many times as long as it has left a call may be expected
// to take that belongs to work already done: half of the calls take less than
// two thirds of the mean.
const begunChance = 2

// typical returns the median time that calls hold the slots of ts, which is
// what is expected of a target that nothing is known of.
func (x *Expect) typical(ts []mwcall.Target) time.Duration {
	var holds []time.Duration
	for _, t := range ts {
		if e, ok := x.states.Get(keyOf(t)); ok && e.report.Hold > 0 {
			holds = append(holds, e.report.Hold)
		}
	}
	if len(holds) == 0 {
		return typicalHold
	}
	slices.Sort(holds)
	return holds[(len(holds)-1)/2]
}

// What is expected before anything is known, and what weighs beside time.
const (
	// typicalHold is the time that a call holds a slot.
	typicalHold = 30 * time.Millisecond
	// wayNear and wayFar are the ways there and back within a region, and to
	// another one at 20 ms one way.
	wayNear = time.Millisecond
	wayFar  = 41 * time.Millisecond
	// farPenalty and farPerKB are how much longer an answer from the own
	// region may take than one from another region, for a call and for each
	// 1,000 bytes of its answer: bytes between regions cost 7 times those
	// between zones, and 1,000 of them a twentieth of a plain call's worth.
	farPenalty = 40 * time.Millisecond
	farPerKB   = 15 * time.Millisecond
	// zonePenalty and zonePerKB are the same for another availability zone.
	zonePenalty = 3 * time.Millisecond
	zonePerKB   = 2 * time.Millisecond
	// kindWeight is the weight of one answer in what is known of its kind.
	kindWeight = 0.1
	// A straggler takes stragglerFactor times as long as other calls, and
	// stragglerShare of the calls are stragglers: what the users report of
	// their work.
	stragglerFactor = 6
	stragglerShare  = 0.03
	// What a straggler costs that ends after its time: lostOnce where the
	// call is not made again, lostAgain where it may be, and late where only
	// the objective is missed; in the time that is worth as much.
	lostOnce  = 3600 * time.Millisecond
	lostAgain = 1200 * time.Millisecond
	late      = 800 * time.Millisecond
	// suspectPenalty is for targets that were not heard lately.
	suspectPenalty = 200 * time.Millisecond
	// failPenalty is what a failed answer costs: the time of a second try.
	failPenalty = 400 * time.Millisecond
	// noise spreads the choices of nodes that know the same, as a part of the
	// time to expect.
	noise = 0.1
	// crowding is the part of its hold by which a call takes longer at a
	// target whose slots are all in use.
	crowding = 0.3
	// reportFade is the time constant in which a report loses its weight.
	reportFade = 400 * time.Millisecond
	// failWeight is the weight of one answer in the part of failed ones.
	failWeight = 0.1
	// wayWeight is the weight of one answer in the way.
	wayWeight = 0.2
)

// expect returns what a call can expect of t.
func (x *Expect) expect(l *look, t *mwcall.Target) expected {
	s, _ := x.states.Get(keyOf(*t))
	d := distanceOf(x.here, *t)
	before, hold := s.way(d)+s.wait(l, t), s.hold(l)
	took := max(before+hold, s.waiting.age(l.now.Sub(x.epoch)))
	score := took + time.Duration(s.failed*float64(failPenalty)) + l.risk(before, hold) + l.price(d)
	if t.State != mwcall.Up {
		score += suspectPenalty * time.Duration(t.State)
	}
	score += time.Duration((rand.Float64() - 0.5) * noise * float64(took))
	return expected{target: t, score: score, took: took, fit: s.fitness(l.c, l.now)}
}

// price returns what the bytes to a target at d cost, as a time.
func (l *look) price(d distance) time.Duration {
	kb := l.kind.size / 1000
	switch d {
	case otherRegion:
		return farPenalty + time.Duration(kb*float64(farPerKB))
	case sameRegion:
		return zonePenalty + time.Duration(kb*float64(zonePerKB))
	}
	return 0
}

// risk returns what is lost by stragglers where a call starts after before and
// holds its slot for hold, as a time. It sends work that has little time to
// spare to faster targets.
func (l *look) risk(before, hold time.Duration) time.Duration {
	end := before + stragglerFactor*hold
	cost := time.Duration(0)
	switch objective := l.c.Class.Objective; {
	case l.left > 0 && end > l.left && !l.c.Class.Repeatable:
		cost = lostOnce
	case l.left > 0 && end > l.left:
		cost = lostAgain
	case objective > 0 && end > objective:
		cost = late
	}
	return time.Duration(stragglerShare * float64(cost))
}

// Begin notes that c is sent to t.
func (x *Expect) Begin(c *mwcall.Call, t mwcall.Target) func(mwcall.Head, mwcall.Sample) {
	k, now := keyOf(t), time.Now()
	since := now.Sub(x.epoch)
	x.states.Update(k, func(e expectation, _ bool) (expectation, bool) {
		e.inFlight++
		e.waiting.add(since)
		e.used = now
		return e, true
	})
	x.meter.begun(distanceOf(x.here, t))
	kk := kindOf(c)
	return func(h mwcall.Head, m mwcall.Sample) {
		x.kinds.Update(kk, func(v kind) kind { return v.learn(h) })
		x.states.Update(k, func(e expectation, ok bool) (expectation, bool) {
			if !ok {
				return e, false
			}
			e.inFlight--
			e.waiting.remove(since)
			e.end(h, m, time.Now())
			return e, true
		})
	}
}

// learn returns k after an answer with h.
func (k kind) learn(h mwcall.Head) kind {
	if h.Size > 0 {
		k.size += kindWeight * (float64(h.Size) - k.size)
	}
	if r := h.Report; r.Hold > 0 && r.Route > 0 {
		k.hold += kindWeight * (float64(r.Route)/float64(r.Hold) - k.hold)
	}
	return k
}

// expectation is what this node knows of one target.
type expectation struct {
	inFlight int // inFlight counts the calls of this node.
	waiting  waiting
	report   mwcall.Report
	// reported is when report came, and ownThen what inFlight was then.
	reported  time.Time
	ownThen   int
	threshold mwcall.Priority
	ways      time.Duration // ways is the moving average of the way; 0 where it is not known.
	failed    float64       // failed is the moving average of the part of failed answers.
	failures  int           // failures counts lost connections and silences in a row.
	downUntil time.Time
	used      time.Time
}

// way returns the time there and back.
func (e *expectation) way(d distance) time.Duration {
	switch {
	case d == self:
		return 0
	case e.ways > 0:
		return e.ways
	case d == otherRegion:
		return wayFar
	}
	return wayNear
}

// mean returns the time that calls hold the slots of the target.
func (e *expectation) mean(l *look) time.Duration {
	if e.report.Hold > 0 {
		return e.report.Hold
	}
	return l.typical
}

// hold returns the time that the call will hold its slot.
func (e *expectation) hold(l *look) time.Duration {
	h := e.mean(l)
	if l.kind.hold > 0 {
		h = time.Duration(l.kind.hold * float64(h))
	}
	return h
}

// wait returns the time until the call gets a slot, and by how much longer it
// will hold it at a target that is nearly full.
func (e *expectation) wait(l *look, t *mwcall.Target) time.Duration {
	limit := float64(max(t.Slots, 1))
	if e.report.Known() {
		limit = float64(e.report.Limit)
	}
	weight := math.Exp(-float64(l.now.Sub(e.reported)) / float64(reportFade))
	others := weight * float64(int(e.report.InFlight+e.report.Queued)-e.ownThen)
	n := max(others, 0) + float64(e.inFlight)
	full := min(n/limit, 1)
	turns := max(n+1-limit, 0)/limit + crowding*full*full*full
	return time.Duration(turns * float64(e.mean(l)))
}

// fitness returns what c can hope for at now.
func (e *expectation) fitness(c *mwcall.Call, now time.Time) fitness {
	switch {
	case now.Before(e.downUntil):
		return down
	case c.Class.Priority < e.threshold && now.Sub(e.reported) < thresholdFor:
		return below
	}
	return fit
}

// thresholdFor is how long a threshold holds without a report: a few times
// what it takes a full queue to turn over.
const thresholdFor = 150 * time.Millisecond

// end learns from one finished attempt.
func (e *expectation) end(h mwcall.Head, m mwcall.Sample, now time.Time) {
	if r := h.Report; r.Known() {
		if r.Hold == 0 {
			r.Hold = e.report.Hold
		}
		e.report, e.reported, e.ownThen, e.threshold = r, now, e.inFlight, h.Threshold
		if way := m.Took - r.Spent; way > 0 {
			e.learnWay(way)
		}
	}
	switch code := h.Code; {
	case code == mwcode.OK && !m.Cancelled:
		e.failures, e.downUntil = 0, time.Time{}
		e.learnFailure(h.Failed)
	case m.Cancelled:
	case code == mwcode.ConnectFailed, code == mwcode.ConnectionLost, code == mwcode.Silent:
		e.failures++
		e.downUntil = now.Add(backoff(e.failures, downFirst, downMax))
	case code == mwcode.Draining, code == mwcode.NoBackend:
		e.downUntil = now.Add(goneFor)
	}
}

func (e *expectation) learnWay(d time.Duration) {
	if e.ways == 0 {
		e.ways = d
	}
	e.ways += time.Duration(wayWeight * float64(d-e.ways))
}

func (e *expectation) learnFailure(failed bool) {
	v := 0.0
	if failed {
		v = 1
	}
	e.failed += failWeight * (v - e.failed)
}
