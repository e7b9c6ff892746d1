package mwbudget

import (
	"math"
	"sync/atomic"
	"time"

	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwunit"
)

// Tokens holds a token bucket for each key: ordinary events earn a fraction
// of a token, and an extra one spends a whole token. Extra events stay a
// bounded part of the ordinary ones that way, whatever their rate. A key that
// was not seen before starts with a full bucket, so that rare events pass.
//
// Keys may come from outside, so their number is bounded: keys beyond the
// bound share one bucket, and idle buckets go away.
type Tokens[K comparable] struct {
	opt   tokenOptions
	m     *mwshard.Map[K, bucket]
	count atomic.Int64
	swept atomic.Int64 // swept is the time of the last sweep, Unix nanoseconds.
	rest  K            // rest is the key of the bucket that surplus keys share.
}

type bucket struct {
	tokens micros
	used   time.Time
}

// micros counts millionths of a token. Sums of fractions are exact that way:
// ten times a tenth is a whole token.
type micros int64

const token micros = 1e6

// Defaults of Tokens.
const (
	DefaultReserve               = 10
	DefaultKeys                  = 4096
	DefaultIdle                  = time.Minute
	sweepDivisor   time.Duration = 2 // A sweep comes twice in each idle time.
)

type tokenOptions struct {
	reserve micros
	keys    int64
	idle    time.Duration
}

// TokenOption changes how NewTokens makes Tokens.
type TokenOption = mwoption.Option[tokenOptions]

// WithReserve sets how many tokens a bucket holds at most, and at first.
func WithReserve(n mwunit.Attempts) TokenOption {
	return func(o *tokenOptions) { o.reserve = micros(n) * token }
}

// WithKeys sets how many keys have a bucket of their own.
func WithKeys(n int) TokenOption { return func(o *tokenOptions) { o.keys = int64(n) } }

// WithIdle sets after which time a bucket that is not used goes away.
func WithIdle(d time.Duration) TokenOption { return func(o *tokenOptions) { o.idle = d } }

// NewTokens returns Tokens with full buckets.
func NewTokens[K comparable](opts ...TokenOption) *Tokens[K] {
	o := tokenOptions{reserve: DefaultReserve * token, keys: DefaultKeys, idle: DefaultIdle}
	mwoption.Apply(&o, opts...)
	return &Tokens[K]{opt: o, m: mwshard.New[K, bucket](mwshard.DefaultShards)}
}

// Earn puts n tokens into the bucket of k.
func (t *Tokens[K]) Earn(k K, n mwunit.Ratio, now time.Time) {
	earned := micros(math.Round(float64(n) * float64(token)))
	t.change(k, now, func(b *bucket) { b.tokens = min(b.tokens+earned, t.opt.reserve) })
}

// Spend takes one token from the bucket of k and tells whether there was one.
func (t *Tokens[K]) Spend(k K, now time.Time) bool {
	ok := false
	t.change(k, now, func(b *bucket) {
		if b.tokens >= token {
			b.tokens -= token
			ok = true
		}
	})
	return ok
}

// Left returns the part of the bucket of k that is full, 0 to 1.
func (t *Tokens[K]) Left(k K) mwunit.Ratio {
	b, ok := t.m.Get(t.keyOf(k))
	if !ok || t.opt.reserve <= 0 {
		return 1
	}
	return mwunit.Ratio(b.tokens) / mwunit.Ratio(t.opt.reserve)
}

// Len returns the number of buckets.
func (t *Tokens[K]) Len() int { return t.m.Len() }

func (t *Tokens[K]) change(k K, now time.Time, f func(*bucket)) {
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

// keyOf returns k, or the shared key where k is new and there is no room.
func (t *Tokens[K]) keyOf(k K) K {
	if t.count.Load() < t.opt.keys {
		return k
	}
	if _, ok := t.m.Get(k); ok {
		return k
	}
	return t.rest
}

// sweep deletes idle buckets, in the first call after the time for it.
func (t *Tokens[K]) sweep(now time.Time) {
	last := t.swept.Load()
	if now.UnixNano()-last < int64(t.opt.idle/sweepDivisor) {
		return
	}
	if !t.swept.CompareAndSwap(last, now.UnixNano()) || last == 0 {
		return
	}
	t.m.DeleteFunc(func(_ K, b bucket) bool {
		idle := now.Sub(b.used) >= t.opt.idle
		if idle {
			t.count.Add(-1)
		}
		return idle
	})
}
