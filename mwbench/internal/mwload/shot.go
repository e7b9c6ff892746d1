// Package mwload makes load: it draws the arrivals of requests, starts each
// at its time whatever became of those before, and keeps what came of them.
package mwload

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"mustardwheel.example/mwlib/mwunit"
)

// Seed is the start of what is drawn at random.
type Seed uint64

// Kind names a kind of whole requests.
type Kind string

// Step is a rate of arrivals that holds for a while.
type Step struct {
	Duration time.Duration
	Rate     mwunit.PerSecond
}

// Stream is the arrivals of one Kind, a Poisson process whose rate changes
// from Step to Step.
type Stream struct {
	Kind  Kind
	Steps []Step
}

// Number tells the requests of one Kind apart.
type Number int

// Arrival is the intended start of one request.
type Arrival struct {
	At     time.Duration // At counts from the start of the run.
	Kind   Kind
	Number Number
}

// Arrivals returns the arrivals of all streams in order of time.
func Arrivals(s Seed, streams ...Stream) []Arrival {
	var all []Arrival
	for _, st := range streams {
		all = append(all, st.arrivals(s)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// arrivals draws the arrivals of one stream. Its draws depend on the seed and
// the kind, so that another stream more does not change them.
func (st Stream) arrivals(s Seed) []Arrival {
	h := fnv.New64a()
	h.Write([]byte(st.Kind)) // The hash never returns an error.
	r := rand.New(rand.NewPCG(uint64(s), h.Sum64()))
	var out []Arrival
	var from time.Duration
	for _, step := range st.Steps {
		for at := interarrivalTime(r, step.Rate); at < step.Duration; at += interarrivalTime(r, step.Rate) {
			out = append(out, Arrival{At: from + at, Kind: st.Kind, Number: Number(len(out))})
		}
		from += step.Duration
	}
	return out
}

// maxInterarrivalTime is a gap that no run outlasts.
const maxInterarrivalTime = 1000 * time.Hour

func interarrivalTime(r *rand.Rand, n mwunit.PerSecond) time.Duration {
	if n <= 0 {
		return maxInterarrivalTime
	}
	return time.Duration(r.ExpFloat64() / float64(n) * float64(time.Second))
}
