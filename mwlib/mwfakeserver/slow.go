package mwfakeserver

import (
	"math/rand/v2"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// SlowPeriods configures slow periods, such as those that a noisy neighbour on
// the same machine causes.
type SlowPeriods struct {
	// Every is the mean time from the end of one slow period to the next.
	Every time.Duration
	// For is the mean length of a slow period.
	For time.Duration
	// Factor is the factor by which work takes longer in a slow period.
	Factor mwunit.Ratio
}

// slowdown computes the factor by which work takes longer at present.
type slowdown struct {
	mu           sync.Mutex
	base         mwunit.Ratio // factor set by SetSlowness
	periodFactor mwunit.Ratio // factor of the current slow period, or 1
	start        time.Time
	coldTime     time.Duration
	coldFactor   mwunit.Ratio
}

// current returns the current factor. A cold start contributes s.coldFactor at
// first, which decreases linearly to 1 over s.coldTime.
func (s *slowdown) current() mwunit.Ratio {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.base * s.periodFactor
	if age := time.Since(s.start); age < s.coldTime {
		remaining := 1 - mwunit.Ratio(age)/mwunit.Ratio(s.coldTime)
		f *= 1 + (s.coldFactor-1)*remaining
	}
	return f
}

func (s *slowdown) setSlowness(f mwunit.Ratio) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.base = f
}

func (s *slowdown) setPeriodFactor(f mwunit.Ratio) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.periodFactor = f
}

// runSlowPeriods starts and ends slow periods until stop is closed.
func (s *slowdown) runSlowPeriods(sp SlowPeriods, seed Seed, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(uint64(seed), uint64(sp.Every)))
	for {
		if !wait(scale(sp.Every, mwunit.Ratio(r.ExpFloat64())), stop) {
			return
		}
		s.setPeriodFactor(sp.Factor)
		ok := wait(scale(sp.For, mwunit.Ratio(r.ExpFloat64())), stop)
		s.setPeriodFactor(1)
		if !ok {
			return
		}
	}
}

// wait waits for d and returns true, or false if stop is closed first.
func wait(d time.Duration, stop <-chan struct{}) bool {
	t := mwtimer.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-stop:
		return false
	}
}
