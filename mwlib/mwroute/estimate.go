package mwroute

import (
	"math"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
)

// targetEstimate is what this node knows of one target, from which
// ShortestDelay estimates the time of a call.
type targetEstimate struct {
	inFlight int // inFlight counts this node's calls.
	waiting  waiting
	report   mwcall.Report
	// reported is when report arrived, and inFlightAtReport is inFlight at that
	// time.
	reported         time.Time
	inFlightAtReport int
	threshold        mwcall.Priority
	roundTrip        time.Duration // roundTrip is the moving average of the round-trip time; 0 if it is not known.
	failed           float64       // failed is the moving average of the fraction of failed answers.
	declined         float64       // declined is the moving average of the fraction of calls that the target's node declined.
	failures         int           // failures counts consecutive attempts that could not connect, lost the connection or got no answer.
	downUntil        time.Time
	lastUsed         time.Time
}

// Parameters of targetEstimate.
const (
	// defaultNearRoundTrip and defaultFarRoundTrip are the round-trip times
	// within a region, and to another region at 20 ms one way, until they are
	// measured.
	defaultNearRoundTrip = time.Millisecond
	defaultFarRoundTrip  = 41 * time.Millisecond
	// fullSlowdown is the fraction of the mean hold time by which a call takes
	// longer at a target whose slots are all in use.
	fullSlowdown = 0.3
	// reportDecay is the time constant with which the weight of a report
	// decays.
	reportDecay = 400 * time.Millisecond
	// failWeight is the weight of one answer in failed.
	failWeight = 0.1
	// declineWeight is the weight of one answer in declined, and declineDecay the
	// time constant with which declined decays.
	declineWeight = 0.1
	declineDecay  = time.Second
	// roundTripWeight is the weight of one answer in roundTrip.
	roundTripWeight = 0.2
)

// roundTripTo returns the round-trip time to the target, which is at d.
func (e *targetEstimate) roundTripTo(d distance) time.Duration {
	switch {
	case d == self:
		return 0
	case e.roundTrip > 0:
		return e.roundTrip
	case d == otherRegion:
		return defaultFarRoundTrip
	}
	return defaultNearRoundTrip
}

// meanHold returns the mean time for which calls hold a slot of the target.
func (e *targetEstimate) meanHold(l *comparison) time.Duration {
	if e.report.Hold > 0 {
		return e.report.Hold
	}
	return l.typical
}

// expectedHold returns the expected time for which the call holds its slot.
func (e *targetEstimate) expectedHold(l *comparison) time.Duration {
	h := e.meanHold(l)
	if l.kind.hold > 0 {
		h = time.Duration(l.kind.hold * float64(h))
	}
	return h
}

// expectedWait returns the expected time until the call gets a slot, plus the
// time by which the call holds its slot longer if the target is nearly full.
func (e *targetEstimate) expectedWait(l *comparison, t *mwcall.Target) time.Duration {
	limit := float64(max(t.Slots, 1))
	if e.report.Known() {
		limit = float64(e.report.Limit)
	}
	weight := math.Exp(-float64(l.now.Sub(e.reported)) / float64(reportDecay))
	others := weight * float64(int(e.report.InFlight+e.report.Queued)-e.inFlightAtReport)
	n := max(others, 0) + float64(e.inFlight)
	full := min(n/limit, 1)
	turns := max(n+1-limit, 0)/limit + fullSlowdown*full*full*full
	return time.Duration(turns * float64(e.meanHold(l)))
}

// declineCost returns the expected cost, as a time, of being declined by the
// target. A full target sheds calls after a wait in its queue that is shorter
// than the time by which a slow target takes longer, so that without this cost a
// fast target would be preferred while it declines most of its calls.
func (e *targetEstimate) declineCost(now time.Time) time.Duration {
	decay := math.Exp(-float64(now.Sub(e.reported)) / float64(declineDecay))
	return time.Duration(decay * e.declined * float64(declinePenalty))
}

// availability returns how well the target can serve c at now.
func (e *targetEstimate) availability(c *mwcall.Call, now time.Time) availability {
	switch {
	case now.Before(e.downUntil):
		return down
	case c.Class.Priority < e.threshold && now.Sub(e.reported) < reportedThresholdTTL:
		return belowThreshold
	}
	return available
}

// reportedThresholdTTL is how long a threshold is valid after the report that
// gave it: a few times the time in which a full queue turns over.
const reportedThresholdTTL = 150 * time.Millisecond

// recordResult updates e after an attempt.
func (e *targetEstimate) recordResult(h mwcall.Head, m mwcall.Sample, now time.Time) {
	if r := h.Report; r.Known() {
		if r.Hold == 0 {
			r.Hold = e.report.Hold
		}
		e.report, e.reported, e.inFlightAtReport, e.threshold = r, now, e.inFlight, h.Threshold
		if d := m.Took - r.Spent; d > 0 {
			e.updateRoundTrip(d)
		}
	}
	switch code := h.Code; {
	case isDecline(code):
		e.updateDeclined(1)
	case code == mwcode.OK && !m.Cancelled:
		e.updateDeclined(0)
		e.failures, e.downUntil = 0, time.Time{}
		e.updateFailed(h.Failed)
	case m.Cancelled:
	case code == mwcode.ConnectFailed, code == mwcode.ConnectionLost, code == mwcode.Silent:
		e.failures++
		e.downUntil = now.Add(backoff(e.failures, minDownTime, maxDownTime))
	case code == mwcode.Draining, code == mwcode.NoBackend:
		e.downUntil = now.Add(noWorkTime)
	}
}

func (e *targetEstimate) updateRoundTrip(d time.Duration) {
	if e.roundTrip == 0 {
		e.roundTrip = d
	}
	e.roundTrip += time.Duration(roundTripWeight * float64(d-e.roundTrip))
}

// isDecline reports whether code means that the target's node had no room for the
// call.
func isDecline(code mwcode.Code) bool {
	return code == mwcode.Overloaded || code == mwcode.LaneFull || code == mwcode.DeadlineTooShort
}

func (e *targetEstimate) updateDeclined(v float64) {
	e.declined += declineWeight * (v - e.declined)
}

func (e *targetEstimate) updateFailed(failed bool) {
	v := 0.0
	if failed {
		v = 1
	}
	e.failed += failWeight * (v - e.failed)
}
