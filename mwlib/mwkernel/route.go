package mwkernel

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwset"
	"mustardwheel.example/mwlib/mwunit"
)

// routing is one call on its way to a target.
type routing struct {
	k       *Kernel
	c       *mwcall.Call
	ex      Exchange
	balance mwunit.Attempts
	tried   triedSet
}

// route sends c to a target's node, again where that is safe and the budget
// allows, and answers it.
func (k *Kernel) route(ctx context.Context, c *mwcall.Call, ex Exchange) {
	if !k.adopt(c) {
		c.Budget, c.HasBudget = 0, true
	}
	s, ok := k.snapshot()
	k.classify(c, s, ok)
	if !ok && !c.Class.Repeatable {
		ex.Refuse(mwcode.New(mwcode.NoConfiguration), mwcall.Head{Elsewhere: true})
		return
	}
	if !c.HasBudget {
		n, err := k.retry.Start(c)
		if err != nil {
			ex.Refuse(err, mwcall.Head{})
			return
		}
		c.Budget = n
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	r := &routing{k: k, c: c, ex: ex, balance: c.Budget, tried: mwset.New[mwid.NodeID]()}
	r.run(ctx)
}

// adopt makes a call by this VM's backend server part of the request that
// the backend server works on. It returns false where the call names a
// parent that is not open any more.
func (k *Kernel) adopt(c *mwcall.Call) bool {
	if c.Origin != mwcall.Local || c.Parent == "" {
		return true
	}
	acc, n, ok := k.accounts.draw(c.Parent)
	if !ok {
		return false
	}
	c.Root, c.Depth = acc.root, acc.depth+1
	c.Importance, c.HasImportance = acc.importance, true
	if c.Caller == "" {
		c.Caller = acc.caller
	}
	c.Budget, c.HasBudget = n, true
	return true
}

// run tries until an answer is out.
func (r *routing) run(ctx context.Context) {
	for {
		ans, h, err := r.try(ctx)
		if err != nil && ctx.Err() == nil && r.again(h) {
			continue
		}
		if err == nil && h.Failed && r.again(h) {
			ans.Drop()
			continue
		}
		r.answer(ans, h, err)
		return
	}
}

// again tells whether one more attempt is allowed after one that ended in h,
// and takes it from the budget.
func (r *routing) again(h mwcall.Head) bool {
	safe := h.Code.NotRun() || r.c.Class.Repeatable
	if !safe || !h.Elsewhere || r.balance < 1 || !r.ex.Resendable() {
		return false
	}
	if !r.k.retry.Allow(r.c, h) {
		return false
	}
	r.balance--
	r.k.stat.retries.Inc()
	return true
}

// answer sends ans, or refuses with err, and gives the rest of the budget
// back to the parent's account.
func (r *routing) answer(ans Answer, h mwcall.Head, err error) {
	h.Unused = r.balance
	if r.c.Origin == mwcall.Local && r.c.Parent != "" {
		r.k.accounts.restore(r.c.Parent, r.balance)
	}
	if err != nil {
		r.k.stat.refused(mwcode.Of(err))
		r.ex.Refuse(err, h)
		return
	}
	if !h.Failed {
		r.k.retry.Succeeded(r.c)
	}
	if err := ans.Send(h); err != nil {
		r.k.stat.cut.Inc()
	}
}

// try makes one attempt, with a hedge where the policy asks for one.
func (r *routing) try(ctx context.Context) (Answer, mwcall.Head, error) {
	d, ok := r.k.retry.HedgeAfter(r.c)
	if !ok || r.balance < 1 || !r.ex.Resendable() || !r.c.Class.Repeatable {
		return r.attempt(ctx, *r.c)
	}
	return r.hedged(ctx, d)
}

// attempt sends one copy of the call to one target. On an error the head's
// code is that of the error.
func (r *routing) attempt(ctx context.Context, c mwcall.Call) (Answer, mwcall.Head, error) {
	t, err := r.k.router.Pick(&c, r.k.member.Targets(c.Service), r.tried)
	if err != nil {
		return nil, mwcall.Head{Code: mwcode.Of(err)}, err
	}
	r.tried.Add(t.Node)
	return r.send(ctx, c, t)
}

func (r *routing) send(ctx context.Context, c mwcall.Call, t mwcall.Target) (Answer, mwcall.Head, error) {
	give := r.k.retry.Share(&c, r.balance)
	r.balance -= give
	c.Budget, c.HasBudget, c.Attempt = give, true, mwid.NewAttemptID()
	done := r.k.router.Begin(&c, t)
	start := time.Now()
	ans, err := r.forward(ctx, &c, t)
	s := mwcall.Sample{Took: time.Since(start), First: time.Since(start), Cancelled: ctx.Err() != nil}
	h := headOf(ans, err, give)
	s.Code, s.Failed = h.Code, h.Failed
	done(h, s)
	r.k.retry.Observe(&c, s)
	r.balance += min(h.Unused, give)
	return ans, h, err
}

// headOf returns the head of an attempt. What a call used that never left,
// or that was refused before it ran, comes back; of one with no known
// outcome, nothing does.
func headOf(ans Answer, err error, give mwunit.Attempts) mwcall.Head {
	if err == nil {
		return ans.Head()
	}
	h := mwcall.Head{Code: mwcode.Of(err), Elsewhere: true}
	if r, ok := RefusalOf(err); ok {
		h = r
	}
	if h.Code.NotRun() {
		h.Unused = give
	}
	return h
}

// forward takes c to the node of t, by a function call where that is this
// node.
func (r *routing) forward(ctx context.Context, c *mwcall.Call, t mwcall.Target) (Answer, error) {
	if t.Node != r.k.place.Node {
		return r.ex.Forward(ctx, c, t)
	}
	c.Origin = mwcall.Peer
	s, ok := r.k.snapshot()
	r.k.classify(c, s, ok)
	return r.k.deliver(ctx, c, r.ex)
}
