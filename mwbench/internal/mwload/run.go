package mwload

import (
	"context"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwunit"
)

// Outcome is what became of one request.
type Outcome struct {
	// OK tells that the whole answer came in time.
	OK bool
	// Attempts counts the attempts that the caller made.
	Attempts mwunit.Attempts
	// Work is the time that the backend server says it worked.
	Work time.Duration
}

// Do makes one request and waits for its end. The context is that of Run.
type Do func(ctx context.Context, s Arrival) Outcome

// Result is one finished request.
type Result struct {
	Arrival
	Outcome
	// Took is the time from the intended start to the end, so that a request
	// which could not start in time has its wait counted.
	Took time.Duration
}

// Run starts each shot at its time, whether or not earlier ones have ended,
// and gives each result to keep, from many goroutines at a time. It returns
// when all have ended; where ctx is done, it starts no more.
func Run(ctx context.Context, shots []Arrival, do Do, keep func(Result)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	t := time.NewTimer(0)
	defer t.Stop()
	for _, s := range shots {
		t.Reset(time.Until(start.Add(s.At)))
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		wg.Go(func() {
			o := do(ctx, s)
			keep(Result{Arrival: s, Outcome: o, Took: time.Since(start.Add(s.At))})
		})
	}
}
