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

// History classifies by the configuration and corrects the length class by
// what calls of the same route and caller took before. A call that will
// probably be long is treated as long from its start; finding out while it
// runs would be too late, since it holds its slot by then.
//
// What is remembered is a few bytes for each route and caller, in a table of
// fixed size that forgets what was not seen for the longest time.
type History struct {
	labels      Labels
	table       *mwshard.Cache[key, tally]
	mediumAfter time.Duration
	longAfter   time.Duration
	corrected   *metrics.Counter
}

// key is what calls of one kind have in common.
type key struct {
	service mwid.ServiceName
	route   mwid.Route
	caller  mwid.CallerName
}

// tally counts the calls of one kind by length class; old ones fade.
type tally [mwlane.Count]uint16

// Parameters of History.
const (
	// tallyLeast is the number of calls that it takes to correct a label.
	tallyLeast = 3
	// tallyMost halves all counts when their sum reaches it.
	tallyMost = 64
	// tableSize is the number of kinds of calls that are remembered.
	tableSize = 8192
)

// Times from which on work counts as medium or long without an option.
const (
	DefaultMediumAfter = 200 * time.Millisecond
	DefaultLongAfter   = time.Second
)

// Option changes how NewHistory makes a History.
type Option = mwoption.Option[History]

// WithBounds sets the times from which on work counts as medium and as long;
// 0 leaves the default.
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

// WithCounter counts the calls that got another length class than their
// labels say.
func WithCounter(n *metrics.Counter) Option {
	return func(h *History) { h.corrected = n }
}

// NewHistory returns an empty History.
func NewHistory(opts ...Option) *History {
	h := &History{
		table:       mwshard.NewCache[key, tally](tableSize),
		mediumAfter: DefaultMediumAfter,
		longAfter:   DefaultLongAfter,
		corrected:   &metrics.Counter{},
	}
	mwoption.Apply(h, opts...)
	return h
}

// Classify fills c.Class.
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

// Observe learns the length of one call. A cancelled call took at least what
// was seen of it, so that it counts only where that is long already.
func (h *History) Observe(c *mwcall.Call, s mwcall.Sample) {
	if s.Failed || s.Took <= 0 {
		return
	}
	l := h.laneOf(s.Took)
	if s.Cancelled && l != mwlane.Long {
		return
	}
	h.table.Update(keyOf(c), func(t tally) tally { return t.add(l) })
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

func (t tally) sum() int {
	n := 0
	for _, v := range t {
		n += int(v)
	}
	return n
}

// add counts one call.
func (t tally) add(l mwlane.Lane) tally {
	t[l]++
	if t.sum() >= tallyMost {
		for i := range t {
			t[i] /= 2
		}
	}
	return t
}

// length returns the class of the median call; ok is false while there are
// too few.
func (t tally) length() (l mwconfig.Length, ok bool) {
	n := t.sum()
	if n < tallyLeast {
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
