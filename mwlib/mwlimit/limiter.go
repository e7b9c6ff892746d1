// Package mwlimit implements concurrency limiters. A Limiter learns from
// finished calls how many calls may be in flight at a backend server, and its
// Policy (Gradient, AIMD or Slots) determines how the limit changes. A Limiter
// has no clock and no locks of its own.
package mwlimit

import (
	"math"
	"slices"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwunit"
)

// Limiter is a concurrency limit that policy P adapts. P sets the initial limit
// when the backend server announces its slots. The limit stays between
// minLimitRatio of the announced slots and the number of announced connections.
// It is learned only from measurements at this node; load reports of the backend
// server are not used, since they arrive late and may be wrong.
//
// Samples are grouped into windows, and P sees whole windows only, since one
// slow call says little. A window in which the number of calls in flight stayed
// far below the limit says nothing about the limit and does not change it.
//
// Latency rises if calls queue in the backend server, but also if a deeper
// service is slow, or other work on the same machine slows the backend server
// down. A lower limit helps only in the first case; descent distinguishes them.
//
// A Limiter is not safe for concurrent use; the owner must hold a lock.
type Limiter[P Policy] struct {
	policy      P
	slots       float64
	minLimit    float64
	maxLimit    float64
	limit       float64
	floor       latencyFloor
	descent     descent
	window      Window
	latencies   []time.Duration // latencies of the first maxMedianSamples samples of window.
	windowStart time.Time
}

// Policy determines how the limit follows the measurements of a Window.
type Policy interface {
	// AfterAnnouncement returns the limit after the backend server has
	// announced slots; limit is the one before, and 0 means none.
	AfterAnnouncement(limit, slots float64) float64
	// Next returns the limit that follows limit after window w.
	Next(limit float64, w Window) float64
}

// Window summarizes the calls that ended within a period.
type Window struct {
	// Samples is the number of calls that the backend server did not refuse.
	Samples int
	// Median is the median time from passing a call to the backend server to
	// the head of its response. A few outliers do not affect it.
	Median time.Duration
	// Latency is Median smoothed over windows.
	Latency time.Duration
	// Floor is the latency without queueing.
	Floor time.Duration
	// Shed is the number of calls that the backend server itself refused.
	Shed int
	// Peak is the maximum number of calls in flight.
	Peak mwunit.Slots
	// Full reports whether Peak was so close to the limit that the window can
	// show whether the limit is right.
	Full bool
	// Light reports whether Peak was so low that no call can have queued in the
	// backend server.
	Light bool
}

// Bounds of a window.
const (
	// minWindowTime is the minimum duration of a window.
	minWindowTime = 100 * time.Millisecond
	// minWindowSamples is the minimum number of samples in a window.
	minWindowSamples = 30
	// maxMedianSamples is the maximum number of samples for the median.
	maxMedianSamples = 128
	// maxWindowTime is the duration after which a window ends even with fewer
	// samples.
	maxWindowTime = time.Second
)

// Bounds of the limit.
const (
	// minLimitRatio is the minimum limit, as a ratio of the announced slots.
	minLimitRatio = 0.25
	// lightRatio is the maximum Peak of a light window, as a ratio of the
	// announced slots. It is above minLimitRatio, so that the minimum limit
	// always gives light windows and the latency without queueing is measured
	// again.
	lightRatio = 0.3
	// fullRatio is the minimum Peak of a full window, as a ratio of the limit.
	fullRatio = 0.75
)

// New returns a Limiter with policy p for a backend server that announces slots
// and connections.
func New[P Policy](p P, slots mwunit.Slots, connections mwunit.Connections) *Limiter[P] {
	l := &Limiter[P]{policy: p}
	l.SetBounds(slots, connections)
	return l
}

// SetBounds applies an announcement, which sets the bounds of the limit.
func (l *Limiter[P]) SetBounds(slots mwunit.Slots, connections mwunit.Connections) {
	l.slots = float64(max(slots, 1))
	l.minLimit = max(1, minLimitRatio*l.slots)
	l.maxLimit = max(l.minLimit, float64(connections))
	l.limit = min(max(l.policy.AfterAnnouncement(l.limit, l.slots), l.minLimit), l.maxLimit)
}

// keepLimit returns limit, or slots if there is no limit yet. A policy that
// learns its limit keeps it when a new announcement arrives.
func keepLimit(limit, slots float64) float64 {
	if limit == 0 {
		return slots
	}
	return limit
}

// Limit returns the limit; it is at least 1.
func (l *Limiter[P]) Limit() mwunit.Slots { return mwunit.Slots(math.Round(l.limit)) }

// Observe records the sample of a finished call.
func (l *Limiter[P]) Observe(now time.Time, s mwcall.Sample) {
	shed := s.Code == mwcode.BackendUnavailable
	if s.First <= 0 || (s.Cancelled && !shed) {
		return
	}
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.add(s, shed)
	if l.windowDue(now) {
		l.closeWindow(now)
	}
}

// add adds a sample to the window. The duration of a refused call is ignored,
// since it says nothing about service times.
func (l *Limiter[P]) add(s mwcall.Sample, shed bool) {
	l.window.Peak = max(l.window.Peak, s.InFlight)
	if shed {
		l.window.Shed++
		return
	}
	l.window.Samples++
	if len(l.latencies) < maxMedianSamples {
		l.latencies = append(l.latencies, s.First)
	}
}

func (l *Limiter[P]) windowDue(now time.Time) bool {
	open := now.Sub(l.windowStart)
	if open >= maxWindowTime {
		return true
	}
	return open >= minWindowTime && l.window.Samples+l.window.Shed >= minWindowSamples
}

// closeWindow ends the window. It updates the limit if the window is full or
// the backend server has refused calls.
func (l *Limiter[P]) closeWindow(now time.Time) {
	w := l.window
	w.Full = float64(w.Peak) >= fullRatio*l.limit
	w.Light = float64(w.Peak) <= max(1, lightRatio*l.slots)
	if w.Samples > 0 {
		slices.Sort(l.latencies)
		w.Median = l.latencies[len(l.latencies)/2]
		w.Latency, w.Floor = l.floor.observe(w.Median, w.Light)
	}
	l.window, l.latencies, l.windowStart = Window{}, l.latencies[:0], now
	if w.Full || w.Shed > 0 {
		l.updateLimit(w)
	}
}

// updateLimit sets the limit that the policy returns after w. If a lower limit
// has not lowered the latency, the limit goes back to where the descent
// started, and the current latency counts as the latency without queueing from
// then on.
func (l *Limiter[P]) updateLimit(w Window) {
	next := min(max(l.policy.Next(l.limit, w), l.minLimit), l.maxLimit)
	if w.Shed == 0 && l.descent.futile(l.limit, next, w.Median) {
		next = min(l.descent.from, l.maxLimit)
		l.descent = descent{}
		l.floor.reset()
	}
	l.limit = next
}
