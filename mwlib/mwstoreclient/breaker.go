package mwstoreclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwtimer"
)

// breaker is a circuit breaker that refuses requests while the store is
// unavailable.
type breaker struct {
	mu       sync.Mutex
	failures int
	open     bool
	probing  bool
	until    time.Time
	pause    time.Duration
}

// Limits of a breaker.
const (
	// breakerFailures is the number of consecutive failures that open a breaker.
	breakerFailures = 5
	// leastOpen and mostOpen bound the time between two probes, before jitter.
	leastOpen = 500 * time.Millisecond
	mostOpen  = 10 * time.Second
)

func newBreaker() *breaker { return &breaker{pause: leastOpen} }

// allow reports whether a request may be sent. While the breaker is open, it
// allows one probe at a time, once the open time has passed. Each allowed
// request must be followed by a call of observe or abandon.
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

// abandon ends an allowed request that was not sent.
func (b *breaker) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// observe records the result code of a request that was sent.
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

// budget is a retry budget: it limits retries to a fraction of the successes.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

// Limits of a retry budget.
const (
	mostRetries     = 10.0
	retriesEarnedBy = 0.1 // retries that one success earns
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

// Range of the random pause before a retry.
const (
	leastRetryPause = 10 * time.Millisecond
	mostRetryPause  = 100 * time.Millisecond
)

func retryPause() time.Duration {
	return leastRetryPause + rand.N(mostRetryPause-leastRetryPause)
}

// pause waits for d. If ctx is done before, pause returns its error.
func pause(ctx context.Context, d time.Duration) error {
	if !mwtimer.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
