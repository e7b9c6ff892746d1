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

// pacer lets requests pass at a rate that it adapts, the most urgent first.
//
// A refusal by the store lowers the rate by a factor, at most once a period;
// each longer period in which requests had to wait raises it by a factor and a
// little more. Both factors are the same at every node, so the sum over all
// nodes falls and rises by them too, however many there are. A node that asks
// more is refused more often, so rates come closer to each other; the constant
// lets a node that was lowered most catch up.
type pacer struct {
	most mwunit.PerSecond
	wake chan struct{}

	mu      sync.Mutex
	rate    mwunit.PerSecond
	tokens  float64
	filled  time.Time // filled is when tokens was right.
	lowered time.Time
	raised  time.Time
	waited  bool // waited tells that a request had to wait since raised.
	waiting [uses][]chan struct{}
	ended   bool
}

// Steps of a pacer's rate.
const (
	lowerFactor                       = 0.7
	raiseFactor                       = 1.05
	raiseConstant    mwunit.PerSecond = 0.02
	leastRate        mwunit.PerSecond = 0.05
	mostRaises                        = 20.0
	raisePeriod                       = time.Second
	lowerPeriod                       = 500 * time.Millisecond
	burstTime                         = 200 * time.Millisecond
	leastBurst                        = 2.0
	lowerJitterParts                  = 0.2
)

// newPacer returns a pacer that starts at rate most and never exceeds it.
func newPacer(most mwunit.PerSecond) (*pacer, func()) {
	p := &pacer{
		most: max(most, leastRate), rate: max(most, leastRate),
		wake: make(chan struct{}, 1), filled: time.Now(), raised: time.Now(),
	}
	p.tokens = p.burst()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			d, some := p.serve(time.Now())
			if !p.sleep(ctx, d, some) {
				p.end()
				return
			}
		}
	}()
	return p, func() { cancel(); <-done }
}

// sleep waits until a waiting request can be served, for d where some wait,
// else for the next request; it returns false at the end.
func (p *pacer) sleep(ctx context.Context, d time.Duration, some bool) bool {
	var ready <-chan time.Time
	if some {
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
	return max(leastBurst, float64(p.rate)*burstTime.Seconds())
}

// fill adds the tokens of the time since the last call, under the lock.
func (p *pacer) fill(now time.Time) {
	p.tokens = min(p.burst(), p.tokens+float64(p.rate)*now.Sub(p.filled).Seconds())
	p.filled = now
}

// serve lets as many waiting requests pass as there are tokens for, and
// returns the time until the next token where some still wait.
func (p *pacer) serve(now time.Time) (d time.Duration, some bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill(now)
	for u := range p.waiting {
		for len(p.waiting[u]) > 0 && p.tokens >= 1 {
			p.tokens--
			close(p.waiting[u][0])
			p.waiting[u] = p.waiting[u][1:]
		}
		some = some || len(p.waiting[u]) > 0
	}
	missing := (1 - p.tokens) / float64(p.rate)
	return time.Duration(missing*float64(time.Second)) + time.Microsecond, some
}

// wait returns when the request may pass. Its error has the code
// mwcode.StoreSlow: nothing was sent.
func (p *pacer) wait(ctx context.Context, u Use) error {
	turn, err := p.join(time.Now(), u)
	if turn == nil {
		return err
	}
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		p.leave(u, turn)
		return mwcode.New(mwcode.StoreSlow, mwcode.Wrap(context.Cause(ctx)))
	}
}

// join takes a token where one is free and nobody waits, and returns nil;
// else it returns what is closed when the turn has come.
func (p *pacer) join(now time.Time, u Use) (chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return nil, mwcode.New(mwcode.StoreAway)
	}
	p.fill(now)
	if p.tokens >= 1 && !p.someWait() {
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

func (p *pacer) someWait() bool {
	for _, w := range p.waiting {
		if len(w) > 0 {
			return true
		}
	}
	return false
}

// leave takes a request that gave up out of the queue.
func (p *pacer) leave(u Use, turn chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[u] = slices.DeleteFunc(p.waiting[u], func(c chan struct{}) bool { return c == turn })
}

// observe adapts the rate to what the store answered.
func (p *pacer) observe(now time.Time, c mwcode.Code) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill(now)
	if c == mwcode.StoreSlow {
		p.lower(now)
		return
	}
	if n := now.Sub(p.raised) / raisePeriod; p.waited && n > 0 {
		p.raise(float64(n))
		p.raised, p.waited = now, false
	}
}

// raise raises the rate for n periods: a slow node hears from the store less
// often than once a period, and must not fall behind for that.
func (p *pacer) raise(n float64) {
	n = min(n, mostRaises)
	f := mwunit.PerSecond(math.Pow(raiseFactor, n))
	p.rate = min(p.most, p.rate*f+mwunit.PerSecond(n)*raiseConstant)
}

func (p *pacer) lower(now time.Time) {
	if now.Sub(p.lowered) < lowerPeriod {
		return
	}
	f := lowerFactor * (1 + lowerJitterParts*(rand.Float64()-0.5))
	p.rate = max(leastRate, p.rate*mwunit.PerSecond(f))
	p.tokens = min(p.tokens, p.burst())
	p.lowered = now
}

func (p *pacer) current() mwunit.PerSecond {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rate
}

// end lets all who wait pass; the store behind refuses them.
func (p *pacer) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for u := range p.waiting {
		for _, turn := range p.waiting[u] {
			close(turn)
		}
		p.waiting[u] = nil
	}
}
