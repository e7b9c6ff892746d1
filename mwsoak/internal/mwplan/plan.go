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
	// Way is the index of the connection that is met, among those of a node.
	Way int
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
	// calm is the time without faults at the start and at the end of the load.
	calm = time.Second
	// shortest and longest bound a fault.
	shortest = 200 * time.Millisecond
	longest  = 3 * time.Second
	// perSecond is how many faults start in a second, so that they overlap.
	perSecond = 1.5
	// seriesPart is the part of the faults that come as a series of the same
	// kind, seriesGap apart.
	seriesPart = 0.2
	seriesMost = 4
	seriesGap  = 150 * time.Millisecond
)

// New returns the plan of a seed with faults of the given kinds, which are in
// a fixed order, at nodes that have ways connections each.
func New(seed Seed, kinds []Kind, nodes, ways int, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(uint64(seed), uint64(length)))
	p := Plan{Seed: seed, Nodes: nodes, Length: length}
	last := length - calm
	for n := int(perSecond * (last - calm).Seconds()); n > 0; n-- {
		e := Event{
			At:   calm + time.Duration(r.Int64N(int64(last-calm))),
			Kind: kinds[r.IntN(len(kinds))], Node: r.IntN(nodes), Way: r.IntN(ways),
		}
		e.For = min(shortest+time.Duration(r.Int64N(int64(longest-shortest))), last-e.At)
		p.Events = append(p.Events, e)
		if r.Float64() >= seriesPart {
			continue
		}
		for range 1 + r.IntN(seriesMost) {
			e.At += seriesGap
			e.Node = r.IntN(nodes)
			e.For = max(min(e.For, last-e.At), shortest)
			p.Events = append(p.Events, e)
		}
	}
	slices.SortStableFunc(p.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return p
}
