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
// time.
type Turns[K comparable] struct {
	m *mwshard.Map[K, float64]
}

// step is the distance of two points: the golden ratio, less 1.
const step = math.Phi - 1

// New returns Turns without keys.
func New[K comparable]() *Turns[K] {
	return &Turns[K]{m: mwshard.New[K, float64](mwshard.DefaultShards)}
}

// Next returns the next point of k.
func (t *Turns[K]) Next(k K) float64 {
	var x float64
	t.m.Update(k, func(last float64, ok bool) (float64, bool) {
		if !ok {
			last = rand.Float64()
		}
		_, x = math.Modf(last + step)
		return x, true
	})
	return x
}
