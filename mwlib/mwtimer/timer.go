// Package mwtimer holds the timers and waits that the other packages share.
//
// Its timers send on ordinary channels from functions of time.AfterFunc. The
// channels of time.Timer and time.Ticker are served by whichever goroutine
// looks at them; in virtual time (testing/synctest) under the race detector
// two that do so at the same instant crash the runtime of Go 1.26.
package mwtimer

import (
	"context"
	"sync"
	"time"
)

// Timer sends the time on C once.
type Timer struct {
	C <-chan time.Time
	t *time.Timer
}

// NewTimer returns a Timer that sends after d.
func NewTimer(d time.Duration) *Timer {
	c := make(chan time.Time, 1)
	return &Timer{C: c, t: time.AfterFunc(d, func() { c <- time.Now() })}
}

// Stop keeps t from sending, where it has not yet, and tells whether it did.
func (t *Timer) Stop() bool { return t.t.Stop() }

// Reset makes t send after d from now. The owner must have taken what t sent
// before.
func (t *Timer) Reset(d time.Duration) { t.t.Reset(d) }

// Ticker sends the time on C once a period; a tick that nobody takes is
// dropped.
type Ticker struct {
	C      <-chan time.Time
	send   chan<- time.Time
	period time.Duration

	mu      sync.Mutex
	t       *time.Timer
	stopped bool
}

// NewTicker returns a Ticker of the period.
func NewTicker(period time.Duration) *Ticker {
	c := make(chan time.Time, 1)
	t := &Ticker{C: c, send: c, period: period}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.t = time.AfterFunc(period, t.tick)
	return t
}

// tick sends one tick and sets the next.
func (t *Ticker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.t.Reset(t.period)
	select {
	case t.send <- time.Now():
	default:
	}
}

// Stop ends t; no tick is sent after it.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.t.Stop()
}

// Sleep waits for d and tells whether ctx is still good.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls f once a period, one call after the other, with the time of the
// tick. The returned function ends that and waits for a call under way.
func Every(period time.Duration, f func(now time.Time)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		t := NewTicker(period)
		defer t.Stop()
		for {
			select {
			case now := <-t.C:
				f(now)
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
