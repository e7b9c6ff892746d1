package mwkernel

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwunit"
)

// serveHere serves a call that another node forwarded to this one.
func (k *Kernel) serveHere(ctx context.Context, c *mwcall.Call, ex Exchange) {
	s, ok := k.snapshot()
	k.classify(c, s, ok)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	ans, err := k.deliver(ctx, c, ex)
	if err != nil {
		h, _ := RefusalHead(err)
		h.Code = mwcode.CodeOf(err)
		k.stat.countRefusal(h.Code)
		ex.Refuse(err, h)
		return
	}
	if err := ans.Send(ans.Head()); err != nil {
		k.stat.cut.Inc()
	}
}

// deliver passes c to this VM's backend server: it admits the call, claims it
// if it is not repeatable, and hands it over. The call's slot is freed when the
// backend server has sent its whole answer, or at the latest when the answer is
// sent to the caller or dropped.
func (k *Kernel) deliver(ctx context.Context, c *mwcall.Call, ex Exchange) (Answer, error) {
	if k.lifecycle.isLeaving() {
		return nil, refuse(mwcode.Draining, mwcall.Head{Unused: c.Budget, RetryElsewhere: true})
	}
	if _, err := k.backends.serving(c.Service); err != nil {
		return nil, refuse(mwcode.CodeOf(err), mwcall.Head{Unused: c.Budget, RetryElsewhere: true})
	}
	queued := time.Now()
	release, err := k.admit.Admit(ctx, c)
	if err != nil {
		k.logDeclined(c, mwcode.CodeOf(err))
		return nil, refuse(mwcode.CodeOf(err), k.refusalHead(c, err, time.Since(queued)))
	}
	p := &delivery{k: k, c: c, release: release, arrived: queued, wait: time.Since(queued)}
	returned := false
	defer func() {
		if !returned { // A panic must not keep the slot.
			p.finish(mwcode.Internal, false, true)
		}
	}()
	ans, err := p.run(ctx, ex)
	returned = true
	if err != nil {
		p.finish(mwcode.CodeOf(err), false, ctx.Err() != nil)
		return nil, err
	}
	return ans, nil
}

// refusalHead returns the head of a refusal by admission; spent is how long the
// call was queued.
func (k *Kernel) refusalHead(c *mwcall.Call, err error, spent time.Duration) mwcall.Head {
	code, l := mwcode.CodeOf(err), k.admit.Load(c.Service)
	return mwcall.Head{
		Unused:         c.Budget,
		RetryElsewhere: code != mwcode.DeadlinePassed && code != mwcode.CallerGone,
		Threshold:      l.Threshold, RetryAfter: l.RetryAfter(), Report: k.report(c, l, spent),
	}
}

// report returns the load l in the form that other nodes receive with the answer
// to c; spent is how long c was at this node.
func (k *Kernel) report(c *mwcall.Call, l Load, spent time.Duration) mwcall.Report {
	return mwcall.Report{
		InFlight: l.InFlight, Queued: l.Queued, Limit: l.Limit, Hold: l.Hold,
		Route: k.admit.Hold(c), Spent: spent,
	}
}

// delivery is one admitted call, from its admission to the end of its answer.
type delivery struct {
	k       *Kernel
	c       *mwcall.Call
	claim   Claim
	release Release
	arrived time.Time
	wait    time.Duration
	start   time.Time
	first   time.Duration
	cancel  context.CancelFunc // cancels the context of a claimed call
	ended   bool
}

// run claims c if it is not repeatable, and hands it over. The backend server may
// have left or been replaced since the call arrived, so run reads its announcement
// directly before the handover.
func (p *delivery) run(ctx context.Context, ex Exchange) (Answer, error) {
	if ans, err := p.acquireClaim(ctx, ex); ans != nil || err != nil {
		return ans, err
	}
	a, err := p.k.backends.serving(p.c.Service)
	if err != nil {
		p.recordNotRun()
		p.k.logDeclined(p.c, mwcode.CodeOf(err))
		return nil, refuse(mwcode.CodeOf(err), mwcall.Head{Unused: p.c.Budget, RetryElsewhere: true})
	}
	if ctx.Err() != nil {
		p.recordNotRun()
		return nil, refuse(mwcode.CodeOf(contextError(ctx)), mwcall.Head{Unused: p.c.Budget})
	}
	if p.claim != nil {
		if err := p.claim.Begin(); err != nil {
			return nil, refuse(mwcode.CodeOf(err), mwcall.Head{Unused: p.c.Budget})
		}
		ctx = p.detach(ctx)
	}
	p.k.accounts.Open(p.c.Attempt, parentOf(p.c), p.c.Budget)
	sent := *p.c
	sent.Deadline = p.c.Deadline.Add(-p.k.set.Relay.Margin)
	p.k.parents.add(&sent)
	p.start = time.Now()
	ans, err := ex.Deliver(ctx, &sent, a)
	p.first = time.Since(p.start)
	childFailed := p.k.parents.remove(p.c.Attempt)
	unused := p.k.accounts.Close(p.c.Attempt)
	if err != nil {
		return nil, p.handoverRefusal(err, unused)
	}
	if ans.Whole() {
		p.finish(mwcode.OK, ans.Head().Failed, false)
	}
	return &deliveredAnswer{Answer: ans, p: p, unused: unused, childFailed: childFailed}, nil
}

// detach returns a context for a claimed call that ends at the call's deadline,
// but not when the caller leaves. It is better to finish such a call, and to
// store its answer for the next request with the key, than to stop it halfway,
// because it cannot be repeated.
func (p *delivery) detach(ctx context.Context) context.Context {
	ctx, p.cancel = context.WithDeadline(context.WithoutCancel(ctx), p.c.Deadline)
	return ctx
}

// acquireClaim claims c. If the answer of an earlier attempt is stored, it
// returns that answer.
func (p *delivery) acquireClaim(ctx context.Context, ex Exchange) (Answer, error) {
	if p.c.Class.Repeatable {
		return nil, nil
	}
	if p.c.Key == "" {
		if !p.k.set.Claim.KeyRequired {
			return nil, nil
		}
		return nil, refuse(mwcode.NoKey, mwcall.Head{Unused: p.c.Budget})
	}
	claim, err := p.k.ledger.Claim(ctx, p.c)
	if err != nil {
		return nil, refuse(mwcode.CodeOf(err), mwcall.Head{Unused: p.c.Budget})
	}
	stored, ok := claim.StoredAnswer()
	if !ok {
		p.claim = claim
		return nil, nil
	}
	ans, err := ex.Replay(stored)
	if err != nil {
		return nil, refuse(mwcode.Held, mwcall.Head{})
	}
	return &deliveredAnswer{Answer: ans, p: p, unused: p.c.Budget}, nil
}

// handoverRefusal turns the error of a handover into a Refusal. Even a backend
// server that reports that it did not run the call may have made calls of its
// own, so unused can be less than the budget.
func (p *delivery) handoverRefusal(err error, unused mwunit.Attempts) error {
	code := mwcode.CodeOf(err)
	if code.NotRun() {
		p.recordNotRun()
	}
	return refuse(code, mwcall.Head{Unused: unused, RetryElsewhere: true})
}

// notRunTimeout bounds the write that records that a claimed call did not run.
const notRunTimeout = 2 * time.Second

// recordNotRun records that the claimed call did not run. It uses its own
// context, because that of the caller may have ended.
func (p *delivery) recordNotRun() {
	if p.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), notRunTimeout)
	defer cancel()
	if err := p.claim.RecordNotRun(ctx); err != nil {
		p.k.log.Warn("could not record that the claimed call did not run", "Key", p.c.Key, "Error", err)
	}
}

// finish frees the slot and records the result of the call. Only the first call
// of finish has an effect.
func (p *delivery) finish(code mwcode.Code, failed, cancelled bool) {
	if p.ended {
		return
	}
	p.ended = true
	s := mwcall.Sample{Wait: p.wait, First: p.first, Code: code, Failed: failed, Cancelled: cancelled}
	if !p.start.IsZero() {
		s.Took = time.Since(p.start)
	}
	p.release(s)
	if p.cancel != nil {
		p.cancel()
	}
	if s.Took > 0 && code == mwcode.OK {
		p.k.class.Observe(p.c, s)
	}
}

// deliveredAnswer is the answer of this VM's backend server, or the stored
// answer of an earlier attempt.
type deliveredAnswer struct {
	Answer
	p           *delivery
	unused      mwunit.Attempts
	childFailed bool // a call made by the backend server failed, and a retry elsewhere would not help
}

// Head returns the head of the answer with the unused budget and the present
// threshold and load of this node.
func (d *deliveredAnswer) Head() mwcall.Head {
	h := d.Answer.Head()
	h.Unused = d.unused
	l := d.p.k.admit.Load(d.p.c.Service)
	h.Threshold, h.Report = l.Threshold, d.p.k.report(d.p.c, l, time.Since(d.p.arrived))
	h.RetryElsewhere = h.RetryElsewhere && !d.childFailed
	return h
}

// Send sends the answer, frees the slot and stores the answer of a claimed
// call.
func (d *deliveredAnswer) Send(h mwcall.Head) error {
	code := mwcode.AnswerCut
	defer func() { d.p.finish(code, h.Failed, code != mwcode.OK) }()
	err := d.Answer.Send(h)
	if err == nil {
		code = mwcode.OK
	}
	if d.p.claim != nil {
		d.storeInBackground()
	}
	return err
}

// storeTimeout bounds the write that stores an answer.
const storeTimeout = 5 * time.Second

// storeInBackground stores the answer in a goroutine. The caller does not wait
// for that, but the drain of the node does.
func (d *deliveredAnswer) storeInBackground() {
	k, ok := d.Answer.Encoded()
	if !ok {
		return
	}
	kern := d.p.k
	kern.lifecycle.enter()
	go func() {
		defer kern.lifecycle.exit()
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := d.p.claim.Finish(ctx, k); err != nil {
			kern.log.Warn("could not store the answer of the claimed call", "Key", d.p.c.Key, "Error", err)
		}
	}()
}

// Drop drops the answer and frees the slot.
func (d *deliveredAnswer) Drop() {
	d.Answer.Drop()
	d.p.finish(d.Answer.Head().Code, d.Answer.Head().Failed, true)
}
