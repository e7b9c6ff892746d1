package mwfakeserver

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwunit"
)

// Backend is a fake backend server without a listener. It is a plain
// http.Handler, so that tests can call it in virtual time. Server adds a
// listener and sends announcements to the node.
type Backend struct {
	set      settings
	gate     *gate
	slowdown slowdown
	report   report
	client   *http.Client
	wg       sync.WaitGroup
}

// settings are the values that options set.
type settings struct {
	seed             Seed
	slots            mwunit.Slots
	queue            mwunit.Slots
	connections      mwunit.Connections
	classes          []Class
	omitNotRunHeader bool
	slowPeriods      SlowPeriods
	coldTime         time.Duration
	coldFactor       mwunit.Ratio
	reporting        Reporting
	record           *Record
	node             mwid.Address
	ttl              time.Duration
	announced        announcement
	listen           mwid.Address
}

// Defaults of a Backend.
const (
	DefaultSlots       mwunit.Slots       = 16
	DefaultQueue       mwunit.Slots       = 64
	DefaultConnections mwunit.Connections = 128
)

// NewBackend returns a Backend. The returned function stops its goroutines and
// closes its idle connections.
func NewBackend(opts ...Option) (*Backend, func()) {
	set := settings{
		slots: DefaultSlots, queue: DefaultQueue, connections: DefaultConnections,
		reporting: Reporting{Factor: 1}, ttl: DefaultTTL, listen: "127.0.0.1:0",
		classes: []Class{{Prefix: "/", Time: 5 * time.Millisecond}},
	}
	mwoption.Apply(&set, opts...)
	if set.record == nil {
		set.record = NewRecord()
	}
	b := &Backend{
		set: set, gate: newGate(set.slots, set.queue), client: newClient(),
		slowdown: slowdown{
			base: 1, periodFactor: 1, start: time.Now(), coldTime: set.coldTime, coldFactor: set.coldFactor,
		},
		report: report{Reporting: set.reporting},
	}
	stop := make(chan struct{})
	b.wg.Go(func() { b.report.watch(b.gate, stop) })
	if set.slowPeriods.Every > 0 {
		b.wg.Go(func() { b.slowdown.runSlowPeriods(set.slowPeriods, set.seed, stop) })
	}
	return b, func() {
		close(stop)
		b.wg.Wait()
		b.client.CloseIdleConnections()
	}
}

// Record returns the record of the calls that b ran.
func (b *Backend) Record() *Record { return b.set.record }

// Load returns the actual load, as opposed to the reported one.
func (b *Backend) Load() Load { return b.gate.load() }

// SetSlowness makes all work that starts from now on take f times as long.
func (b *Backend) SetSlowness(f mwunit.Ratio) { b.slowdown.setSlowness(f) }

// ServeHTTP serves one call, or the load report.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == LoadPath {
		b.report.serve(w)
		return
	}
	ctx, cancel := withTimeout(r)
	defer cancel()
	if err := b.gate.enter(ctx); err != nil {
		b.refuse(w, err)
		return
	}
	defer b.gate.exit()
	if expired(ctx) {
		b.refuse(w, context.DeadlineExceeded)
		return
	}
	b.set.record.begin(requestID(r), mwid.CallKey(r.Header.Get(keyHeader)))
	b.run(ctx, w, r)
}

// withTimeout returns the context of r with the time-out from its header.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	if d, err := time.ParseDuration(r.Header.Get(timeoutHeader)); err == nil {
		return context.WithTimeout(r.Context(), d)
	}
	return context.WithCancel(r.Context())
}

// expired reports whether ctx is done or past its deadline. The timer of ctx
// may fire later than its deadline.
func expired(ctx context.Context) bool {
	t, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(t)
}

// refuse answers a call that was not run.
func (b *Backend) refuse(w http.ResponseWriter, err error) {
	if errors.Is(err, errQueueFull) {
		b.set.record.shed.Add(1)
	} else {
		b.set.record.givenUp.Add(1)
	}
	if !b.set.omitNotRunHeader {
		w.Header().Set(notRunHeader, "1")
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// requestID returns the id of r, or its key if there is no id header.
func requestID(r *http.Request) RequestID {
	if id := r.Header.Get(RequestIDHeader); id != "" {
		return RequestID(id)
	}
	return RequestID(r.Header.Get(keyHeader))
}
