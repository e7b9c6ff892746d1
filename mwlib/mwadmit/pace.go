package mwadmit

import (
	"time"

	"mustardwheel.example/mwlib/mwid"
)

// paceRoutes is the number of routes whose pace is remembered.
const paceRoutes = 2048

// paceKey is what the calls of one pace have in common.
type paceKey struct {
	service mwid.ServiceName
	route   mwid.Route
}

// pace estimates how long the calls of one kind hold their slot.
//
// The estimate fades while no call ends: it is used to refuse calls, and
// where all were refused, nothing would ever correct it.
type pace struct {
	mean   time.Duration // mean is for the rate at which slots become free.
	median time.Duration // median is for what one call will probably take.
	last   time.Time
}

// Parameters of pace.
const (
	// paceSmooth is the weight of one call in the mean.
	paceSmooth = 0.05
	// paceStep is the part of the median by which one call moves it.
	paceStep = 0.05
	// paceHalf is the time without a call in which the estimate halves.
	paceHalf = time.Second
)

// note returns p after one more call that held its slot for took.
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

// fade lowers the estimate for the time without a call.
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

// service returns what one call will probably take.
func (p pace) service(now time.Time) time.Duration {
	idle := now.Sub(p.last)
	if p.last.IsZero() || idle < paceHalf {
		return p.median
	}
	return p.median >> min(int64(idle/paceHalf), 62)
}
