// Package mwplan makes the plan of one run of the soak from its seed: which
// faults come when, at what, and for how long. It knows nothing of processes.
package mwplan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Seed makes a plan; the same seed makes the same one.
type Seed uint64

// Event is one fault of a plan.
type Event struct {
	At   time.Duration // At counts from the start of the load.
	For  time.Duration
	Kind Kind
	// Node is the index of the node that is met, or beside which the fault is.
	Node int
	// Link is the index of the connection that is met, among those of a node.
	Link int
}

// Plan is what one run does, in the order of time.
type Plan struct {
	Seed   Seed
	Nodes  int
	Length time.Duration
	Events []Event
}

// Times of events.
const (
	// faultFreeMargin is the time without faults at the start and at the end of the load.
	faultFreeMargin = time.Second
	// minFault and longest bound a fault.
	minFault = 200 * time.Millisecond
	maxFault = 3 * time.Second
	// faultsPerSecond is how many faults start in a second, so that they overlap.
	faultsPerSecond = 1.5
	// seriesRatio is the part of the faults that come as a series of the same
	// kind, seriesGap apart.
	seriesRatio = 0.2
	maxRepeats  = 4
	seriesGap   = 150 * time.Millisecond
)

// New returns the plan of a seed with faults of the given kinds, which are in
// a fixed order, at nodes that have ways connections each.
func New(seed Seed, kinds []Kind, nodes, links int, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(uint64(seed), uint64(length)))
	p := Plan{Seed: seed, Nodes: nodes, Length: length}
	last := length - faultFreeMargin
	for n := int(faultsPerSecond * (last - faultFreeMargin).Seconds()); n > 0; n-- {
		e := Event{
			At:   faultFreeMargin + time.Duration(r.Int64N(int64(last-faultFreeMargin))),
			Kind: kinds[r.IntN(len(kinds))], Node: r.IntN(nodes), Link: r.IntN(links),
		}
		e.For = min(minFault+time.Duration(r.Int64N(int64(maxFault-minFault))), last-e.At)
		p.Events = append(p.Events, e)
		if r.Float64() >= seriesRatio {
			continue
		}
		for range 1 + r.IntN(maxRepeats) {
			e.At += seriesGap
			e.Node = r.IntN(nodes)
			e.For = max(min(e.For, last-e.At), minFault)
			p.Events = append(p.Events, e)
		}
	}
	slices.SortStableFunc(p.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return p
}
