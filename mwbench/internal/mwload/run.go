package mwload

import (
	"context"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwunit"
)

// Outcome is the outcome of one request, including all its attempts.
type Outcome struct {
	// OK reports whether the complete answer arrived in time.
	OK bool
	// Attempts is the number of attempts that the caller made.
	Attempts mwunit.Attempts
	// Work is the processing time reported by the backend server.
	Work time.Duration
}

// Do sends one request and waits for its outcome. The context is that of Run.
type Do func(ctx context.Context, s Arrival) Outcome

// Result is a finished request.
type Result struct {
	Arrival
	Outcome
	// Took is the time from the intended start to the end, so that it includes
	// the delay of a request that could not start in time.
	Took time.Duration
}

// Run starts each request at its arrival time, whether or not earlier ones have
// ended, and passes each result to record, which must be safe for concurrent
// use. Run returns when all requests have ended. When ctx is done, it starts no
// more.
func Run(ctx context.Context, arrivals []Arrival, do Do, record func(Result)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	t := time.NewTimer(0)
	defer t.Stop()
	for _, s := range arrivals {
		t.Reset(time.Until(start.Add(s.At)))
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		wg.Go(func() {
			o := do(ctx, s)
			record(Result{Arrival: s, Outcome: o, Took: time.Since(start.Add(s.At))})
		})
	}
}
