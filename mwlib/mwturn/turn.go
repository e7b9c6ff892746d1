// Package mwturn spreads choices evenly.
package mwturn

import (
	"math"
	"math/rand/v2"

	"mustardwheel.example/mwlib/mwshard"
)

// Turns gives each key points from 0 to below 1 that lie evenly from the first
// on: each point is the golden ratio further than the last one. Of n points,
// those in a part of the range differ from that part of n by a few, where
// random points differ by the square root of n. It answers a split of calls by
// weight, whose shares are looked at over some hundred calls.
//
// Keys begin at random points, so that nodes do not choose the same at the same
// time. A key that was not used for long is forgotten where others need its
// place, and then begins anew.
type Turns[K comparable] struct {
	points *mwshard.Cache[K, point]
}

// point is the last point of a key; begun is false where there is none.
type point struct {
	x     float64
	begun bool
}

const (
	// step is the distance of two points: the golden ratio, less 1.
	step = math.Phi - 1
	// rememberedKeys is about how many keys are kept in mind: some times the
	// routes of a node's callers that have a split.
	rememberedKeys = 1024
)

// New returns Turns without keys.
func New[K comparable]() *Turns[K] {
	return &Turns[K]{points: mwshard.NewCache[K, point](rememberedKeys)}
}

// Next returns the next point of k.
func (t *Turns[K]) Next(k K) float64 {
	var x float64
	t.points.Update(k, func(last point) point {
		if !last.begun {
			last.x = rand.Float64()
		}
		_, x = math.Modf(last.x + step)
		return point{x: x, begun: true}
	})
	return x
}
