// Package mwtimer provides timers, tickers and waits.
//
// The timers send on ordinary channels from functions run by time.AfterFunc.
// The runtime serves the channels of time.Timer and time.Ticker in whichever
// goroutine accesses them. In virtual time (testing/synctest) under the race
// detector, two goroutines that do so at the same instant crash the runtime of
// Go 1.26.
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

// Stop prevents t from sending. It reports false if t has already sent or been
// stopped.
func (t *Timer) Stop() bool { return t.t.Stop() }

// Reset makes t send after d from now. If t has sent before, the value must
// have been received from C; otherwise the next send blocks until it is.
func (t *Timer) Reset(d time.Duration) { t.t.Reset(d) }

// Ticker sends the time on C once per period. A tick is dropped if the one
// before was not received.
type Ticker struct {
	C      <-chan time.Time
	send   chan<- time.Time
	period time.Duration

	mu      sync.Mutex
	t       *time.Timer
	stopped bool
}

// NewTicker returns a Ticker with the given period.
func NewTicker(period time.Duration) *Ticker {
	c := make(chan time.Time, 1)
	t := &Ticker{C: c, send: c, period: period}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.t = time.AfterFunc(period, t.tick)
	return t
}

// tick sends one tick and schedules the next.
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

// Stop stops t; no tick is sent afterwards.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.t.Stop()
}

// Sleep waits for d and returns true, or returns false if ctx ends first.
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

// Every calls f once per period, never concurrently, with the time of the tick.
// The returned function stops the calls and waits for a running one to return.
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
