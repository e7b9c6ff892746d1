// Package mwstoreclient decides how a node uses the platform's store: how
// long it waits, what it asks again, when it stops asking, what goes first,
// and how fast it goes. It works over any mwstore.Store.
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

// Client is a mwstore.Store that spares the store behind it.
//
//   - Each attempt has a deadline.
//   - A read that failed is asked again while the retry budget lasts. So is
//     any request that the store refused as over its rate, since that one did
//     nothing. A write without an answer is never sent again: only its sender
//     can tell whether that is safe.
//   - After failures in a row a breaker refuses at once and lets one request
//     through from time to time.
//   - A pacer for reads and one for writes give way to the more urgent use,
//     and adapt their rate to the store's refusals. No node knows how many
//     others there are; the store's refusals tell each the same.
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

// Option changes how New makes a Client.
type Option = mwoption.Option[options]

// WithTimeout bounds each attempt.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithReads sets the greatest rate of reads.
func WithReads(r mwunit.PerSecond) Option { return func(o *options) { o.reads = r } }

// WithWrites sets the greatest rate of writes.
func WithWrites(r mwunit.PerSecond) Option { return func(o *options) { o.writes = r } }

// WithMetrics sets where the Client counts.
func WithMetrics(s *metrics.Set) Option { return func(o *options) { o.metrics = s } }

// Settings that hold where no option changes them.
const (
	defaultTimeout                  = 2 * time.Second
	defaultReads   mwunit.PerSecond = 100
	defaultWrites  mwunit.PerSecond = 50
)

// New returns a Client of s. The returned function ends it; what waits then
// is refused.
func New(s mwstore.Store, opts ...Option) (*Client, func()) {
	o := options{
		timeout: defaultTimeout, reads: defaultReads, writes: defaultWrites,
		metrics: metrics.NewSet(),
	}
	mwoption.Apply(&o, opts...)
	reads, endReads := newPacer(o.reads)
	writes, endWrites := newPacer(o.writes)
	c := &Client{
		next: s, timeout: o.timeout, reads: reads, writes: writes,
		breaker: newBreaker(), budget: newBudget(),
	}
	c.stat = newStats(o.metrics, c)
	return c, func() { endReads(); endWrites() }
}

// Rates returns the present rates of reads and writes.
func (c *Client) Rates() (reads, writes mwunit.PerSecond) {
	return c.reads.current(), c.writes.current()
}

// Open tells whether the breaker refuses requests at present.
func (c *Client) Open() bool { return c.breaker.isOpen(time.Now()) }

// Get reads one row.
func (c *Client) Get(ctx context.Context, k mwstore.Key) (mwstore.Row, error) {
	return do(ctx, c, opGet, func(ctx context.Context) (mwstore.Row, error) {
		return c.next.Get(ctx, k)
	})
}

// Scan reads rows in order of key.
func (c *Client) Scan(ctx context.Context, prefix, after mwstore.Key, limit int) ([]mwstore.Row, error) {
	return do(ctx, c, opScan, func(ctx context.Context) ([]mwstore.Row, error) {
		return c.next.Scan(ctx, prefix, after, limit)
	})
}

// Commit runs t.
func (c *Client) Commit(ctx context.Context, t mwstore.Txn) (mwstore.Receipt, error) {
	return do(ctx, c, opCommit, func(ctx context.Context) (mwstore.Receipt, error) {
		return c.next.Commit(ctx, t)
	})
}

// PutObject stores an object.
func (c *Client) PutObject(ctx context.Context, k mwstore.Key, b []byte) error {
	_, err := do(ctx, c, opPut, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, c.next.PutObject(ctx, k, b)
	})
	return err
}

// GetObject returns an object.
func (c *Client) GetObject(ctx context.Context, k mwstore.Key) ([]byte, error) {
	return do(ctx, c, opObject, func(ctx context.Context) ([]byte, error) {
		return c.next.GetObject(ctx, k)
	})
}

// op is a kind of request.
type op int

const (
	opGet op = iota
	opScan
	opCommit
	opPut
	opObject
	ops
)

func (o op) isWrite() bool { return o == opCommit || o == opPut }

// do makes one request, again where that is safe and the budget allows.
func do[T any](ctx context.Context, c *Client, o op, f func(context.Context) (T, error)) (T, error) {
	p := c.reads
	if o.isWrite() {
		p = c.writes
	}
	for {
		v, err := attempt(ctx, c, p, o, f)
		code := mwcode.Of(err)
		c.stat.count(o, code)
		if !repeatable(o, code) || ctx.Err() != nil || c.Open() || !c.budget.take() {
			return v, err
		}
		c.stat.retries.Inc()
		if pause(ctx, retryPause()) != nil {
			return v, err
		}
	}
}

// repeatable tells whether a request that ended with c may be made again. A
// write that can't have been done is left to its sender too, unless the
// store itself said to come back later.
func repeatable(o op, c mwcode.Code) bool {
	return c == mwcode.StoreSlow || c == mwcode.StoreAway && !o.isWrite()
}

// leastTimeParts is the part of the timeout, one of leastTimeParts, that must
// be left for a request to be sent: one that is cut short has no known
// outcome.
const leastTimeParts = 20

// attempt makes one request when its turn has come.
func attempt[T any](
	ctx context.Context, c *Client, p *pacer, o op, f func(context.Context) (T, error),
) (T, error) {
	var zero T
	if !c.breaker.allow(time.Now()) {
		return zero, mwcode.New(mwcode.StoreAway, mwcode.Expected("the breaker to close"))
	}
	if err := p.wait(ctx, UseOf(ctx)); err != nil {
		c.breaker.abandon()
		return zero, err
	}
	if d, ok := ctx.Deadline(); ok && time.Until(d) < c.timeout/leastTimeParts {
		c.breaker.abandon()
		return zero, mwcode.New(mwcode.StoreSlow, mwcode.Expected("time for an answer"))
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	v, err := f(ctx)
	code := mwcode.Of(err)
	c.breaker.observe(time.Now(), code)
	p.observe(time.Now(), code)
	if code == mwcode.OK {
		c.budget.earn()
	}
	return v, err
}
