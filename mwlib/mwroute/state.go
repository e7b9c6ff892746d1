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

// targetKey names one target: a node may have several services.
type targetKey struct {
	node    mwid.NodeID
	service mwid.ServiceName
}

// state is what this node saw of one target.
type state struct {
	// inFlight counts the calls to the answer's head; long work by itself, as
	// it has a lane of its own at the target.
	inFlight     mwunit.Slots
	longInFlight mwunit.Slots
	waiting      waiting
	// latency is the peak-sensitive moving average of the time to the
	// answer's head: it jumps up to a slower answer and decays to faster
	// ones.
	latency time.Duration
	// mean is the plain moving average, by which slow targets are found: one
	// straggler among many answers must not eject a target.
	mean time.Duration
	// level is the slow moving average, by which what is typical is found.
	level time.Duration
	// spread is the moving average of how far answers are from mean.
	spread    time.Duration
	samples   int
	seen      time.Time // seen is when latency was learnt last.
	used      time.Time
	threshold mwcall.Priority
	learnt    time.Time // learnt is when threshold was learnt.
	busyUntil time.Time
	laneUntil time.Time // laneUntil is until when long work counts the target as busy.
	downUntil time.Time
	failures  int // failures counts lost connections and silences in a row.
	slowUntil time.Time
	excess    time.Duration // excess is the mean latency for which it was last found slow.
	strikes   int           // strikes counts how often the target was found slow.
	// cuts counts the calls in a row that were cut off late.
	cuts int
	// trials are the good answers that it owes since, one call at a time.
	trials int
}

const (
	// decay is the time constant of the moving averages.
	decay = 200 * time.Millisecond
	// meanWeight is the weight of one answer in the plain average.
	meanWeight = 0.3
	// slowWeight is that of one answer in the slow averages.
	slowWeight = 0.05
	// thresholdTTL is how long a learnt threshold holds.
	thresholdTTL = time.Second
	// busyFor is how long a target that refused a call without a threshold
	// counts as busy, where it does not say how long to wait.
	busyFor = 20 * time.Millisecond
	// busyMax bounds the wait that a target can ask for.
	busyMax = 2 * time.Second
	// downFirst and downMax bound how long a target that can't be reached
	// is left out; the time doubles with each failure.
	downFirst = 250 * time.Millisecond
	downMax   = 8 * time.Second
	// goneFor is how long a target is left out that takes no work; in that
	// time the membership tells more.
	goneFor = time.Second
	// slowFirst and slowMax bound how long a slow target is left out. Slow
	// spells are often short, so the first time is short, and it doubles
	// while the target is found slow again.
	slowFirst = 250 * time.Millisecond
	slowMax   = 8 * time.Second
)

// fitness orders targets by what a call can hope for.
type fitness int

const (
	// fit targets have room.
	fit fitness = iota
	// tardy targets have room and are slow at this moment.
	tardy
	// busy targets refused lately.
	busy
	// below targets are sure to refuse a call of this priority.
	below
	// down targets could not be reached lately.
	down
	// gone targets can't be picked.
	gone
)

// fitness returns what c can hope for at now. A threshold speaks of short
// work on interfaces that are not retired; the other lanes have their own
// bounds, and the retired interface a floor.
func (s *state) fitness(c *mwcall.Call, now time.Time) fitness {
	long := c.Class.Length == mwconfig.Long
	plain := c.Class.Length == mwconfig.Short && c.Class.Retired == ""
	switch {
	case now.Before(s.downUntil):
		return down
	case plain && c.Class.Priority < s.threshold && now.Sub(s.learnt) < thresholdTTL:
		return below
	case now.Before(s.busyUntil), long && now.Before(s.laneUntil):
		return busy
	}
	return fit
}

// cost returns the latency to expect at now. While nothing is seen it goes
// back to what is typical of the service, so that a target that was slow is tried
// again.
func (s *state) cost(typical time.Duration, now time.Time) time.Duration {
	if s.samples == 0 {
		return typical
	}
	return typical + time.Duration(fade(now.Sub(s.seen))*float64(s.latency-typical))
}

// fade returns the weight of what was seen age ago.
func fade(age time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(decay))
}

// begin notes a call that begins at since, the time since epoch.
func (s *state) begin(long bool, since time.Duration) {
	if long {
		s.longInFlight++
		return
	}
	s.inFlight++
	s.waiting.add(since)
}

// finish takes back what begin noted.
func (s *state) finish(long bool, since time.Duration) {
	if long {
		s.longInFlight--
		return
	}
	s.inFlight--
	s.waiting.remove(since)
}

// loadOfLong returns what a Score judges a target with slots by for long work:
// its lane alone, as nothing is learnt of how long long work takes.
func (s *state) loadOfLong(slots mwunit.Slots, typical time.Duration) Load {
	return Load{InFlight: s.longInFlight, Slots: slots, Latency: typical}
}

// load returns what a Score judges a target with slots by.
func (s *state) load(slots mwunit.Slots, typical, since time.Duration, now time.Time) Load {
	return Load{
		InFlight: s.inFlight, Slots: slots,
		Latency: max(s.cost(typical, now), s.waiting.age(since)),
	}
}

// end learns from one finished attempt. The time of long work, which may have
// waited for its lane, says nothing of the target.
func (s *state) end(h mwcall.Head, m mwcall.Sample, long bool, began, now time.Time) {
	if m.Cancelled && h.Code != mwcode.OK {
		if !long {
			s.endCancelled(m, began, now)
		}
		return
	}
	s.learnThreshold(h, now)
	switch code := h.Code; {
	case code == mwcode.OK:
		s.failures, s.downUntil = 0, time.Time{}
		if !long {
			s.learnLatency(m.First, began, now)
		}
	case code == mwcode.ConnectFailed, code == mwcode.ConnectionLost, code == mwcode.Silent:
		s.failures++
		s.downUntil = now.Add(backoff(s.failures, downFirst, downMax))
	case code == mwcode.Draining, code == mwcode.NoBackend:
		s.downUntil = now.Add(goneFor)
	case code == mwcode.LaneFull:
		s.laneUntil = now.Add(busyTime(h.RetryAfter))
	case aboutLoad(code) && h.Threshold == 0:
		s.busyUntil = now.Add(busyTime(h.RetryAfter))
	}
}

// endCancelled learns from an attempt that was cut off: it took at least as
// long as was seen.
func (s *state) endCancelled(m mwcall.Sample, began, now time.Time) {
	if s.samples > 0 && m.First > s.cost(0, now) {
		s.learnLatency(m.First, began, now)
	}
}

// aboutLoad tells whether a refusal with code c says that the target has no
// room.
func aboutLoad(c mwcode.Code) bool {
	return c == mwcode.Overloaded || c == mwcode.DeadlinePassed || c == mwcode.DeadlineTooShort
}

func (s *state) learnThreshold(h mwcall.Head, now time.Time) {
	if h.Code != mwcode.OK && !aboutLoad(h.Code) {
		return
	}
	s.threshold, s.learnt = h.Threshold, now
}

func (s *state) learnLatency(d time.Duration, began, now time.Time) {
	s.latency = max(s.average(d, now), d)
	if s.samples == 0 {
		s.mean, s.level = d, d
	}
	if !began.Before(s.slowUntil) {
		s.spread += time.Duration(slowWeight * float64((d-s.level).Abs()-s.spread))
		s.level += time.Duration(slowWeight * float64(d-s.level))
		s.mean += time.Duration(meanWeight * float64(d-s.mean))
	}
	s.samples++
	s.seen = now
}

// forgive is how many of its slow answer times a target must be in use
// without being found slow again, on top of the time it was left out, until
// its record is clean.
const forgive = 4

// judge finds out whether the target is slow, from a call m that began at
// began. A slow one is left out for a while, and then has to show by a few
// calls, one at a time, that it is well; calls of before count for nothing.
func (s *state) judge(m mwcall.Sample, n norm, began, now time.Time) {
	if s.samples < minSamples || !n.known() || began.Before(s.slowUntil) {
		return
	}
	if m.Code != mwcode.OK && m.First <= n.tardy {
		return // A caller that left early says nothing.
	}
	if s.foundSlow(m, n) {
		s.strikes++
		s.slowUntil = now.Add(backoff(s.strikes, slowFirst, slowMax))
		s.excess, s.mean = max(m.First, s.mean), n.typical
		s.trials, s.cuts = trials, 0
		return
	}
	s.trials = max(s.trials-1, 0)
	if now.Sub(s.slowUntil) > backoff(s.strikes, slowFirst, slowMax)+forgive*s.excess {
		s.strikes = 0
	}
}

// foundSlow tells whether m shows the target to be slow. A call that was cut
// off, as the loser of a hedge is, would have taken longer: a few in a row
// are as good as a slow answer.
func (s *state) foundSlow(m mwcall.Sample, n norm) bool {
	cut := m.Code != mwcode.OK
	if cut {
		s.cuts++
	} else {
		s.cuts = 0
	}
	if s.trials > 0 {
		return cut || m.First > n.slow
	}
	return s.mean > n.slow || s.cuts >= maxCuts
}

// maxCuts is how many calls in a row that were cut off late show that a
// target is slow.
const maxCuts = 2

// trials is how many good answers a target owes that was slow.
const trials = 3

// onTrial tells whether the target is to show by the call that it has that it
// is well again.
func (s *state) onTrial() bool {
	return (s.trials > 0 || s.failures > 0) && s.inFlight+s.longInFlight > 0
}

// average returns the moving average with d, weighted by the time since the
// last answer.
func (s *state) average(d time.Duration, now time.Time) time.Duration {
	if s.samples == 0 {
		return d
	}
	w := fade(now.Sub(s.seen))
	return time.Duration(w*float64(s.latency) + (1-w)*float64(d))
}

// backoff returns first, doubled for each of n but the first, up to most.
func backoff(n int, first, most time.Duration) time.Duration {
	d := first
	for range n - 1 {
		if d *= 2; d >= most {
			return most
		}
	}
	return d
}

func busyTime(retryAfter time.Duration) time.Duration {
	if retryAfter <= 0 {
		return busyFor
	}
	return min(retryAfter, busyMax)
}
