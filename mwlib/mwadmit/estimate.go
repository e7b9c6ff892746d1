package mwadmit

import (
	"time"

	"mustardwheel.example/mwlib/mwid"
)

// cachedRoutes is the number of routes whose hold times are cached.
const cachedRoutes = 2048

// routeKey identifies the calls that share an estimate.
type routeKey struct {
	service mwid.ServiceName
	route   mwid.Route
}

// holdEstimate estimates how long the calls of one kind hold a slot.
//
// The estimate decays while no call finishes. It is used to refuse calls, and
// without decay, an estimate that refuses all calls would never be corrected.
type holdEstimate struct {
	mean   time.Duration // mean is used to estimate how often slots become free.
	median time.Duration // median is the expected time of a single call.
	last   time.Time     // last is the time of the last sample.
}

// Parameters of holdEstimate.
const (
	// meanWeight is the weight of one sample in the mean.
	meanWeight = 0.05
	// medianStep is the change of the median by one sample, relative to the
	// median.
	medianStep = 0.05
	// estimateHalfLife is the half-life of the estimate while no call finishes.
	estimateHalfLife = time.Second
)

// observe returns e updated by a call that held its slot for took.
func (e holdEstimate) observe(now time.Time, took time.Duration) holdEstimate {
	e.decay(now)
	if e.median == 0 {
		e.mean, e.median = took, took
		return e
	}
	e.mean += time.Duration(meanWeight * float64(took-e.mean))
	step := max(time.Duration(medianStep*float64(e.median)), time.Microsecond)
	switch {
	case took > e.median:
		e.median += step
	case took < e.median:
		e.median -= step
	}
	return e
}

// decay halves the estimate for each estimateHalfLife since the last sample.
func (e *holdEstimate) decay(now time.Time) {
	for !e.last.IsZero() && now.Sub(e.last) >= estimateHalfLife {
		e.mean /= 2
		e.median /= 2
		e.last = e.last.Add(estimateHalfLife)
		if e.median == 0 {
			break
		}
	}
	e.last = now
}

// serviceTime returns the expected service time of one call, decayed up to now.
func (e holdEstimate) serviceTime(now time.Time) time.Duration {
	idle := now.Sub(e.last)
	if e.last.IsZero() || idle < estimateHalfLife {
		return e.median
	}
	return e.median >> min(int64(idle/estimateHalfLife), 62)
}
