// Package mwplan generates the fault plan of one soak run from a seed: the kind,
// start, duration and place of each fault. It only schedules faults; it does not
// inject them and handles no processes.
package mwplan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Seed selects a plan. The same seed and arguments of New give the same plan.
type Seed uint64

// Event is one fault of a plan.
type Event struct {
	At   time.Duration // At is the time since the start of the load.
	For  time.Duration
	Kind Kind
	// Node is the index of the node at which the fault occurs.
	Node int
	// Link is the index of the affected link among those of the node.
	Link int
	// Seed selects the details of faults that have more of them.
	Seed uint64
}

// Plan is the schedule of one run. Events are in the order of their start.
type Plan struct {
	Seed   Seed
	Nodes  int
	Length time.Duration
	Events []Event
}

// Timing of faults.
const (
	// faultFreeMargin is the time without faults at the start and at the end of
	// the load.
	faultFreeMargin = time.Second
	// minFault and maxFault limit the duration of a fault.
	minFault = 200 * time.Millisecond
	maxFault = 3 * time.Second
	// faultsPerSecond is the rate at which faults start. It is high enough that
	// faults overlap.
	faultsPerSecond = 1.5
	// seriesRatio is the fraction of the faults that are followed by 1 to
	// maxRepeats more of the same kind, seriesGap apart.
	seriesRatio = 0.2
	maxRepeats  = 4
	seriesGap   = 150 * time.Millisecond
)

// detailStream selects the random stream of Event.Seed. It is not the stream of the rest
// of the plan, which therefore is the same as without it.
const detailStream = 1

// New returns the plan of seed for a load of the given length. It draws the
// faults from kinds, whose order affects the draw and so must be fixed. Each
// node has the given number of links.
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
	details := rand.New(rand.NewPCG(uint64(seed), detailStream))
	for i := range p.Events {
		p.Events[i].Seed = details.Uint64()
	}
	return p
}
