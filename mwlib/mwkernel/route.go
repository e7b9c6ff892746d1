package mwkernel

import (
	"context"
	"slices"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwset"
	"mustardwheel.example/mwlib/mwunit"
)

// routing is one call on its way to a target. Only the goroutine that serves
// the call changes it.
type routing struct {
	k       *Kernel
	c       *mwcall.Call
	ex      Exchange
	balance mwunit.Attempts
	tried   triedSet
	prior   outcome // prior is the attempt that says most of those given up.
	// redirects counts the free attempts so far.
	redirects int
	steps     []step
	came      time.Time
	// reached are the targets whose backend server may have got the call, and
	// declined those of them that said that they did not run it.
	reached  triedSet
	declined triedSet
	// denied tells that the policy or the route allowed no further attempt. A
	// whole run of the call's parent elsewhere would meet the same bound, and
	// cost more.
	denied bool
}

// maxRedirects is how often a call may go on, free of budget, from a target
// that can't take it.
const maxRedirects = 2

// maxAttempts is the most attempts of one call, beside redirects. A service
// that declines 55 in 100 calls takes 99 in 100 within 8; one that declines
// more is full, and further attempts would only add to its load.
const maxAttempts = 8

// HopRetries is a RetryPolicy that gives each hop retries of its own,
// whatever budget comes with a call. Nothing bounds the retries of a whole
// request then; it serves to compare.
type HopRetries interface {
	RetryPolicy
	// Hop returns the retries of each hop.
	Hop() mwunit.Attempts
}

// route sends c to a target's node, again where that is safe and the budget
// allows, and answers it.
func (k *Kernel) route(ctx context.Context, c *mwcall.Call, ex Exchange) {
	k.adopt(c)
	s, ok := k.snapshot()
	if err := k.resolve(c, s, ok); err != nil {
		k.refuse(c, ex, err)
		return
	}
	k.classify(c, s, ok)
	r := &routing{
		k: k, c: c, ex: ex, came: time.Now(), balance: c.Budget, tried: mwset.New[mwid.NodeID](),
		reached: mwset.New[mwid.NodeID](), declined: mwset.New[mwid.NodeID](),
	}
	if err := r.begin(ok); err != nil {
		r.answer(outcome{err: err, h: mwcall.Head{Elsewhere: true}})
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	k.retry.Began(c)
	r.run(ctx)
}

// refuse answers a call that goes nowhere.
func (k *Kernel) refuse(c *mwcall.Call, ex Exchange, err error) {
	code := mwcode.Of(err)
	k.stat.refused(code)
	ex.Refuse(err, mwcall.Head{Code: code, Unused: c.Budget})
}

// begin checks that the call may start and gives a root call its budget;
// configured tells whether the node has a configuration.
func (r *routing) begin(configured bool) error {
	if r.c.Depth > mwunit.MaxDepth {
		return mwcode.New(mwcode.TooDeep)
	}
	if !configured && !r.c.Class.Repeatable {
		return mwcode.New(mwcode.NoConfiguration)
	}
	if !r.c.HasBudget {
		n, err := r.k.retry.Start(r.c)
		if err != nil {
			return err
		}
		r.c.Budget, r.balance = n, n
	}
	if p, ok := r.k.retry.(HopRetries); ok {
		r.balance = p.Hop()
	}
	return nil
}

// run tries until an answer is out.
func (r *routing) run(ctx context.Context) {
	for {
		o := r.try(ctx)
		if o.good() || ctx.Err() != nil || !r.again(o.h) {
			r.answer(o)
			return
		}
		r.giveUp(o)
	}
}

// again tells whether one more attempt is allowed after one that ended in h,
// and takes it from the budget.
func (r *routing) again(h mwcall.Head) bool {
	safe := h.Code.NotRun() || r.c.Class.Repeatable
	if !safe || !h.Elsewhere || !r.ex.Resendable() {
		return false
	}
	if r.redirected(h.Code) {
		return true
	}
	if r.balance < 1 || len(r.steps)-r.redirects >= maxAttempts {
		return false
	}
	if r.targetsUsedUp() && !h.Code.NotRun() || !r.k.retry.Allow(r.c, h) {
		r.denied = true
		return false
	}
	r.balance--
	r.k.stat.retries.Inc()
	return true
}

// targetsUsedUp tells whether the call was sent to as many targets as its
// route allows. It then goes again only to one of these that did not run it.
func (r *routing) targetsUsedUp() bool {
	most := r.c.Class.MaxTargets
	return most > 0 && mwunit.Attempts(len(r.reached)) >= most
}

// redirected tells whether an attempt that ended with code c is followed by
// one that costs no budget: its target is leaving, gone or full, which other
// nodes may not have heard yet. The target's node alone refused it, so that
// no backend server had work of it, and such attempts do not multiply along a
// chain.
func (r *routing) redirected(c mwcode.Code) bool {
	switch c {
	case mwcode.Draining, mwcode.NoBackend, mwcode.ConnectFailed,
		mwcode.Overloaded, mwcode.DeadlineTooShort, mwcode.LaneFull:
	default:
		return false
	}
	if r.redirects >= maxRedirects {
		return false
	}
	r.redirects++
	r.k.stat.redirects.Inc()
	return true
}

// giveUp notes an attempt that is followed by another one, and keeps in mind
// whether it may have run. A failure that the backend server itself answered
// is kept where it is whole, as the caller gets it where the next attempt
// comes to less.
func (r *routing) giveUp(o outcome) {
	if o.ans != nil && (r.prior.ans != nil || !o.ans.Whole()) {
		o.ans.Drop()
		o.h.Code, o.h.Failed = mwcode.BackendUnavailable, false
		o = outcome{h: o.h, err: mwcode.New(mwcode.BackendUnavailable)}
	}
	switch {
	case r.prior.ans != nil:
	case o.ans != nil, r.prior.err == nil, r.prior.h.Code.NotRun():
		r.prior = o
	}
}

// verdict returns what the caller is told where the last attempt ended in o.
// A call of which any attempt may have run is never said not to have run; and
// that no target is left says less than why the others were given up.
func (r *routing) verdict(o outcome) outcome {
	if p := r.prior.ans; p != nil {
		if o.err != nil {
			return r.prior
		}
		p.Drop()
		return o
	}
	if o.err == nil || r.prior.err == nil {
		return o
	}
	if o.unsent || o.h.Code.NotRun() && !r.prior.h.Code.NotRun() {
		return r.prior
	}
	return o
}

// answer sends the answer of o, or refuses with its error, and gives the rest
// of the budget back to the parent's account.
func (r *routing) answer(o outcome) {
	o = r.verdict(o)
	o.h.Unused = r.balance
	if r.c.Parent != "" && !o.good() && (r.denied || o.h.Code.NotRun()) {
		r.k.parents.fail(r.c.Parent)
	}
	if r.c.Origin == mwcall.Local && r.c.Parent != "" {
		r.k.accounts.Restore(r.c.Parent, r.balance)
	}
	r.logEnd(mwcode.Of(o.err), o.h.Failed, o.h)
	r.k.stat.ended(mwcode.Of(o.err), o.h.Failed, time.Since(r.came))
	if o.err != nil {
		r.k.stat.refused(mwcode.Of(o.err))
		err := ofKey(r.c, o.err)
		o.h.Code = mwcode.Of(err)
		r.ex.Refuse(err, o.h)
		return
	}
	if !o.h.Failed {
		r.k.retry.Succeeded(r.c)
	}
	if err := o.ans.Send(o.h); err != nil {
		r.k.stat.cut.Inc()
	}
}

// ofKey returns what the caller of c is told for err. A refusal knows that
// this attempt did not run, but of work with a key the caller asks whether the
// key's work ran: an earlier attempt may have, unless the caller declares that
// there was none.
func ofKey(c *mwcall.Call, err error) error {
	if c.Key == "" || c.First || c.Class.Repeatable || !mwcode.Of(err).NotRun() {
		return err
	}
	return mwcode.New(mwcode.KeyUnproven, mwcode.Wrap(err))
}

// outcome is what one attempt came to: an answer or an error.
type outcome struct {
	ans Answer
	h   mwcall.Head
	err error
	// back is what came back of the budget that went down.
	back mwunit.Attempts
	step step
	// unsent tells that no target was found to send the call to.
	unsent bool
}

func (o outcome) good() bool { return o.err == nil && !o.h.Failed }

// try makes one attempt, with a hedge where the policy asks for one.
func (r *routing) try(ctx context.Context) outcome {
	t, err := r.pick()
	if err != nil {
		h, _ := RefusalOf(err)
		h.Code = mwcode.Of(err)
		return outcome{h: h, err: err, unsent: true}
	}
	if r.balance >= 1 && r.c.Class.Repeatable && r.ex.Held() {
		if d, ok := r.k.retry.HedgeAfter(r.c); ok {
			return r.hedged(ctx, t, d)
		}
	}
	o := r.send(ctx, t, r.share())
	r.balance += o.back
	r.note(t, o)
	return o
}

// note keeps in mind what an attempt at t came to.
func (r *routing) note(t mwcall.Target, o outcome) {
	r.steps = append(r.steps, o.step)
	if o.h.Code.NotRun() && o.h.Code != mwcode.BackendFull {
		return
	}
	r.c.Repeated = true
	r.reached.Add(t.Node)
	if o.h.Code == mwcode.BackendFull {
		r.declined.Add(t.Node)
	}
}

// pick returns a target that was not tried yet. Where none is left or the
// call's route allows no more, it is one that did not run the call.
func (r *routing) pick() (mwcall.Target, error) {
	ts := r.k.member.Targets(r.c.Service)
	if r.targetsUsedUp() {
		return r.pickDeclined(ts)
	}
	t, err := r.k.router.Pick(r.c, ts, r.tried)
	if err != nil && r.c.Class.MaxTargets > 0 && len(r.declined) > 0 {
		return r.pickDeclined(ts)
	}
	if err == nil {
		r.tried.Add(t.Node)
	}
	return t, err
}

// pickDeclined returns one of the targets that said that they did not run the
// call.
func (r *routing) pickDeclined(ts []mwcall.Target) (mwcall.Target, error) {
	ts = slices.DeleteFunc(slices.Clone(ts), func(t mwcall.Target) bool { return !r.declined.Has(t.Node) })
	return r.k.router.Pick(r.c, ts, mwset.New[mwid.NodeID]())
}

// share takes what goes down with the next attempt from the balance.
func (r *routing) share() mwunit.Attempts {
	give := min(max(r.k.retry.Share(r.c, r.balance), 0), r.balance)
	r.balance -= give
	return give
}

// send sends a copy of the call, with the budget give, to t. It changes
// nothing in r, so that two may run at the same time.
func (r *routing) send(ctx context.Context, t mwcall.Target, give mwunit.Attempts) outcome {
	c := *r.c
	c.Budget, c.HasBudget, c.Attempt = give, true, mwid.NewAttemptID()
	done := r.k.router.Begin(&c, t)
	start := time.Now()
	ans, err := r.forward(ctx, &c, t)
	took := time.Since(start)
	h := headOf(ans, err, give)
	s := mwcall.Sample{
		Took: took, First: took, Code: h.Code, Failed: h.Failed, Cancelled: ctx.Err() != nil,
	}
	done(h, s)
	r.k.retry.Observe(&c, s)
	return outcome{
		ans: ans, h: h, err: err, back: min(max(h.Unused, 0), give),
		step: step{t.Node, t.Zone, mwcode.Of(err), h.Failed, took, h.Threshold},
	}
}

// headOf returns the head of an attempt. A refusal by another node says what
// is unused. What went down with a call that never left comes back; of one
// with no known outcome, nothing does.
func headOf(ans Answer, err error, give mwunit.Attempts) mwcall.Head {
	if err == nil {
		return ans.Head()
	}
	if h, ok := RefusalOf(err); ok {
		return h
	}
	h := mwcall.Head{Code: mwcode.Of(err), Elsewhere: true}
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
