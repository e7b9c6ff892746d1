package mwroute

import (
	"math"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// targetKey identifies a target; a node may serve several services.
type targetKey struct {
	node    mwid.NodeID
	service mwid.ServiceName
}

// state is what this node has observed of one target.
type state struct {
	// inFlight counts the calls whose answer's head has not arrived yet. Long
	// work is counted separately, as it has its own lane at the target.
	inFlight     mwunit.Slots
	longInFlight mwunit.Slots
	waiting      waiting
	// latency is the peak-sensitive moving average of the time to the
	// answer's head: it jumps up to a slower answer and decays towards faster
	// ones.
	latency time.Duration
	// mean is the plain moving average. It decides whether the target is
	// slow: a single straggler among many answers must not eject it.
	mean time.Duration
	// level is the slowly adapting moving average, from which the typical
	// latency of a service is computed.
	level time.Duration
	// spread is the moving average of the absolute deviation from level.
	spread      time.Duration
	samples     int
	updated     time.Time // updated is when latency was last updated.
	lastUsed    time.Time
	threshold   mwcall.Priority
	thresholdAt time.Time // thresholdAt is when threshold was last updated.
	busyUntil   time.Time
	laneUntil   time.Time // laneUntil is the time until which the target's lane for long work counts as full.
	downUntil   time.Time
	failures    int // failures counts consecutive attempts that could not connect, lost the connection or got no answer.
	slowUntil   time.Time
	slowLatency time.Duration // slowLatency is the latency at which the target was last found slow.
	slowCount   int           // slowCount counts how often the target was found slow since the counter was last reset.
	// lateCancels counts consecutive attempts that were cancelled after
	// norm.passOver.
	lateCancels int
	// trialsDue is the number of good answers that the target must still give,
	// one call at a time, before it gets its full share again.
	trialsDue int
}

const (
	// latencyDecay is the time constant of the peak-sensitive average.
	latencyDecay = 200 * time.Millisecond
	// meanWeight is the weight of one answer in the plain average.
	meanWeight = 0.3
	// levelWeight is the weight of one answer in level and spread.
	levelWeight = 0.05
	// thresholdTTL is how long a reported threshold is valid.
	thresholdTTL = time.Second
	// defaultBusyTime is how long a target counts as busy after a refusal that
	// gives neither a threshold nor a time to wait.
	defaultBusyTime = 20 * time.Millisecond
	// maxBusyTime is the longest wait that a target can ask for.
	maxBusyTime = 2 * time.Second
	// minDownTime and maxDownTime bound how long a target that cannot be
	// reached is left out; the time doubles with each failure.
	minDownTime = 250 * time.Millisecond
	maxDownTime = 8 * time.Second
	// noWorkTime is how long a target is left out after it answered that it
	// takes no calls; by then the membership has been updated.
	noWorkTime = time.Second
	// minSlowTime and maxSlowTime bound how long a slow target is left out.
	// Slow periods are often short, so the first time is short; it doubles each
	// time the target is found slow again.
	minSlowTime = 250 * time.Millisecond
	maxSlowTime = 8 * time.Second
)

// availability orders targets by how well they can serve a call, best first.
type availability int

const (
	// available targets have room.
	available availability = iota
	// slowNow targets have room but are slow at the moment, or are being tried
	// again after a failure or a slow period.
	slowNow
	// busy targets recently refused a call for lack of room.
	busy
	// belowThreshold targets would refuse a call of this priority.
	belowThreshold
	// down targets could not be reached recently.
	down
	// excluded targets were tried already and cannot be picked.
	excluded
)

// availability returns how well the target can serve c at now. The threshold
// applies only to short work on interfaces that are not retired: the other
// lanes have their own limits, and a retired interface has a guaranteed floor.
func (s *state) availability(c *mwcall.Call, now time.Time) availability {
	long := c.Class.Length == mwconfig.Long
	plain := c.Class.Length == mwconfig.Short && c.Class.Retired == ""
	switch {
	case now.Before(s.downUntil):
		return down
	case plain && c.Class.Priority < s.threshold && now.Sub(s.thresholdAt) < thresholdTTL:
		return belowThreshold
	case now.Before(s.busyUntil), long && now.Before(s.laneUntil):
		return busy
	}
	return available
}

// expectedLatency returns the latency expected at now. Without new answers it
// decays to typical, the service's usual latency, so that a target that was
// slow is tried again.
func (s *state) expectedLatency(typical time.Duration, now time.Time) time.Duration {
	if s.samples == 0 {
		return typical
	}
	return typical + time.Duration(decayWeight(now.Sub(s.updated))*float64(s.latency-typical))
}

// decayWeight returns the weight of an observation of the given age.
func decayWeight(age time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(latencyDecay))
}

// addInFlight records a call that starts at since, the time since the epoch.
func (s *state) addInFlight(long bool, since time.Duration) {
	if long {
		s.longInFlight++
		return
	}
	s.inFlight++
	s.waiting.add(since)
}

// removeInFlight reverts addInFlight.
func (s *state) removeInFlight(long bool, since time.Duration) {
	if long {
		s.longInFlight--
		return
	}
	s.inFlight--
	s.waiting.remove(since)
}

// longLoad returns the load that a Scorer uses for long work at a target with
// the given number of slots. It counts only long work, which has its own lane;
// the latency is typical, as the duration of long work is not measured.
func (s *state) longLoad(slots mwunit.Slots, typical time.Duration) Load {
	return Load{InFlight: s.longInFlight, Slots: slots, Latency: typical}
}

// load returns the load that a Scorer uses for short and medium work at a target
// with the given number of slots; since is the time from the epoch to now.
func (s *state) load(slots mwunit.Slots, typical, since time.Duration, now time.Time) Load {
	return Load{
		InFlight: s.inFlight, Slots: slots,
		Latency: max(s.expectedLatency(typical, now), s.waiting.age(since)),
	}
}

// recordResult updates s after an attempt. The duration of long work is
// ignored: it may include a wait for its lane, so it says nothing about the
// target.
func (s *state) recordResult(h mwcall.Head, m mwcall.Sample, long bool, began, now time.Time) {
	if m.Cancelled && h.Code != mwcode.OK {
		if !long {
			s.recordCancelled(m, began, now)
		}
		return
	}
	s.updateThreshold(h, now)
	switch code := h.Code; {
	case code == mwcode.OK:
		s.failures, s.downUntil = 0, time.Time{}
		if !long {
			s.updateLatency(m.First, began, now)
		}
	case code == mwcode.ConnectFailed, code == mwcode.ConnectionLost, code == mwcode.Silent:
		s.failures++
		s.downUntil = now.Add(backoff(s.failures, minDownTime, maxDownTime))
	case code == mwcode.Draining, code == mwcode.NoBackend:
		s.downUntil = now.Add(noWorkTime)
	case code == mwcode.LaneFull:
		s.laneUntil = now.Add(busyTime(h.RetryAfter))
	case isOverload(code) && h.Threshold == 0:
		s.busyUntil = now.Add(busyTime(h.RetryAfter))
	}
}

// recordCancelled updates s after a cancelled attempt. The observed time is a
// lower bound of the latency.
func (s *state) recordCancelled(m mwcall.Sample, began, now time.Time) {
	if s.samples > 0 && m.First > s.expectedLatency(0, now) {
		s.updateLatency(m.First, began, now)
	}
}

// isOverload reports whether a refusal with code c means that the target has no
// room.
func isOverload(c mwcode.Code) bool {
	return c == mwcode.Overloaded || c == mwcode.DeadlinePassed || c == mwcode.DeadlineTooShort
}

func (s *state) updateThreshold(h mwcall.Head, now time.Time) {
	if h.Code != mwcode.OK && !isOverload(h.Code) {
		return
	}
	s.threshold, s.thresholdAt = h.Threshold, now
}

func (s *state) updateLatency(d time.Duration, began, now time.Time) {
	s.latency = max(s.average(d, now), d)
	if s.samples == 0 {
		s.mean, s.level = d, d
	}
	if !began.Before(s.slowUntil) {
		s.spread += time.Duration(levelWeight * float64((d-s.level).Abs()-s.spread))
		s.level += time.Duration(levelWeight * float64(d-s.level))
		s.mean += time.Duration(meanWeight * float64(d-s.mean))
	}
	s.samples++
	s.updated = now
}

// resetFactor determines when slowCount is reset: once the target has been in
// use, without being found slow again, for as long as it was left out plus
// resetFactor times slowLatency.
const resetFactor = 4

// detectSlow decides from attempt m, started at began, whether the target is
// slow. A slow target is left out for a while and must then answer a few calls
// well, one at a time. Attempts that started before the end of that time are
// ignored.
func (s *state) detectSlow(m mwcall.Sample, n norm, began, now time.Time) {
	if s.samples < minSamples || !n.known() || began.Before(s.slowUntil) {
		return
	}
	if m.Code != mwcode.OK && m.First <= n.passOver {
		return // The attempt was cancelled early, so its latency is not known.
	}
	if s.isSlow(m, n) {
		s.slowCount++
		s.slowUntil = now.Add(backoff(s.slowCount, minSlowTime, maxSlowTime))
		s.slowLatency, s.mean = max(m.First, s.mean), n.typical
		s.trialsDue, s.lateCancels = requiredTrials, 0
		return
	}
	s.trialsDue = max(s.trialsDue-1, 0)
	if now.Sub(s.slowUntil) > backoff(s.slowCount, minSlowTime, maxSlowTime)+resetFactor*s.slowLatency {
		s.slowCount = 0
	}
}

// isSlow reports whether m shows that the target is slow. An attempt that
// was cancelled, such as the loser of a hedge, would have taken longer than
// observed, so a few of them in a row count like a slow answer.
func (s *state) isSlow(m mwcall.Sample, n norm) bool {
	cancelled := m.Code != mwcode.OK
	if cancelled {
		s.lateCancels++
	} else {
		s.lateCancels = 0
	}
	if s.trialsDue > 0 {
		return cancelled || m.First > n.eject
	}
	return s.mean > n.eject || s.lateCancels >= maxLateCancels
}

// maxLateCancels is the number of consecutive late cancellations that show that
// a target is slow.
const maxLateCancels = 2

// requiredTrials is the number of good answers that a slow target must give
// before it gets its full share again.
const requiredTrials = 3

// trialInFlight reports whether a target that is being tried again after a
// failure or a slow period already has a call in flight.
func (s *state) trialInFlight() bool {
	return (s.trialsDue > 0 || s.failures > 0) && s.inFlight+s.longInFlight > 0
}

// average returns the average of latency and d, in which the weight of latency
// decays with the time since the last answer.
func (s *state) average(d time.Duration, now time.Time) time.Duration {
	if s.samples == 0 {
		return d
	}
	w := decayWeight(now.Sub(s.updated))
	return time.Duration(w*float64(s.latency) + (1-w)*float64(d))
}

// backoff returns first, doubled n-1 times, but at most limit.
func backoff(n int, first, limit time.Duration) time.Duration {
	d := first
	for range n - 1 {
		if d *= 2; d >= limit {
			return limit
		}
	}
	return d
}

func busyTime(retryAfter time.Duration) time.Duration {
	if retryAfter <= 0 {
		return defaultBusyTime
	}
	return min(retryAfter, maxBusyTime)
}
