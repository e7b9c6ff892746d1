package mwclass

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlane"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwshard"
)

// History classifies calls by the configuration, and corrects the length class
// according to how long earlier calls with the same service, route and caller
// took. A call that is expected to be long is treated as long from its start.
// Detecting it while it runs would be too late, since it already holds a slot by
// then.
//
// The counts take a few bytes for each kind of call. They are in a table of
// fixed size, in which the least recently used kinds are evicted.
type History struct {
	labels      Labels
	table       *mwshard.Cache[key, lengthCounts]
	mediumAfter time.Duration
	longAfter   time.Duration
	corrected   *metrics.Counter
}

// key identifies a kind of call.
type key struct {
	service mwid.ServiceName
	route   mwid.Route
	caller  mwid.CallerName
}

// lengthCounts counts the calls of one kind by length class; older ones count
// less.
type lengthCounts [mwlane.Count]uint16

// Parameters of History.
const (
	// minCalls is the number of calls of a kind that must have been observed
	// before their measured length class replaces that of their labels.
	minCalls = 3
	// maxCalls is the sum at which all counts are halved.
	maxCalls = 64
	// tableSize is the number of kinds of call that the table holds.
	tableSize = 8192
)

// Default minimum durations of medium and long work.
const (
	DefaultMediumAfter = 200 * time.Millisecond
	DefaultLongAfter   = time.Second
)

// Option configures a History.
type Option = mwoption.Option[History]

// WithBounds sets the minimum durations of medium and long work; 0 keeps the
// default.
func WithBounds(medium, long time.Duration) Option {
	return func(h *History) {
		if medium > 0 {
			h.mediumAfter = medium
		}
		if long > 0 {
			h.longAfter = long
		}
	}
}

// WithCounter sets the counter of calls whose length class differs from that of
// their labels.
func WithCounter(n *metrics.Counter) Option {
	return func(h *History) { h.corrected = n }
}

// NewHistory returns an empty History.
func NewHistory(opts ...Option) *History {
	h := &History{
		table:       mwshard.NewCache[key, lengthCounts](tableSize),
		mediumAfter: DefaultMediumAfter,
		longAfter:   DefaultLongAfter,
		corrected:   &metrics.Counter{},
	}
	mwoption.Apply(h, opts...)
	return h
}

// Classify fills c.Class and corrects its length class.
func (h *History) Classify(c *mwcall.Call, s *mwconfig.Snapshot, v mwconfig.Server) {
	h.labels.Classify(c, s, v)
	t, ok := h.table.Get(keyOf(c))
	if !ok {
		return
	}
	l, ok := t.length()
	if ok && l != c.Class.Length {
		h.corrected.Inc()
		c.Class.Length = l
	}
}

// Observe records the length of a call. A cancelled call would have taken at
// least the measured time, so it counts only if that time already makes it
// long.
func (h *History) Observe(c *mwcall.Call, s mwcall.Sample) {
	if s.Failed || s.Took <= 0 {
		return
	}
	l := h.laneOf(s.Took)
	if s.Cancelled && l != mwlane.Long {
		return
	}
	h.table.Update(keyOf(c), func(t lengthCounts) lengthCounts { return t.add(l) })
}

func keyOf(c *mwcall.Call) key { return key{c.Service, c.Class.Route, c.Caller} }

func (h *History) laneOf(took time.Duration) mwlane.Lane {
	switch {
	case took >= h.longAfter:
		return mwlane.Long
	case took >= h.mediumAfter:
		return mwlane.Medium
	}
	return mwlane.Short
}

func (t lengthCounts) sum() int {
	n := 0
	for _, v := range t {
		n += int(v)
	}
	return n
}

// add counts one call.
func (t lengthCounts) add(l mwlane.Lane) lengthCounts {
	t[l]++
	if t.sum() >= maxCalls {
		for i := range t {
			t[i] /= 2
		}
	}
	return t
}

// length returns the length class of the median call; ok is false if there are
// too few calls.
func (t lengthCounts) length() (l mwconfig.Length, ok bool) {
	n := t.sum()
	if n < minCalls {
		return mwconfig.LengthUnset, false
	}
	switch {
	case 2*int(t[mwlane.Long]) > n:
		return mwconfig.Long, true
	case 2*int(t[mwlane.Long]+t[mwlane.Medium]) > n:
		return mwconfig.Medium, true
	}
	return mwconfig.Short, true
}
