package mwfakeserver

import (
	"math/rand/v2"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// Spells configures slow periods, as a noisy neighbour on the same machine
// causes them.
type Spells struct {
	// Every is the mean time from the end of one slow period to the next.
	Every time.Duration
	// For is the mean length of a slow period.
	For time.Duration
	// Factor is the factor by which work takes longer in a slow period.
	Factor mwunit.Ratio
}

// speed computes the factor by which work takes longer at present.
type speed struct {
	mu     sync.Mutex
	set    mwunit.Ratio // factor set by SetSlowness
	spell  mwunit.Ratio // factor of the current slow period, or 1
	start  time.Time
	cold   time.Duration
	factor mwunit.Ratio
}

// now returns the current factor. A cold start contributes s.factor at first,
// which decreases linearly to 1 over s.cold.
func (s *speed) now() mwunit.Ratio {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.set * s.spell
	if age := time.Since(s.start); age < s.cold {
		left := 1 - mwunit.Ratio(age)/mwunit.Ratio(s.cold)
		f *= 1 + (s.factor-1)*left
	}
	return f
}

func (s *speed) setSlowness(f mwunit.Ratio) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set = f
}

func (s *speed) setSpell(f mwunit.Ratio) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spell = f
}

// spells starts and ends slow periods until stop is closed.
func (s *speed) spells(sp Spells, seed Seed, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(uint64(seed), uint64(sp.Every)))
	for {
		if !wait(scale(sp.Every, mwunit.Ratio(r.ExpFloat64())), stop) {
			return
		}
		s.setSpell(sp.Factor)
		ok := wait(scale(sp.For, mwunit.Ratio(r.ExpFloat64())), stop)
		s.setSpell(1)
		if !ok {
			return
		}
	}
}

// wait waits for d and returns true, or false if stop is closed before.
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
