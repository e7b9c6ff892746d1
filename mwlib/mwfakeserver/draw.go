package mwfakeserver

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardwheel.example/mwlib/mwunit"
)

// Seed is the seed of all random choices of a Backend.
type Seed uint64

// work holds the random choices for one request. They depend only on the seed
// and the request's id, so a request gets the same work in each run with the
// same seed, whatever the order of the calls.
type work struct {
	time   time.Duration
	failed bool
}

func drawWork(s Seed, id RequestID, c Class) work {
	r := rand.New(rand.NewPCG(uint64(s), xxhash.Sum64String(string(id))))
	f := 1 + float64(c.Jitter)*(2*r.Float64()-1)
	if r.Float64() < float64(c.Stragglers) {
		f *= float64(c.StragglerFactor)
	}
	return work{time: scale(c.Time, mwunit.Ratio(f)), failed: r.Float64() < float64(c.Failing)}
}

// scale returns d times f.
func scale(d time.Duration, f mwunit.Ratio) time.Duration {
	return time.Duration(float64(d) * float64(f))
}
