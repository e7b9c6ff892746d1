package mwstoreclient

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// pacer limits requests to a rate that it adapts, and serves the most urgent
// Use first.
//
// A refusal by the store multiplies the rate by lowerFactor, at most once per
// lowerPeriod. If requests have had to wait since the last increase, the rate is
// multiplied by raiseFactor and increased by raiseConstant for each raisePeriod
// that has passed; raisePeriod is longer than lowerPeriod. All nodes use the
// same factors, so the sum of their rates falls and rises by these factors too,
// whatever the number of nodes. A node that sends more is refused more often, so
// the rates converge. raiseConstant lets the nodes whose rate was lowered most
// catch up.
type pacer struct {
	maxRate mwunit.PerSecond
	wake    chan struct{}

	mu        sync.Mutex
	rate      mwunit.PerSecond
	tokens    float64
	filledAt  time.Time // time up to which tokens is computed
	loweredAt time.Time
	raisedAt  time.Time
	waited    bool // whether a request had to wait since raisedAt
	waiting   [numUses][]chan struct{}
	stopped   bool
}

// Parameters of a pacer's rate.
const (
	lowerFactor                      = 0.7
	raiseFactor                      = 1.05
	raiseConstant   mwunit.PerSecond = 0.02
	minRate         mwunit.PerSecond = 0.05
	maxRaisePeriods                  = 20.0 // maximum number of periods that one raise covers
	raisePeriod                      = time.Second
	lowerPeriod                      = 500 * time.Millisecond
	burstTime                        = 200 * time.Millisecond // burst, as time at the current rate
	minBurst                         = 2.0                    // requests
	lowerJitter                      = 0.2                    // lowerFactor is multiplied by a random factor in 1 ± lowerJitter/2
)

// newPacer returns a pacer that starts at maxRate and never exceeds it.
// The returned function stops it.
func newPacer(maxRate mwunit.PerSecond) (*pacer, func()) {
	p := &pacer{
		maxRate: max(maxRate, minRate), rate: max(maxRate, minRate),
		wake: make(chan struct{}, 1), filledAt: time.Now(), raisedAt: time.Now(),
	}
	p.tokens = p.burst()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			d, waiting := p.serve(time.Now())
			if !p.sleep(ctx, d, waiting) {
				p.stop()
				return
			}
		}
	}()
	return p, func() { cancel(); <-done }
}

// sleep waits until the next call of serve is due: for d if requests are
// waiting, otherwise until a request arrives. It returns false once ctx is done.
func (p *pacer) sleep(ctx context.Context, d time.Duration, waiting bool) bool {
	var ready <-chan time.Time
	if waiting {
		t := mwtimer.NewTimer(d)
		defer t.Stop()
		ready = t.C
	}
	select {
	case <-ready:
	case <-p.wake:
	case <-ctx.Done():
		return false
	}
	return true
}

func (p *pacer) burst() float64 {
	return max(minBurst, float64(p.rate)*burstTime.Seconds())
}

// fill adds the tokens accumulated since the last call. The caller must hold
// p.mu.
func (p *pacer) fill(now time.Time) {
	p.tokens = min(p.burst(), p.tokens+float64(p.rate)*now.Sub(p.filledAt).Seconds())
	p.filledAt = now
}

// serve lets as many waiting requests pass as there are tokens. It returns the
// time until the next token and whether any requests still wait.
func (p *pacer) serve(now time.Time) (d time.Duration, waiting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill(now)
	for u := range p.waiting {
		for len(p.waiting[u]) > 0 && p.tokens >= 1 {
			p.tokens--
			close(p.waiting[u][0])
			p.waiting[u] = p.waiting[u][1:]
		}
		waiting = waiting || len(p.waiting[u]) > 0
	}
	missing := (1 - p.tokens) / float64(p.rate)
	return time.Duration(missing*float64(time.Second)) + time.Microsecond, waiting
}

// wait blocks until a request with use u may be sent. If ctx is done first, the
// error has the code mwcode.StoreSlow. If the pacer had stopped before the call,
// the error has the code mwcode.StoreAway. In both cases nothing was sent.
func (p *pacer) wait(ctx context.Context, u Use) error {
	turn, err := p.acquire(time.Now(), u)
	if turn == nil {
		return err
	}
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		p.cancel(u, turn)
		return mwcode.New(mwcode.StoreSlow, mwcode.Wrap(context.Cause(ctx)))
	}
}

// acquire takes a token and returns nil if one is available and no request
// waits. Otherwise it queues the request and returns a channel that is closed
// when the request may be sent.
func (p *pacer) acquire(now time.Time, u Use) (chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil, mwcode.New(mwcode.StoreAway)
	}
	p.fill(now)
	if p.tokens >= 1 && !p.hasWaiting() {
		p.tokens--
		return nil, nil
	}
	p.waited = true
	turn := make(chan struct{})
	p.waiting[u] = append(p.waiting[u], turn)
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return turn, nil
}

func (p *pacer) hasWaiting() bool {
	for _, w := range p.waiting {
		if len(w) > 0 {
			return true
		}
	}
	return false
}

// cancel removes a waiting request from the queue.
func (p *pacer) cancel(u Use, turn chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[u] = slices.DeleteFunc(p.waiting[u], func(c chan struct{}) bool { return c == turn })
}

// observe adapts the rate to the store's result code c.
func (p *pacer) observe(now time.Time, c mwcode.Code) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill(now)
	if c == mwcode.StoreSlow {
		p.lower(now)
		return
	}
	if n := now.Sub(p.raisedAt) / raisePeriod; p.waited && n > 0 {
		p.raise(float64(n))
		p.raisedAt, p.waited = now, false
	}
}

// raise increases the rate for n periods at once. A node with a low rate gets
// answers from the store less often than once per period, and would otherwise
// fall behind the other nodes.
func (p *pacer) raise(n float64) {
	n = min(n, maxRaisePeriods)
	f := mwunit.PerSecond(math.Pow(raiseFactor, n))
	p.rate = min(p.maxRate, p.rate*f+mwunit.PerSecond(n)*raiseConstant)
}

func (p *pacer) lower(now time.Time) {
	if now.Sub(p.loweredAt) < lowerPeriod {
		return
	}
	f := lowerFactor * (1 + lowerJitter*(rand.Float64()-0.5))
	p.rate = max(minRate, p.rate*mwunit.PerSecond(f))
	p.tokens = min(p.tokens, p.burst())
	p.loweredAt = now
}

func (p *pacer) current() mwunit.PerSecond {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rate
}

// stop stops the pacer and lets all waiting requests pass to the underlying
// store, which refuses them if it is closed.
func (p *pacer) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	for u := range p.waiting {
		for _, turn := range p.waiting[u] {
			close(turn)
		}
		p.waiting[u] = nil
	}
}
