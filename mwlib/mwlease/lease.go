// Package mwlease implements leases that are stored in the platform's table. At
// most one process at a time considers itself the holder of a lease, provided
// that the processes' clocks run at nearly the same rate. A holder that is paused
// right after it checked its clock may still act after the expiry. A fencing token
// covers such cases.
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

// Lease is a lease that this process holds or has held.
//
// Clocks of different processes are never compared. A waiter watches the lease's
// row and takes the lease over if the row has not changed for the TTL on the
// waiter's own clock. The holder counts from the time at which it sent the last
// write that the table accepted, and considers the lease expired somewhat before
// the TTL, so it detects the expiry before any waiter does. It uses the monotonic
// clock or the wall clock, whichever advanced further, since the monotonic clock
// of a paused VM may stand still.
//
// A holder may still be paused between reading its clock and acting on it. A
// transaction that must not happen after the expiry therefore includes the fence:
// a check of a row of its own, which only the next holder deletes. Outside the table,
// the Token has the same purpose, since it only increases.
//
// If the store comes back from a copy, the lease is what the copy says. A holder that
// the copy does not know fails the fence, since no other writes its row, and detects
// the loss with its next renewal; until then, Held and Token can't tell.
type Lease struct {
	table  mwstore.Table
	key    mwstore.Key
	holder HolderID
	ttl    time.Duration
	token  Token
	lost   chan struct{}

	mu        sync.Mutex
	rev       mwid.Revision
	renewedAt time.Time // when the last write that the table accepted was sent
	ended     bool
}

// HolderID identifies one holder of a lease.
type HolderID string

// WriteID identifies one write of the row of a lease.
type WriteID string

// Token is the fencing token of a holder. Each later holder has a greater token.
type Token mwid.Revision

// state is the row of a lease.
type state struct {
	Holder HolderID
	// TTL is how long the row must stay unchanged before another process may
	// take the lease over.
	TTL time.Duration
	// Free is set when the last holder has released the lease.
	Free bool
	// Write differs for each write, also if the store gives a revision out again.
	Write WriteID
}

// options are the settings of Acquire.
type options struct {
	ttl    time.Duration
	holder HolderID
}

// Option configures Acquire.
type Option = mwoption.Option[options]

// WithTTL sets how long the lease is valid without renewal.
func WithTTL(d time.Duration) Option { return func(o *options) { o.ttl = d } }

// WithHolder sets the ID of the holder, which must be unique. The default is
// random.
func WithHolder(h HolderID) Option { return func(o *options) { o.holder = h } }

// Timing of a lease.
const (
	defaultTTL = 10 * time.Second
	// renewDivisor and marginDivisor divide the TTL. A holder renews the lease
	// every TTL/renewDivisor, and considers it expired TTL/marginDivisor before
	// the end of the TTL.
	renewDivisor  = 3
	marginDivisor = 10
)

// Acquire waits until this process holds the lease with key k, or ctx is done.
// The returned function stops the renewal and releases the lease.
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
		for wait(ctx, l.ttl/renewDivisor) == nil {
			if !l.renew(ctx) {
				return
			}
		}
	}()
	return l, func() { cancel(); <-done; l.release() }, nil
}

// Token returns the fencing token.
func (l *Lease) Token() Token { return l.token }

// Fence returns a check that makes a transaction fail if another holder has
// taken the lease over.
func (l *Lease) Fence() mwstore.Check {
	return mwstore.Check{Key: l.fenceKey(l.holder), Revision: mwid.Revision(l.token)}
}

// Lost returns a channel that is closed when the lease is lost or released. A
// process that was paused may see this late; see Held.
func (l *Lease) Lost() <-chan struct{} { return l.lost }

// Held returns nil while the lease is valid by this process's clocks, else an
// error with the code mwcode.LeaseLost. An expired lease never becomes valid
// again.
func (l *Lease) Held() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended && elapsed(l.renewedAt, time.Now()) >= l.ttl-l.ttl/marginDivisor {
		l.markLost()
	}
	if l.ended {
		return mwcode.New(mwcode.LeaseLost)
	}
	return nil
}

// markLost marks l as lost. The caller must hold l.mu.
func (l *Lease) markLost() {
	if !l.ended {
		l.ended = true
		close(l.lost)
	}
}

// elapsed returns the time between two instants by the monotonic or the wall
// clock, whichever advanced further.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// fenceKey returns the key of the row that exists while h is the last holder.
func (l *Lease) fenceKey(h HolderID) mwstore.Key { return l.key + "/Fence/" + mwstore.Key(h) }
