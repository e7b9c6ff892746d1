package mwfakeserver

import (
	"math/rand/v2"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// Spells are times in which an unseen neighbour slows a Backend down.
type Spells struct {
	// Every is the mean time from the end of one spell to the next.
	Every time.Duration
	// For is the mean length of a spell.
	For time.Duration
	// Factor is how many times longer work takes during a spell.
	Factor mwunit.Ratio
}

// speed is how many times longer work takes now.
type speed struct {
	mu     sync.Mutex
	set    mwunit.Ratio // set is what SetSlowness said.
	spell  mwunit.Ratio // spell is that of the present spell, else 1.
	start  time.Time
	cold   time.Duration
	factor mwunit.Ratio
}

// now returns the present factor. A cold start slows work by s.factor at
// first, and less and less until s.cold is over.
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

// spells lets spells come and go until stop is closed.
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

// wait waits for d; it returns false where stop is closed before.
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
