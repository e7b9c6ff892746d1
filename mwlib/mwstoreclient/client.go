// Package mwstoreclient controls how a node uses the platform's store. It adds
// time-outs, retries within a budget, a circuit breaker, priorities and an
// adaptive rate limit to any mwstore.Store.
package mwstoreclient

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwunit"
)

// Client is a mwstore.Store that protects the store behind it from overload.
//
//   - Each attempt has a time-out.
//   - A failed read is retried within a retry budget. So is any request that
//     the store refused because its rate was exceeded, as such a request had no
//     effect. A write without an answer is never sent again, because only its
//     sender can decide whether that is safe.
//   - After several consecutive failures, a circuit breaker refuses requests
//     at once and lets a single probe through from time to time.
//   - One pacer for reads and one for writes serve the most urgent use first
//     and adapt their rate to the store's refusals. Nodes do not know how many
//     other nodes there are; the refusals are the only signal that they share.
type Client struct {
	next    mwstore.Store
	timeout time.Duration
	reads   *pacer
	writes  *pacer
	breaker *breaker
	budget  *budget
	stat    *stats
}

var _ mwstore.Store = (*Client)(nil)

// options are the settings of New.
type options struct {
	timeout time.Duration
	reads   mwunit.PerSecond
	writes  mwunit.PerSecond
	metrics *metrics.Set
}

// Option configures New.
type Option = mwoption.Option[options]

// WithTimeout sets the time-out of each attempt.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithReads sets the maximum rate of reads.
func WithReads(r mwunit.PerSecond) Option { return func(o *options) { o.reads = r } }

// WithWrites sets the maximum rate of writes.
func WithWrites(r mwunit.PerSecond) Option { return func(o *options) { o.writes = r } }

// WithMetrics sets the set in which the Client registers its metrics.
func WithMetrics(s *metrics.Set) Option { return func(o *options) { o.metrics = s } }

// Defaults of the options.
const (
	defaultTimeout                  = 2 * time.Second
	defaultReads   mwunit.PerSecond = 100
	defaultWrites  mwunit.PerSecond = 50
)

// New returns a Client of s. The returned function stops it: new requests are
// refused with mwcode.StoreAway, and requests that wait for a pacer are passed
// to s at once, which refuses them if it is closed.
func New(s mwstore.Store, opts ...Option) (*Client, func()) {
	o := options{
		timeout: defaultTimeout, reads: defaultReads, writes: defaultWrites,
		metrics: metrics.NewSet(),
	}
	mwoption.Apply(&o, opts...)
	reads, stopReads := newPacer(o.reads)
	writes, stopWrites := newPacer(o.writes)
	c := &Client{
		next: s, timeout: o.timeout, reads: reads, writes: writes,
		breaker: newBreaker(), budget: newBudget(),
	}
	c.stat = newStats(o.metrics, c)
	return c, func() { stopReads(); stopWrites() }
}

// Rates returns the current rates of reads and writes.
func (c *Client) Rates() (reads, writes mwunit.PerSecond) {
	return c.reads.current(), c.writes.current()
}

// BreakerOpen reports whether the breaker is open and no probe is due yet.
func (c *Client) BreakerOpen() bool { return c.breaker.isOpen(time.Now()) }

// Get reads one row.
func (c *Client) Get(ctx context.Context, k mwstore.Key) (mwstore.Row, error) {
	return do(ctx, c, opGet, func(ctx context.Context) (mwstore.Row, error) {
		return c.next.Get(ctx, k)
	})
}

// Scan reads rows sorted by key.
func (c *Client) Scan(ctx context.Context, prefix, after mwstore.Key, limit int) ([]mwstore.Row, error) {
	return do(ctx, c, opScan, func(ctx context.Context) ([]mwstore.Row, error) {
		return c.next.Scan(ctx, prefix, after, limit)
	})
}

// Commit executes t.
func (c *Client) Commit(ctx context.Context, t mwstore.Txn) (mwstore.Receipt, error) {
	return do(ctx, c, opCommit, func(ctx context.Context) (mwstore.Receipt, error) {
		return c.next.Commit(ctx, t)
	})
}

// PutObject stores an object.
func (c *Client) PutObject(ctx context.Context, k mwstore.Key, b []byte) error {
	_, err := do(ctx, c, opPutObject, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, c.next.PutObject(ctx, k, b)
	})
	return err
}

// GetObject returns an object.
func (c *Client) GetObject(ctx context.Context, k mwstore.Key) ([]byte, error) {
	return do(ctx, c, opGetObject, func(ctx context.Context) ([]byte, error) {
		return c.next.GetObject(ctx, k)
	})
}

// op is a kind of request.
type op int

const (
	opGet op = iota
	opScan
	opCommit
	opPutObject
	opGetObject
	numOps
)

func (o op) isWrite() bool { return o == opCommit || o == opPutObject }

// do makes one request and retries it if that is safe and the retry budget
// allows it.
func do[T any](ctx context.Context, c *Client, o op, f func(context.Context) (T, error)) (T, error) {
	p := c.reads
	if o.isWrite() {
		p = c.writes
	}
	for {
		v, err := attempt(ctx, c, p, o, f)
		code := mwcode.CodeOf(err)
		CountRequest(c.stat.set, opNames[o], UseFromContext(ctx), code)
		if !retryable(o, code) || ctx.Err() != nil || c.BreakerOpen() || !c.budget.take() {
			return v, err
		}
		c.stat.retries.Inc()
		if pause(ctx, retryPause()) != nil {
			return v, err
		}
	}
}

// retryable reports whether a request that ended with code c may be retried.
// StoreSlow means that the store refused the request because of its rate, so
// any request may be retried later. After StoreAway only reads are retried: the
// sender of a write decides whether to send it again, even though the write had
// no effect.
func retryable(o op, c mwcode.Code) bool {
	return c == mwcode.StoreSlow || c == mwcode.StoreAway && !o.isWrite()
}

// minTimeDivisor determines the minimum time, timeout/minTimeDivisor, that must
// remain until the deadline of a request when the request is sent. The outcome
// of a write sent with less time would often be unknown.
const minTimeDivisor = 20

// attempt waits for the pacer p and makes one request.
func attempt[T any](
	ctx context.Context, c *Client, p *pacer, o op, f func(context.Context) (T, error),
) (T, error) {
	var zero T
	if !c.breaker.allow(time.Now()) {
		return zero, mwcode.New(mwcode.StoreAway, mwcode.Expected("a closed circuit breaker"))
	}
	if err := p.wait(ctx, UseFromContext(ctx)); err != nil {
		c.breaker.abandon()
		return zero, err
	}
	if d, ok := ctx.Deadline(); ok && time.Until(d) < c.timeout/minTimeDivisor {
		c.breaker.abandon()
		return zero, mwcode.New(mwcode.StoreSlow, mwcode.Expected("more time before the deadline"))
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	v, err := f(ctx)
	code := mwcode.CodeOf(err)
	c.breaker.observe(time.Now(), code)
	p.observe(time.Now(), code)
	if code == mwcode.OK {
		c.budget.earn()
	}
	return v, err
}
