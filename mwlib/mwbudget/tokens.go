package mwbudget

import (
	"math"
	"sync/atomic"
	"time"

	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwunit"
)

// Tokens holds a token bucket for each key. An ordinary event earns a fraction
// of a token, and an extra event, such as a retry, spends a whole one, so that
// extra events stay a bounded fraction of the ordinary ones, whatever the rate
// of events. A new key starts with a full bucket, so that extra events are
// allowed even if events are rare.
//
// Keys may come from outside the process, so their number is limited: keys
// beyond the limit share one bucket, and idle buckets are deleted.
type Tokens[K comparable] struct {
	opt       tokenOptions
	m         *mwshard.Map[K, bucket]
	count     atomic.Int64
	swept     atomic.Int64 // swept is the time of the last sweep in Unix nanoseconds.
	sharedKey K            // sharedKey, the zero key, is the key of the shared bucket.
}

type bucket struct {
	tokens microTokens
	used   time.Time
}

// microTokens counts millionths of a token, so that sums of fractions are
// exact: ten times a tenth is a whole token.
type microTokens int64

const token microTokens = 1e6

// Defaults of the options of NewTokens.
const (
	DefaultReserve                   = 10
	DefaultMaxKeys                   = 4096
	DefaultIdleTimeout               = time.Minute
	sweepsPerIdle      time.Duration = 2 // sweepsPerIdle is the number of sweeps per idle timeout.
)

type tokenOptions struct {
	reserve     microTokens
	maxKeys     int64
	idleTimeout time.Duration
}

// TokenOption is an option of NewTokens.
type TokenOption = mwoption.Option[tokenOptions]

// WithReserve sets the capacity of a bucket, which is also its initial number
// of tokens.
func WithReserve(n mwunit.Attempts) TokenOption {
	return func(o *tokenOptions) { o.reserve = microTokens(n) * token }
}

// WithMaxKeys sets the number of keys that have a bucket of their own.
func WithMaxKeys(n int) TokenOption { return func(o *tokenOptions) { o.maxKeys = int64(n) } }

// WithIdleTimeout sets the time after which an unused bucket is deleted.
func WithIdleTimeout(d time.Duration) TokenOption { return func(o *tokenOptions) { o.idleTimeout = d } }

// NewTokens returns Tokens whose buckets start full.
func NewTokens[K comparable](opts ...TokenOption) *Tokens[K] {
	o := tokenOptions{reserve: DefaultReserve * token, maxKeys: DefaultMaxKeys, idleTimeout: DefaultIdleTimeout}
	mwoption.Apply(&o, opts...)
	return &Tokens[K]{opt: o, m: mwshard.New[K, bucket](mwshard.DefaultShards)}
}

// Earn adds n tokens to the bucket of k, up to its capacity.
func (t *Tokens[K]) Earn(k K, n mwunit.Ratio, now time.Time) {
	earned := microTokens(math.Round(float64(n) * float64(token)))
	t.update(k, now, func(b *bucket) { b.tokens = min(b.tokens+earned, t.opt.reserve) })
}

// Spend takes one token from the bucket of k and reports whether there was one.
func (t *Tokens[K]) Spend(k K, now time.Time) bool {
	ok := false
	t.update(k, now, func(b *bucket) {
		if b.tokens >= token {
			b.tokens -= token
			ok = true
		}
	})
	return ok
}

// Left returns the fill level of the bucket of k, from 0 to 1.
func (t *Tokens[K]) Left(k K) mwunit.Ratio {
	b, ok := t.m.Get(t.keyOf(k))
	if !ok || t.opt.reserve <= 0 {
		return 1
	}
	return mwunit.Ratio(b.tokens) / mwunit.Ratio(t.opt.reserve)
}

// Len returns the number of buckets.
func (t *Tokens[K]) Len() int { return t.m.Len() }

func (t *Tokens[K]) update(k K, now time.Time, f func(*bucket)) {
	t.sweep(now)
	t.m.Update(t.keyOf(k), func(b bucket, ok bool) (bucket, bool) {
		if !ok {
			b.tokens = t.opt.reserve
			t.count.Add(1)
		}
		b.used = now
		f(&b)
		return b, true
	})
}

// keyOf returns k, or the shared key if k is new and the limit is reached.
func (t *Tokens[K]) keyOf(k K) K {
	if t.count.Load() < t.opt.maxKeys {
		return k
	}
	if _, ok := t.m.Get(k); ok {
		return k
	}
	return t.sharedKey
}

// sweep deletes idle buckets, at most sweepsPerIdle times per idle timeout.
func (t *Tokens[K]) sweep(now time.Time) {
	last := t.swept.Load()
	if now.UnixNano()-last < int64(t.opt.idleTimeout/sweepsPerIdle) {
		return
	}
	if !t.swept.CompareAndSwap(last, now.UnixNano()) || last == 0 {
		return
	}
	t.m.DeleteFunc(func(_ K, b bucket) bool {
		idle := now.Sub(b.used) >= t.opt.idleTimeout
		if idle {
			t.count.Add(-1)
		}
		return idle
	})
}
