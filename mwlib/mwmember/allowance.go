package mwmember

import (
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwunit"
)

// allowance bounds the bytes of news and exchanges: it fills at a rate and
// holds a burst.
type allowance struct {
	mu    sync.Mutex
	rate  mwunit.Bytes // rate is in bytes a second.
	burst mwunit.Bytes
	left  mwunit.Bytes
	at    time.Time
}

// burstSeconds is how many seconds of its rate an allowance holds.
const burstSeconds = 16

func newAllowance(rate mwunit.Bytes) *allowance {
	b := rate * burstSeconds
	return &allowance{rate: rate, burst: b, left: b, at: time.Now()}
}

// room returns how many bytes may be sent now, at most limit.
func (a *allowance) room(limit mwunit.Bytes) mwunit.Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if n := mwunit.Bytes(now.Sub(a.at).Seconds() * float64(a.rate)); n > 0 {
		a.left = min(a.burst, a.left+n)
		a.at = now
	}
	return max(0, min(a.left, limit))
}

// spend takes n bytes, or what is left.
func (a *allowance) spend(n mwunit.Bytes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left = max(0, a.left-n)
}
