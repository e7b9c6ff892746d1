package mwmember

import (
	"math"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// watchDuty is the duty for which nodes that substitute for the readers of the
// configuration are ordered.
const watchDuty = "watch"

// Limits on the age of a Watch on which a node relies. A node that hears of no reader
// for that long reads the source itself, so a lower limit lets it notice a change
// sooner, and a higher one allows for the number of nodes that a report passes.
const (
	baseWatchAge  = 2 * time.Second
	baseWatchSize = mwunit.Nodes(16) // size of a zone up to which baseWatchAge suffices
	// watchAgePerDoubling is added for each doubling of the size beyond baseWatchSize.
	watchAgePerDoubling = DefaultPeriod
)

// maxWatchAge returns the limit in a zone of n nodes.
func maxWatchAge(n mwunit.Nodes) time.Duration {
	doublings := math.Log2(float64(max(n, baseWatchSize)) / float64(baseWatchSize))
	return baseWatchAge + time.Duration(doublings*float64(watchAgePerDoubling))
}

// Watch reports that some node reads the source of the configuration. It passes from
// node to node with the pings, so that a node knows from recent messages whether it
// would hear of a change.
type Watch struct {
	// Known is false if the sender has heard of no reader.
	Known bool
	// Order is 0 for a node that reads the source because of its rank, and a hash
	// of the node for one that substitutes for those. A lower Order takes precedence.
	Order uint64
	// Age is the time since the reader confirmed that it reads the source.
	Age time.Duration
}

// takesPrecedence reports whether w replaces v. A Watch that is older than limit
// counts as unknown.
func (w Watch) takesPrecedence(v Watch, limit time.Duration) bool {
	w.Known = w.Known && w.Age <= limit
	v.Known = v.Known && v.Age <= limit
	switch {
	case !w.Known || !v.Known:
		return w.Known
	case w.Order != v.Order:
		return w.Order < v.Order
	}
	return w.Age < v.Age
}

// watch is what a node knows of the readers of the source: its own reading and the
// best report of another node.
type watch struct {
	mu       sync.Mutex
	own      report
	received report
}

// report is a Watch with the time until which it was confirmed, the zero time if
// there is none.
type report struct {
	order uint64
	until time.Time
}

// at returns the Watch that r amounts to now.
func (r report) at(now time.Time) Watch {
	return Watch{!r.until.IsZero(), r.order, max(0, now.Sub(r.until))}
}

// setOwn records that this node reads the source until the given time.
func (w *watch) setOwn(order uint64, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.own = report{order, until}
}

// receive records a report of another node.
func (w *watch) receive(now time.Time, x Watch, limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.Age = max(0, x.Age)
	if x.takesPrecedence(w.received.at(now), limit) {
		w.received = report{x.Order, now.Add(-x.Age)}
	}
}

// best returns the report to pass on.
func (w *watch) best(now time.Time, limit time.Duration) Watch {
	w.mu.Lock()
	defer w.mu.Unlock()
	own, received := w.own.at(now), w.received.at(now)
	if received.takesPrecedence(own, limit) {
		return received
	}
	return own
}

// takenOver reports whether a reader that takes precedence over a substitute with
// the given order was heard of within limit.
func (w *watch) takenOver(now time.Time, order uint64, limit time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.received.at(now)
	return x.Known && x.Age <= limit && x.Order < order
}

// watchLimit returns the age of a Watch up to which this node relies on it.
func (g *Gossip) watchLimit() time.Duration { return maxWatchAge(mwunit.Nodes(len(g.ownZone().live))) }

// substituteOrder returns the Order of a node as a substitute.
func substituteOrder(n mwid.NodeID) uint64 { return max(1, rendezvousHash(watchDuty, n)) }

// WatchSource publishes that this node reads the source of the configuration until
// the given time, as a substitute or because of its rank. A later call replaces the
// time, also by an earlier one.
func (g *Gossip) WatchSource(until time.Time, substitute bool) {
	var order uint64
	if substitute {
		order = substituteOrder(g.self)
	}
	g.watch.setOwn(order, until)
}

// SourceWatched reports whether this node has lately heard of a node that reads the
// source of the configuration and takes precedence over this node as a substitute.
func (g *Gossip) SourceWatched() bool {
	return g.watch.takenOver(time.Now(), substituteOrder(g.self), g.watchLimit())
}
