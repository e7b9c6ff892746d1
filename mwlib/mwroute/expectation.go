package mwroute

import (
	"math"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
)

// expectation is what this node knows of one target, from which Expect
// estimates the time of a call.
type expectation struct {
	inFlight int // inFlight counts this node's calls.
	waiting  waiting
	report   mwcall.Report
	// reported is when report arrived, and ownThen is inFlight at that time.
	reported  time.Time
	ownThen   int
	threshold mwcall.Priority
	ways      time.Duration // ways is the moving average of the round-trip time; 0 if it is not known.
	failed    float64       // failed is the moving average of the fraction of failed answers.
	failures  int           // failures counts consecutive lost connections, failed connects and silent targets.
	downUntil time.Time
	used      time.Time
}

// Parameters of expectation.
const (
	// wayNear and wayFar are the round-trip times within a region, and to
	// another region at 20 ms one way, until they are measured.
	wayNear = time.Millisecond
	wayFar  = 41 * time.Millisecond
	// crowding is the fraction of the mean hold time by which a call takes
	// longer at a target whose slots are all in use.
	crowding = 0.3
	// reportFade is the time constant with which the weight of a report
	// decays.
	reportFade = 400 * time.Millisecond
	// failWeight is the weight of one answer in failed.
	failWeight = 0.1
	// wayWeight is the weight of one answer in ways.
	wayWeight = 0.2
)

// way returns the round-trip time.
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

// mean returns the mean time for which calls hold a slot of the target.
func (e *expectation) mean(l *look) time.Duration {
	if e.report.Hold > 0 {
		return e.report.Hold
	}
	return l.typical
}

// hold returns the expected time for which the call holds its slot.
func (e *expectation) hold(l *look) time.Duration {
	h := e.mean(l)
	if l.kind.hold > 0 {
		h = time.Duration(l.kind.hold * float64(h))
	}
	return h
}

// wait returns the expected time until the call gets a slot, plus the time by
// which the call holds its slot longer if the target is nearly full.
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

// fitness returns how well the target can serve c at now.
func (e *expectation) fitness(c *mwcall.Call, now time.Time) fitness {
	switch {
	case now.Before(e.downUntil):
		return down
	case c.Class.Priority < e.threshold && now.Sub(e.reported) < thresholdFor:
		return below
	}
	return fit
}

// thresholdFor is how long a threshold is valid after the report that gave it:
// a few times the time in which a full queue turns over.
const thresholdFor = 150 * time.Millisecond

// end updates e after an attempt.
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
