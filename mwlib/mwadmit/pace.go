package mwadmit

import (
	"time"

	"mustardwheel.example/mwlib/mwid"
)

// paceRoutes is the number of routes whose hold times are cached.
const paceRoutes = 2048

// paceKey identifies the calls that share an estimate.
type paceKey struct {
	service mwid.ServiceName
	route   mwid.Route
}

// pace estimates how long the calls of one kind hold a slot.
//
// The estimate decays while no call finishes. It is used to refuse calls, and
// without decay, an estimate that refuses all calls would never be corrected.
type pace struct {
	mean   time.Duration // mean gives the rate at which slots become free.
	median time.Duration // median is the expected time of a single call.
	last   time.Time     // last is the time of the last sample.
}

// Parameters of pace.
const (
	// paceSmooth is the weight of one sample in the mean.
	paceSmooth = 0.05
	// paceStep is the change of the median by one sample, relative to the median.
	paceStep = 0.05
	// paceHalf is the half-life of the estimate while no call finishes.
	paceHalf = time.Second
)

// note returns p updated by a call that held its slot for took.
func (p pace) note(now time.Time, took time.Duration) pace {
	p.fade(now)
	if p.median == 0 {
		p.mean, p.median = took, took
		return p
	}
	p.mean += time.Duration(paceSmooth * float64(took-p.mean))
	step := max(time.Duration(paceStep*float64(p.median)), time.Microsecond)
	switch {
	case took > p.median:
		p.median += step
	case took < p.median:
		p.median -= step
	}
	return p
}

// fade halves the estimate for each paceHalf since the last sample.
func (p *pace) fade(now time.Time) {
	for !p.last.IsZero() && now.Sub(p.last) >= paceHalf {
		p.mean /= 2
		p.median /= 2
		p.last = p.last.Add(paceHalf)
		if p.median == 0 {
			break
		}
	}
	p.last = now
}

// service returns the expected service time of one call, decayed up to now.
func (p pace) service(now time.Time) time.Duration {
	idle := now.Sub(p.last)
	if p.last.IsZero() || idle < paceHalf {
		return p.median
	}
	return p.median >> min(int64(idle/paceHalf), 62)
}
