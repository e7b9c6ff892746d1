package mwkernel

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwtimer"
)

// hedged makes an attempt at t and, if the head of its answer has not arrived
// after d, a second one at another target, which costs one retry of the
// budget. The first good answer is used; the other attempt is cancelled and
// its answer dropped.
func (r *routing) hedged(ctx context.Context, t mwcall.Target, d time.Duration) outcome {
	r.balance-- // Reserved for the second attempt until it starts or is not needed.
	first := r.start(ctx, t)
	timer := mwtimer.NewTimer(d)
	defer timer.Stop()
	select {
	case o := <-first.done:
		r.balance++
		return r.settle(first, o)
	case <-timer.C:
	}
	t, err := r.pick()
	if err != nil {
		r.balance++
		return r.settle(first, <-first.done)
	}
	r.k.stat.hedges.Inc()
	return r.race(first, r.start(ctx, t))
}

// attempt is one of two attempts that run concurrently.
type attempt struct {
	to     mwcall.Target
	done   chan outcome // receives one outcome; buffered, so that the sender never waits
	cancel context.CancelFunc
}

// start starts an attempt at t. The call counts as in flight until the attempt
// ends, even if nothing waits for its answer.
func (r *routing) start(ctx context.Context, t mwcall.Target) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{to: t, done: make(chan outcome, 1), cancel: cancel}
	budget := r.share()
	r.k.lifecycle.enter()
	go func() {
		defer r.k.lifecycle.exit()
		o := failedOutcome()
		defer func() { a.done <- o }()
		defer r.k.panics.Contain("hedge")
		o = r.send(ctx, t, budget)
	}()
	return a
}

// settle adds the result of attempt a to the state of the call. It returns o,
// with an answer that cancels the context of a when it is sent or dropped.
func (r *routing) settle(a *attempt, o outcome) outcome {
	r.balance += o.returned
	r.record(a.to, o)
	if o.err != nil {
		a.cancel()
		return o
	}
	o.ans = &cancellingAnswer{Answer: o.ans, cancel: a.cancel}
	return o
}

// race returns the first good outcome of two attempts, or the later outcome if
// neither is good. If the attempt that ends first is good, the other one is
// cancelled, and the budget sent with it counts as used, because nothing waits
// for the unused part of it.
func (r *routing) race(a, b *attempt) outcome {
	var o outcome
	select {
	case o = <-a.done:
	case o = <-b.done:
		a, b = b, a
	}
	if o.good() {
		b.cancel()
		r.k.lifecycle.enter()
		go func() {
			defer r.k.lifecycle.exit()
			defer r.k.panics.Contain("hedge")
			if late := <-b.done; late.ans != nil {
				late.ans.Drop()
			}
		}()
		return r.settle(a, o)
	}
	r.abandon(r.settle(a, o))
	a.cancel()
	return r.settle(b, <-b.done)
}

// cancellingAnswer is an answer that cancels the context of its attempt when it
// is sent or dropped.
type cancellingAnswer struct {
	Answer
	cancel context.CancelFunc
}

// Send sends the answer and cancels the context of its attempt.
func (a *cancellingAnswer) Send(h mwcall.Head) error {
	defer a.cancel()
	return a.Answer.Send(h)
}

// Drop drops the answer and cancels the context of its attempt.
func (a *cancellingAnswer) Drop() {
	a.Answer.Drop()
	a.cancel()
}
