// Package mwlimit holds pure concurrency limiters: they learn from finished
// calls how many may be at a backend server at the same time.
package mwlimit

import (
	"math"
	"slices"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwunit"
)

// Limiter is a concurrency limit that policy P adapts. It starts from the
// announced slots, and never leaves the range from a part of them to the
// announced connections. What it learns from is measured at this node; a load
// report by the backend server is no input, since it comes late and may be
// wrong.
//
// Samples are gathered into windows, and P sees whole windows only: one slow
// call says little. A window in which the calls stayed far below the limit
// tells nothing of the limit and does not change it.
//
// Latency rises where calls queue in the backend server, and also where a
// deeper service or a neighbour on the machine is slow. Only in the first
// case does a lower limit help; descent tells the cases apart.
//
// A Limiter is not safe for concurrent use; its owner has a lock.
type Limiter[P Policy] struct {
	policy P
	slots  float64
	lowest float64
	most   float64
	limit  float64
	floor  floor
	fall   descent
	win    Window
	times  []time.Duration // times are of the first windowTimes samples of win.
	opened time.Time
}

// Policy says how a limit follows what a Window shows.
type Policy interface {
	// Announced returns the limit for a backend server that announces slots,
	// where it had limit before; 0 stands for none.
	Announced(limit, slots float64) float64
	// Next returns the limit that follows limit after w.
	Next(limit float64, w Window) float64
}

// Window is what was seen of the calls that ended within a period.
type Window struct {
	// Samples counts the calls.
	Samples int
	// Median is of the time from the hand-over to the head of the answer; a
	// few stragglers do not move it. Latency is the same smoothed over
	// windows.
	Median  time.Duration
	Latency time.Duration
	// Floor is the latency without queueing.
	Floor time.Duration
	// Shed counts calls that the backend server itself refused.
	Shed int
	// Peak is the greatest number of calls in flight.
	Peak mwunit.Slots
	// Full tells that Peak came near enough to the limit to judge it.
	Full bool
	// Light tells that Peak was so low that no call can have queued in the
	// backend server.
	Light bool
}

// Bounds of a window.
const (
	// windowTime is the least length of a window.
	windowTime = 100 * time.Millisecond
	// windowSamples is the least number of samples of a window.
	windowSamples = 30
	// windowTimes is the greatest number of samples that the median is of.
	windowTimes = 128
	// windowLongest ends a window that has few samples.
	windowLongest = time.Second
)

// Bounds of the limit.
const (
	// lowestRatio is the least limit as a part of the announced slots.
	lowestRatio = 0.25
	// lightRatio is the part of the announced slots up to which a window is
	// light. It is above lowestRatio, so that the least limit always gives
	// light windows and the latency without queueing is found anew.
	lightRatio = 0.3
	// fullRatio is the part of the limit that must have been in flight for a
	// window to judge the limit.
	fullRatio = 0.75
)

// New returns a Limiter with policy p for a backend server with slots and
// connections.
func New[P Policy](p P, slots mwunit.Slots, connections mwunit.Connections) *Limiter[P] {
	l := &Limiter[P]{policy: p}
	l.Bound(slots, connections)
	return l
}

// Bound takes an announcement, which sets the bounds.
func (l *Limiter[P]) Bound(slots mwunit.Slots, connections mwunit.Connections) {
	l.slots = float64(max(slots, 1))
	l.lowest = max(1, lowestRatio*l.slots)
	l.most = max(l.lowest, float64(connections))
	l.limit = min(max(l.policy.Announced(l.limit, l.slots), l.lowest), l.most)
}

// learnt returns limit, and slots where there is none: the limit of a policy
// that learns stays where it is.
func learnt(limit, slots float64) float64 {
	if limit == 0 {
		return slots
	}
	return limit
}

// Limit returns the limit; it is at least 1.
func (l *Limiter[P]) Limit() mwunit.Slots { return mwunit.Slots(math.Round(l.limit)) }

// Observe takes the sample of one finished call.
func (l *Limiter[P]) Observe(now time.Time, s mwcall.Sample) {
	shed := s.Code == mwcode.BackendUnavailable
	if s.First <= 0 || (s.Cancelled && !shed) {
		return
	}
	if l.opened.IsZero() {
		l.opened = now
	}
	l.add(s, shed)
	if l.due(now) {
		l.close(now)
	}
}

// add adds one sample. The time of a refusal says nothing of the time of
// work.
func (l *Limiter[P]) add(s mwcall.Sample, shed bool) {
	l.win.Peak = max(l.win.Peak, s.InFlight)
	if shed {
		l.win.Shed++
		return
	}
	l.win.Samples++
	if len(l.times) < windowTimes {
		l.times = append(l.times, s.First)
	}
}

func (l *Limiter[P]) due(now time.Time) bool {
	open := now.Sub(l.opened)
	if open >= windowLongest {
		return true
	}
	return open >= windowTime && l.win.Samples+l.win.Shed >= windowSamples
}

// close ends the window and lets the policy judge it.
func (l *Limiter[P]) close(now time.Time) {
	w := l.win
	w.Full = float64(w.Peak) >= fullRatio*l.limit
	w.Light = float64(w.Peak) <= max(1, lightRatio*l.slots)
	if w.Samples > 0 {
		slices.Sort(l.times)
		w.Median = l.times[len(l.times)/2]
		w.Latency, w.Floor = l.floor.note(w.Median, w.Light)
	}
	l.win, l.times, l.opened = Window{}, l.times[:0], now
	if w.Full || w.Shed > 0 {
		l.follow(w)
	}
}

// follow sets the limit that the policy wants after w. Where a lower limit
// did not ease the latency, it goes back to where the fall began, and the
// latency counts as the one without queueing from then on.
func (l *Limiter[P]) follow(w Window) {
	next := min(max(l.policy.Next(l.limit, w), l.lowest), l.most)
	if w.Shed == 0 && l.fall.futile(l.limit, next, w.Median) {
		next = min(l.fall.from, l.most)
		l.fall = descent{}
		l.floor.accept()
	}
	l.limit = next
}
