// Package mwpanic contains panics, so that an unexpected error ends the call or
// the round of background work in which it occurs, and not the process.
package mwpanic

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwtimer"
)

// Place names the code in which a panic was contained. There are only a few
// places, so that the metric by place stays small.
type Place string

// Recorder contains panics and records them. It logs the stack of the first one
// at each Place and counts all of them in mw_panics_total. A nil Recorder
// contains panics and logs each of them to the default logger.
type Recorder struct {
	log    *slog.Logger
	set    *metrics.Set
	logged *mwshard.Map[Place, struct{}]
}

// New returns a Recorder that logs to l and counts in s.
func New(l *slog.Logger, s *metrics.Set) *Recorder {
	return &Recorder{log: l, set: s, logged: mwshard.New[Place, struct{}](1)}
}

// Record records v, the value of a panic at p. It must be called by the deferred
// function that recovered v, so that the stack still shows the panic.
func (r *Recorder) Record(p Place, v any) {
	if r == nil {
		slog.Error("panic contained", "Place", p, "Panic", fmt.Sprint(v), "Stack", string(debug.Stack()))
		return
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`mw_panics_total{place=%q}`, p)).Inc()
	first := false
	r.logged.GetOrSet(p, func() struct{} {
		first = true
		return struct{}{}
	})
	if first {
		r.log.Error("panic contained", "Place", p, "Panic", fmt.Sprint(v), "Stack", string(debug.Stack()))
	}
}

// Contain recovers and records a panic. It must be deferred directly.
func (r *Recorder) Contain(p Place) {
	if v := recover(); v != nil {
		r.Record(p, v)
	}
}

// ContainAs does the same as Contain and sets *err to an error with the code
// mwcode.Internal if there was a panic.
func (r *Recorder) ContainAs(p Place, err *error) {
	if v := recover(); v != nil {
		r.Record(p, v)
		*err = mwcode.New(mwcode.Internal, mwcode.Field(string(p)))
	}
}

// restartDelay is the pause before background work that panicked is started
// again.
const restartDelay = time.Second

// Keep calls f. If f panics, Keep calls it again after restartDelay, until f
// returns or ctx is done.
func (r *Recorder) Keep(ctx context.Context, p Place, f func(context.Context)) {
	for !r.completes(p, func() { f(ctx) }) {
		if !mwtimer.Sleep(ctx, restartDelay) {
			return
		}
	}
}

// Tick returns a function that calls f and contains its panics.
func (r *Recorder) Tick(p Place, f func(now time.Time)) func(now time.Time) {
	return func(now time.Time) { r.completes(p, func() { f(now) }) }
}

// completes calls f and reports whether it returned without a panic.
func (r *Recorder) completes(p Place, f func()) (ok bool) {
	defer r.Contain(p)
	f()
	return true
}
