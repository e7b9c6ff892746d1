package mwstoreclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwtimer"
)

// breaker refuses requests while the store is away.
type breaker struct {
	mu       sync.Mutex
	failures int
	open     bool
	probing  bool
	until    time.Time
	pause    time.Duration
}

// Bounds of a breaker.
const (
	// breakerFailures in a row open it.
	breakerFailures = 5
	// leastOpen and mostOpen bound the time between two probes.
	leastOpen = 500 * time.Millisecond
	mostOpen  = 10 * time.Second
)

func newBreaker() *breaker { return &breaker{pause: leastOpen} }

// allow tells whether a request may pass; while open that is one probe when
// its time has come. Each allowed request must end in observe or abandon.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if b.probing || now.Before(b.until) {
		return false
	}
	b.probing = true
	return true
}

// abandon ends a request that was never sent.
func (b *breaker) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// observe ends a request.
func (b *breaker) observe(now time.Time, c mwcode.Code) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if c != mwcode.StoreAway && c != mwcode.StoreUnknown {
		b.failures, b.open, b.pause = 0, false, leastOpen
		return
	}
	b.failures++
	if b.failures < breakerFailures {
		return
	}
	b.open = true
	b.until = now.Add(b.pause/2 + rand.N(b.pause))
	b.pause = min(2*b.pause, mostOpen)
}

func (b *breaker) isOpen(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open && now.Before(b.until)
}

// budget bounds retries to a part of the successes.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

// Bounds of a budget.
const (
	mostRetries     = 10.0
	retriesEarnedBy = 0.1 // retriesEarnedBy is the retries that one success earns.
)

func newBudget() *budget { return &budget{tokens: mostRetries} }

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(mostRetries, b.tokens+retriesEarnedBy)
}

func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Bounds of the pause before a retry.
const (
	leastRetryPause = 10 * time.Millisecond
	mostRetryPause  = 100 * time.Millisecond
)

func retryPause() time.Duration {
	return leastRetryPause + rand.N(mostRetryPause-leastRetryPause)
}

// pause waits for d, or until ctx is done, whose error it returns.
func pause(ctx context.Context, d time.Duration) error {
	if !mwtimer.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
