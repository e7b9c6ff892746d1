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
	mu        sync.Mutex
	failures  int
	open      bool
	probing   bool
	openUntil time.Time
	openTime  time.Duration
}

// Limits of a breaker.
const (
	// breakerFailures is the number of consecutive failures that open a breaker.
	breakerFailures = 5
	// minOpenTime and maxOpenTime bound the time between two probes, before
	// jitter.
	minOpenTime = 500 * time.Millisecond
	maxOpenTime = 10 * time.Second
)

func newBreaker() *breaker { return &breaker{openTime: minOpenTime} }

// allow reports whether a request may be sent. While the breaker is open, it
// allows one probe at a time, once the open time has passed. Each allowed
// request must be followed by a call of observe or abandon.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if b.probing || now.Before(b.openUntil) {
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
		b.failures, b.open, b.openTime = 0, false, minOpenTime
		return
	}
	b.failures++
	if b.failures < breakerFailures {
		return
	}
	b.open = true
	b.openUntil = now.Add(b.openTime/2 + rand.N(b.openTime))
	b.openTime = min(2*b.openTime, maxOpenTime)
}

func (b *breaker) isOpen(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open && now.Before(b.openUntil)
}

// budget is a retry budget: it limits retries to a fraction of the successes.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

// Limits of a retry budget.
const (
	maxRetryTokens        = 10.0
	retryTokensPerSuccess = 0.1 // retries that one success earns
)

func newBudget() *budget { return &budget{tokens: maxRetryTokens} }

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+retryTokensPerSuccess)
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
	minRetryPause = 10 * time.Millisecond
	maxRetryPause = 100 * time.Millisecond
)

func retryPause() time.Duration {
	return minRetryPause + rand.N(maxRetryPause-minRetryPause)
}

// pause waits for d. If ctx is done first, pause returns ctx.Err().
func pause(ctx context.Context, d time.Duration) error {
	if !mwtimer.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
