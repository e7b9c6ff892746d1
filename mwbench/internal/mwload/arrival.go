// Package mwload generates open-loop load: it draws the arrival times of
// requests, starts each request at its time whether or not earlier ones have
// ended, and aggregates the results.
package mwload

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"mustardwheel.example/mwlib/mwunit"
)

// Seed seeds the random draws of a run.
type Seed uint64

// Kind names a kind of requests.
type Kind string

// Step is an arrival rate that holds for a duration.
type Step struct {
	Duration time.Duration
	Rate     mwunit.PerSecond
}

// Stream describes the arrivals of one Kind: a Poisson process whose rate
// changes from Step to Step.
type Stream struct {
	Kind  Kind
	Steps []Step
}

// Number numbers the requests of one Kind, from 0.
type Number int

// Arrival is the intended start of one request.
type Arrival struct {
	At     time.Duration // since the start of the run
	Kind   Kind
	Number Number
}

// Arrivals returns the arrivals of all streams, sorted by time.
func Arrivals(s Seed, streams ...Stream) []Arrival {
	var all []Arrival
	for _, st := range streams {
		all = append(all, st.arrivals(s)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// arrivals draws the arrivals of st. The draws depend only on s and the kind, so
// that adding a stream does not change the arrivals of the others.
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

// maxInterarrivalTime is longer than any run; it is used if the rate is 0.
const maxInterarrivalTime = 1000 * time.Hour

func interarrivalTime(r *rand.Rand, n mwunit.PerSecond) time.Duration {
	if n <= 0 {
		return maxInterarrivalTime
	}
	return time.Duration(r.ExpFloat64() / float64(n) * float64(time.Second))
}
