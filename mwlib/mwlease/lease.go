// Package mwlease holds leases in the platform's table: at most one process
// believes that it holds a lease, as far as clocks can tell, and a fencing
// token guards what clocks can't.
package mwlease

import (
	"context"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwstore"
)

// Lease is a lease that this process holds, or held.
//
// No clock is compared with another one. A waiter watches the lease's row and
// takes it over when the row did not change for the lease's TTL on the
// waiter's own clock. The holder counts its time from before it sent the
// write that the table accepted, and less of it than the TTL, so it knows of
// its lapse before any waiter does. After a pause it finds out from its clocks:
// the monotonic one, and the wall clock where that went further, since a
// paused VM's monotonic clock may stand still.
//
// A holder may still be paused between the look at its clock and what it
// does then. So what must not happen after a lapse carries the fence: a check
// of a row that changes with each new holder, but not with a renewal. Outside
// the table the Token does the same, as it only grows.
type Lease struct {
	table  mwstore.Table
	key    mwstore.Key
	holder HolderID
	ttl    time.Duration
	token  Token
	lost   chan struct{}

	mu    sync.Mutex
	rev   mwid.Revision
	since time.Time // since is when the write was sent that the table accepted last.
	over  bool
}

// HolderID identifies one holder of a lease.
type HolderID string

// Token is the fencing token of a holder. A later holder has a greater one.
type Token mwid.Revision

// state is the row of a lease.
type state struct {
	Holder HolderID
	// TTL is how long the row must stay unchanged before another takes it.
	TTL time.Duration
	// Free tells that the last holder gave the lease back.
	Free bool
}

// options are the settings of Acquire.
type options struct {
	ttl    time.Duration
	holder HolderID
}

// Option changes how Acquire works.
type Option = mwoption.Option[options]

// WithTTL sets how long the lease holds without renewal.
func WithTTL(d time.Duration) Option { return func(o *options) { o.ttl = d } }

// WithHolder sets the name of the holder, which must be unique; without it,
// it is random.
func WithHolder(h HolderID) Option { return func(o *options) { o.holder = h } }

// Times of a lease.
const (
	defaultTTL = 10 * time.Second
	// renewParts and heldParts divide the TTL: a holder renews after one part
	// of renewParts, and counts on the TTL less one part of heldParts.
	renewParts = 3
	heldParts  = 10
)

// Acquire waits until the lease with key k is this process's, or ctx is
// done. The returned function gives the lease back and ends its renewal.
func Acquire(ctx context.Context, t mwstore.Table, k mwstore.Key, opts ...Option) (*Lease, func(), error) {
	o := options{ttl: defaultTTL, holder: HolderID(mwid.NewAttemptID())}
	mwoption.Apply(&o, opts...)
	l := &Lease{table: t, key: k, holder: o.holder, ttl: o.ttl, lost: make(chan struct{})}
	if err := l.acquire(ctx); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for wait(ctx, l.ttl/renewParts) == nil {
			if !l.renew(ctx) {
				return
			}
		}
	}()
	return l, func() { cancel(); <-done; l.release() }, nil
}

// Token returns the fencing token.
func (l *Lease) Token() Token { return l.token }

// Fence returns a check for transactions that must fail when l was taken
// over.
func (l *Lease) Fence() mwstore.Check {
	return mwstore.Check{Key: fenceKey(l.key), Revision: mwid.Revision(l.token)}
}

// Lost returns a channel that is closed when the lease was lost. A paused
// process sees it late; see Held.
func (l *Lease) Lost() <-chan struct{} { return l.lost }

// Held returns nil while the lease holds by this process's clocks, else an
// error with the code mwcode.LeaseLost. A lapse is for good.
func (l *Lease) Held() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.over && passed(l.since, time.Now()) >= l.ttl-l.ttl/heldParts {
		l.end()
	}
	if l.over {
		return mwcode.New(mwcode.LeaseLost)
	}
	return nil
}

// end marks l as lost, under the lock.
func (l *Lease) end() {
	if !l.over {
		l.over = true
		close(l.lost)
	}
}

// passed returns the time between two instants by the clock that went
// further, monotonic or wall.
func passed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// fenceKey returns the key of the row that changes with each new holder.
func fenceKey(k mwstore.Key) mwstore.Key { return k + "/Fence" }
