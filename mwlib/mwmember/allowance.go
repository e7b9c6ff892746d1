package mwmember

import (
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwunit"
)

// allowance is a token bucket that limits the bytes of updates and exchanges.
// Messages that must not wait are sent even if it is empty, so spend takes no
// more tokens than there are.
type allowance struct {
	mu         sync.Mutex
	rate       mwunit.Bytes // per second
	burst      mwunit.Bytes
	tokens     mwunit.Bytes
	refilledAt time.Time
}

// burstSeconds is the size of an allowance, in seconds of its rate.
const burstSeconds = 16

func newAllowance(rate mwunit.Bytes) *allowance {
	b := rate * burstSeconds
	return &allowance{rate: rate, burst: b, tokens: b, refilledAt: time.Now()}
}

// available returns the number of bytes that may be sent now, at most limit.
func (a *allowance) available(limit mwunit.Bytes) mwunit.Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if n := mwunit.Bytes(now.Sub(a.refilledAt).Seconds() * float64(a.rate)); n > 0 {
		a.tokens = min(a.burst, a.tokens+n)
		a.refilledAt = now
	}
	return max(0, min(a.tokens, limit))
}

// spend removes n bytes, at most those available.
func (a *allowance) spend(n mwunit.Bytes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = max(0, a.tokens-n)
}
