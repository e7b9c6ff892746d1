package mwkernel

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
)

// outcome is what one of two attempts came to.
type outcome struct {
	ans   Answer
	h     mwcall.Head
	err   error
	hedge bool
}

func (o outcome) good() bool { return o.err == nil && !o.h.Failed }

// hedged makes one attempt and, where no head is there after d, a second one
// at another target, paid from the budget. The first good answer counts; the
// other attempt is cancelled and its answer dropped.
func (r *routing) hedged(ctx context.Context, d time.Duration) (Answer, mwcall.Head, error) {
	r.balance-- // Held for the hedge until it is known whether it starts.
	first, stopFirst := r.start(ctx, false)
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case o := <-first.done:
		r.balance++
		return r.settle(first, o, stopFirst)
	case <-timer.C:
	}
	t, err := r.k.router.Pick(r.c, r.k.member.Targets(r.c.Service), r.tried)
	if err != nil {
		r.balance++
		return r.settle(first, <-first.done, stopFirst)
	}
	r.tried.Add(t.Node)
	r.k.stat.hedges.Inc()
	second, stopSecond := r.startAt(ctx, t, true)
	return r.race(first, second, stopFirst, stopSecond)
}

// lane is one running attempt; it works on a routing of its own, whose
// balance is settled when the attempt is over.
type lane struct {
	r    *routing
	done chan outcome
}

// start picks a target and starts an attempt that holds the whole balance.
func (r *routing) start(ctx context.Context, hedge bool) (*lane, context.CancelFunc) {
	t, err := r.k.router.Pick(r.c, r.k.member.Targets(r.c.Service), r.tried)
	if err != nil {
		l := &lane{r: &routing{balance: r.balance}, done: make(chan outcome, 1)}
		r.balance = 0
		l.done <- outcome{h: mwcall.Head{Code: mwcode.Of(err)}, err: err, hedge: hedge}
		return l, func() {}
	}
	r.tried.Add(t.Node)
	return r.startAt(ctx, t, hedge)
}

func (r *routing) startAt(ctx context.Context, t mwcall.Target, hedge bool) (*lane, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	l := &lane{
		r:    &routing{k: r.k, c: r.c, ex: r.ex, balance: r.balance},
		done: make(chan outcome, 1),
	}
	r.balance = 0
	go func() {
		ans, h, err := l.r.send(ctx, *l.r.c, t)
		l.done <- outcome{ans: ans, h: h, err: err, hedge: hedge}
	}()
	return l, cancel
}

// settle takes the result of the only attempt left.
func (r *routing) settle(l *lane, o outcome, stop context.CancelFunc) (Answer, mwcall.Head, error) {
	r.balance += l.r.balance
	if o.err != nil {
		stop()
		return nil, o.h, o.err
	}
	return &bound{Answer: o.ans, stop: stop}, o.h, nil
}

// race returns the first good result of two attempts, or else the last one.
func (r *routing) race(a, b *lane, stopA, stopB context.CancelFunc) (Answer, mwcall.Head, error) {
	var o outcome
	select {
	case o = <-a.done:
	case o = <-b.done:
		a, b = b, a
		stopA, stopB = stopB, stopA
	}
	if o.good() {
		stopB()
		go discard(b.done)
		return r.settle(a, o, stopA)
	}
	r.balance += a.r.balance
	if o.ans != nil {
		o.ans.Drop()
	}
	stopA()
	return r.settle(b, <-b.done, stopB)
}

// discard drops the late answer of an attempt that lost.
func discard(ch <-chan outcome) {
	if o := <-ch; o.ans != nil {
		o.ans.Drop()
	}
}

// bound is an answer whose context ends with it.
type bound struct {
	Answer
	stop context.CancelFunc
}

// Send sends the answer and ends its context.
func (b *bound) Send(h mwcall.Head) error {
	defer b.stop()
	return b.Answer.Send(h)
}

// Drop drops the answer and ends its context.
func (b *bound) Drop() {
	b.Answer.Drop()
	b.stop()
}
