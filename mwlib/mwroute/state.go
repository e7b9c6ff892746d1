package mwroute

import (
	"math"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
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
	inFlight mwunit.Slots
	// short and began are the calls in flight that are not long work, and the
	// sum of the times since epoch at which they began.
	short mwunit.Slots
	began time.Duration
	// latency is the peak-sensitive moving average of the time to the
	// answer's head: it jumps up to a slower answer and decays to faster
	// ones.
	latency time.Duration
	// mean is the plain moving average, by which slow targets are found: one
	// straggler among many answers must not eject a target.
	mean      time.Duration
	samples   int
	seen      time.Time // seen is when latency was learnt last.
	used      time.Time
	threshold mwcall.Priority
	learnt    time.Time // learnt is when threshold was learnt.
	busyUntil time.Time
	downUntil time.Time
	failures  int // failures counts lost connections and silences in a row.
	slowUntil time.Time
	excess    time.Duration // excess is the mean latency for which it was last found slow.
	strikes   int           // strikes counts how often the target was found slow.
}

const (
	// decay is the time constant of the moving averages.
	decay = 200 * time.Millisecond
	// meanWeight is the weight of one answer in the plain average.
	meanWeight = 0.3
	// thresholdTTL is how long a learnt threshold holds.
	thresholdTTL = time.Second
	// busyFor is how long a target that refused a call without a threshold
	// counts as busy, where it does not say how long to wait.
	busyFor = 200 * time.Millisecond
	// busyMax bounds the wait that a target can ask for.
	busyMax = 2 * time.Second
	// downFirst and downMax bound how long a target that can't be reached
	// is left out; the time doubles with each failure.
	downFirst = 250 * time.Millisecond
	downMax   = 8 * time.Second
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
	// busy targets refused lately.
	busy
	// below targets are sure to refuse a call of this priority.
	below
	// down targets could not be reached lately.
	down
)

// fitness returns what a call of priority p can hope for at now.
func (s *state) fitness(p mwcall.Priority, now time.Time) fitness {
	switch {
	case now.Before(s.downUntil):
		return down
	case p < s.threshold && now.Sub(s.learnt) < thresholdTTL:
		return below
	case now.Before(s.busyUntil):
		return busy
	}
	return fit
}

// cost returns the latency to expect at now. While nothing is seen it goes
// back to the median of the service, so that a target that was slow is tried
// again.
func (s *state) cost(median time.Duration, now time.Time) time.Duration {
	if s.samples == 0 {
		return median
	}
	return median + time.Duration(fade(now.Sub(s.seen))*float64(s.latency-median))
}

// fade returns the weight of what was seen age ago.
func fade(age time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(decay))
}

// age returns how long the calls in flight have waited for their answers, on
// average. It is the first sign that a target is slow now: answer times tell
// of it only when the slow answers are there.
func (s *state) age(since time.Duration) time.Duration {
	if s.short == 0 {
		return 0
	}
	return since - s.began/time.Duration(s.short)
}

// begin notes a call that begins at since, the time since epoch.
func (s *state) begin(long bool, since time.Duration) {
	s.inFlight++
	if !long {
		s.short++
		s.began += since
	}
}

// finish takes back what begin noted.
func (s *state) finish(long bool, since time.Duration) {
	s.inFlight--
	if !long {
		s.short--
		s.began -= since
	}
}

// load returns what a Score judges t by.
func (s *state) load(t mwcall.Target, median, since time.Duration, now time.Time) Load {
	return Load{
		InFlight: s.inFlight, Slots: t.Slots,
		Latency: max(s.cost(median, now), s.age(since)),
	}
}

// end learns from one finished attempt.
func (s *state) end(h mwcall.Head, m mwcall.Sample, now time.Time) {
	if m.Cancelled && h.Code != mwcode.OK {
		s.endCancelled(m, now)
		return
	}
	s.learnThreshold(h, now)
	switch code := h.Code; {
	case code == mwcode.OK:
		s.failures, s.downUntil = 0, time.Time{}
		s.learnLatency(m.First, now)
	case code == mwcode.ConnectFailed, code == mwcode.ConnectionLost, code == mwcode.Silent:
		s.failures++
		s.downUntil = now.Add(backoff(s.failures, downFirst, downMax))
	case code == mwcode.Draining, code == mwcode.NoBackend:
		s.downUntil = now.Add(downMax)
	case aboutLoad(code) && h.Threshold == 0:
		s.busyUntil = now.Add(busyTime(h.RetryAfter))
	}
}

// endCancelled learns from an attempt that was cut off: it took at least as
// long as was seen.
func (s *state) endCancelled(m mwcall.Sample, now time.Time) {
	if m.First > s.cost(0, now) {
		s.learnLatency(m.First, now)
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

func (s *state) learnLatency(d time.Duration, now time.Time) {
	s.latency = max(s.average(d, now), d)
	if s.samples == 0 {
		s.mean = d
	}
	if !now.Before(s.slowUntil) {
		s.mean += time.Duration(meanWeight * float64(d-s.mean))
	}
	s.samples++
	s.seen = now
}

// forgive is how many of its slow answer times a target must be in use
// without being found slow again, on top of the time it was left out, until
// its record is clean.
const forgive = 4

// slowFloor is the latency below which nothing is slow.
const slowFloor = 2 * time.Millisecond

// judge finds out whether the target is slow against the median of its
// service. A slow one is left out for a while and then judged by new answers
// alone; late answers of before count for nothing.
func (s *state) judge(median time.Duration, factor mwunit.Ratio, now time.Time) {
	if s.samples < minSamples || median == 0 || now.Before(s.slowUntil) {
		return
	}
	if s.mean > slowFloor && float64(s.mean) > float64(median)*float64(factor) {
		s.strikes++
		s.slowUntil = now.Add(backoff(s.strikes, slowFirst, slowMax))
		s.excess, s.mean = s.mean, median
		return
	}
	if now.Sub(s.slowUntil) > backoff(s.strikes, slowFirst, slowMax)+forgive*s.excess {
		s.strikes = 0
	}
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
