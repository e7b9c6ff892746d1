// Package mwtimer holds the waits that the other packages share. They sleep
// on a timer and end with their context or their owner.
package mwtimer

import (
	"context"
	"time"
)

// Sleep waits for d and tells whether ctx is still good.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
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
		t := time.NewTicker(period)
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
