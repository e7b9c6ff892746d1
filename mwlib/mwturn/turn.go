// Package mwturn generates evenly distributed points in [0, 1). Calls are split
// by weight according to the part of the interval in which their point lies.
package mwturn

import (
	"math"
	"math/rand/v2"

	"mustardwheel.example/mwlib/mwshard"
)

// Sequence generates a low-discrepancy sequence of points in [0, 1) for each
// key: each point is the previous one plus the golden ratio, modulo 1. Among n
// points, the number in a subrange differs from its expected value only by a
// few; among n random points, it differs by the order of the square root of n.
// This matters because the shares of a split are measured over a few hundred
// calls.
//
// The sequence of a key starts at a random point, so that nodes do not make the
// same choices at the same time. A key that was not used for a long time may be
// evicted in favour of others; its sequence then restarts at a new random point.
type Sequence[K comparable] struct {
	points *mwshard.Cache[K, point]
}

// point is the last point of a key; started is false if there is none.
type point struct {
	x       float64
	started bool
}

const (
	// step is the distance between successive points: the golden ratio minus 1.
	step = math.Phi - 1
	// cachedKeys is the approximate number of keys that are kept: several
	// times the number of split routes that the callers of a node use.
	cachedKeys = 1024
)

// New returns a Sequence without keys.
func New[K comparable]() *Sequence[K] {
	return &Sequence[K]{points: mwshard.NewCache[K, point](cachedKeys)}
}

// Next returns the next point of k.
func (t *Sequence[K]) Next(k K) float64 {
	var x float64
	t.points.Update(k, func(last point) point {
		if !last.started {
			last.x = rand.Float64()
		}
		_, x = math.Modf(last.x + step)
		return point{x: x, started: true}
	})
	return x
}
