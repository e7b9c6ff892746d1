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

// routing is the state of one call while it is routed. Only the goroutine that
// serves the call changes it.
type routing struct {
	k       *Kernel
	c       *mwcall.Call
	ex      Exchange
	balance mwunit.Attempts
	tried   nodeSet
	prior   outcome // outcome of an abandoned attempt, which finalOutcome may prefer to that of the last one
	// redirects counts the attempts so far that cost no budget because the
	// previous target could not take the call.
	redirects int
	attempts  []attemptLog
	arrived   time.Time
	// reached holds the targets whose backend server may have got the call;
	// declined holds those of them that reported that they did not run it.
	reached  nodeSet
	declined nodeSet
	// denied means that the retry policy or the target limit of the route
	// allowed no further attempt. Another run of the call's parent would meet
	// the same limit and cost more.
	denied bool
}

// maxRedirects is the maximum number of attempts of one call that cost no
// budget because the previous target could not take the call.
const maxRedirects = 2

// maxAttempts is the maximum number of attempts of one call, not counting
// redirects. If a service declines 55% of all attempts, at least one of 8
// attempts succeeds for 99% of the calls. A service that declines more is full,
// and further attempts would only add to its load.
const maxAttempts = 8

// HopRetries is a RetryPolicy that gives each hop its own retries and ignores
// the budget with which a call arrives. The retries of a whole request are then
// unbounded; the policy exists for comparison.
type HopRetries interface {
	RetryPolicy
	// RetriesPerHop returns the number of retries at each hop.
	RetriesPerHop() mwunit.Attempts
}

// route sends c to the node of a target, retries it if that is safe and the
// budget allows, and answers it.
func (k *Kernel) route(ctx context.Context, c *mwcall.Call, ex Exchange) {
	k.inheritFromParent(c)
	s, ok := k.snapshot()
	if err := k.resolve(c, s, ok); err != nil {
		k.refuse(c, ex, err)
		return
	}
	k.classify(c, s, ok)
	r := &routing{
		k: k, c: c, ex: ex, arrived: time.Now(), balance: c.Budget, tried: mwset.New[mwid.NodeID](),
		reached: mwset.New[mwid.NodeID](), declined: mwset.New[mwid.NodeID](),
	}
	if err := r.begin(ok); err != nil {
		r.answer(outcome{err: err, h: mwcall.Head{RetryElsewhere: true}})
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	k.retry.FirstAttempt(c)
	r.run(ctx)
}

// refuse refuses a call without sending it to any target.
func (k *Kernel) refuse(c *mwcall.Call, ex Exchange, err error) {
	code := mwcode.CodeOf(err)
	k.stat.countRefusal(code)
	ex.Refuse(err, mwcall.Head{Code: code, Unused: c.Budget})
}

// refuseClosed refuses a call that arrived after Close.
func (k *Kernel) refuseClosed(c *mwcall.Call, ex Exchange) {
	k.log.Info(eventRefused, "ID", c.ID, "Root", c.Root, "Service", c.Service,
		"Code", int(mwcode.Draining), "Reason", mwcode.Draining.String())
	k.stat.countRefusal(mwcode.Draining)
	ex.Refuse(mwcode.New(mwcode.Draining), mwcall.Head{Unused: c.Budget, RetryElsewhere: true})
}

// begin checks that the call may start and sets the budget of a root call;
// configured means that the node has a configuration.
func (r *routing) begin(configured bool) error {
	if r.c.Depth > mwunit.MaxDepth {
		return mwcode.New(mwcode.TooDeep)
	}
	if !configured && !r.c.Class.Repeatable {
		return mwcode.New(mwcode.NoConfiguration)
	}
	if !r.c.HasBudget {
		n, err := r.k.retry.RootBudget(r.c)
		if err != nil {
			return err
		}
		r.c.Budget, r.balance = n, n
	}
	if p, ok := r.k.retry.(HopRetries); ok {
		r.balance = p.RetriesPerHop()
	}
	return nil
}

// run makes attempts until one succeeds or no other is allowed, and answers
// the call.
func (r *routing) run(ctx context.Context) {
	for {
		o := r.try(ctx)
		if o.good() || ctx.Err() != nil || !r.takeRetry(o.h) {
			r.answer(o)
			return
		}
		r.abandon(o)
	}
}

// takeRetry reports whether one more attempt is allowed after one that ended in
// h. If so, it takes the cost of that attempt from the budget.
func (r *routing) takeRetry(h mwcall.Head) bool {
	safe := h.Code.NotRun() || r.c.Class.Repeatable
	if !safe || !h.RetryElsewhere || !r.ex.Resendable() {
		return false
	}
	if r.takeRedirect(h.Code) {
		return true
	}
	if r.balance < 1 || len(r.attempts)-r.redirects >= maxAttempts {
		return false
	}
	if r.targetLimitReached() && !h.Code.NotRun() || !r.k.retry.Allow(r.c, h) {
		r.denied = true
		return false
	}
	r.balance--
	r.k.stat.retries.Inc()
	return true
}

// targetLimitReached reports whether the call may have run at as many targets
// as its route allows. It may then only be sent again to those of them that
// declined it.
func (r *routing) targetLimitReached() bool {
	limit := r.c.Class.MaxTargets
	return limit > 0 && mwunit.Attempts(len(r.reached)) >= limit
}

// takeRedirect reports whether an attempt that ended with code c is followed by
// one that costs no budget, and counts it. That is the case if the target is
// leaving, gone or full, or could not finish the call before its deadline, which
// other nodes may not know yet. Since the call did not reach a backend server,
// none did work for it, and such attempts do not multiply along a chain of calls.
func (r *routing) takeRedirect(c mwcode.Code) bool {
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

// abandon records an attempt that is followed by another one, including whether
// it may have run. It keeps the first failure answer of a backend server that
// was received completely: the caller gets that answer if the last attempt ends
// in an error.
func (r *routing) abandon(o outcome) {
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

// finalOutcome returns the outcome reported to the caller when the last attempt
// ended in o. A call is never reported as not run if any of its attempts may
// have run. An earlier error is preferred to the error that no target remains.
func (r *routing) finalOutcome(o outcome) outcome {
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
	if o.noTarget || o.h.Code.NotRun() && !r.prior.h.Code.NotRun() {
		return r.prior
	}
	return o
}

// answer sends the answer of o, or refuses the call with the error of o, and
// returns the remaining budget to the parent's account.
func (r *routing) answer(o outcome) {
	o = r.finalOutcome(o)
	o.h.Unused = r.balance
	if r.c.Parent != "" && !o.good() && (r.denied || o.h.Code.NotRun()) {
		r.k.parents.markChildFailed(r.c.Parent)
	}
	if r.c.Origin == mwcall.Local && r.c.Parent != "" {
		r.k.accounts.Restore(r.c.Parent, r.balance)
	}
	r.logEnd(mwcode.CodeOf(o.err), o.h.Failed, o.h)
	r.k.stat.recordCall(mwcode.CodeOf(o.err), o.h.Failed, time.Since(r.arrived))
	if o.err != nil {
		r.k.stat.countRefusal(mwcode.CodeOf(o.err))
		err := keyedError(r.c, o.err)
		o.h.Code = mwcode.CodeOf(err)
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

// keyedError returns the error reported to the caller of c for err. A refusal
// means that this attempt did not run. For a call with a key, however, the
// caller needs to know whether any attempt with that key ran. An earlier one
// may have, unless the caller declares this attempt to be the first.
func keyedError(c *mwcall.Call, err error) error {
	if c.Key == "" || c.First || c.Class.Repeatable || !mwcode.CodeOf(err).NotRun() {
		return err
	}
	return mwcode.New(mwcode.KeyUnproven, mwcode.Wrap(err))
}

// outcome is the result of one attempt: an answer or an error.
type outcome struct {
	ans Answer
	h   mwcall.Head
	err error
	// returned is the unused part of the budget sent with the attempt.
	returned mwunit.Attempts
	log      attemptLog
	// noTarget means that there was no target to send the call to.
	noTarget bool
}

// failedOutcome returns the outcome of an attempt that ended in a panic. The
// call may have run.
func failedOutcome() outcome {
	return outcome{h: mwcall.Head{Code: mwcode.ConnectionLost}, err: mwcode.New(mwcode.ConnectionLost)}
}

func (o outcome) good() bool { return o.err == nil && !o.h.Failed }

// try makes one attempt, and a hedge if the retry policy asks for one.
func (r *routing) try(ctx context.Context) outcome {
	t, err := r.pick()
	if err != nil {
		h, _ := RefusalHead(err)
		h.Code = mwcode.CodeOf(err)
		return outcome{h: h, err: err, noTarget: true}
	}
	if r.balance >= 1 && r.c.Class.Repeatable && r.ex.Held() {
		if d, ok := r.k.retry.HedgeAfter(r.c); ok {
			return r.hedged(ctx, t, d)
		}
	}
	o := r.send(ctx, t, r.share())
	r.balance += o.returned
	r.record(t, o)
	return o
}

// record records the result of an attempt at t.
func (r *routing) record(t mwcall.Target, o outcome) {
	r.attempts = append(r.attempts, o.log)
	if o.h.Code.NotRun() && o.h.Code != mwcode.BackendFull {
		return
	}
	r.c.Repeated = true
	r.reached.Add(t.Node)
	if o.h.Code == mwcode.BackendFull {
		r.declined.Add(t.Node)
	}
}

// pick returns a target that was not tried yet. If the call's route limits the
// number of targets, and that limit is reached or the router picks no other
// target, pick returns a target that declined the call.
func (r *routing) pick() (mwcall.Target, error) {
	ts := r.k.member.Targets(r.c.Service)
	if r.targetLimitReached() {
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

// pickDeclined returns one of the targets that reported that they did not run
// the call.
func (r *routing) pickDeclined(ts []mwcall.Target) (mwcall.Target, error) {
	ts = slices.DeleteFunc(slices.Clone(ts), func(t mwcall.Target) bool { return !r.declined.Has(t.Node) })
	return r.k.router.Pick(r.c, ts, mwset.New[mwid.NodeID]())
}

// share takes the budget for the next attempt from the balance and returns it.
func (r *routing) share() mwunit.Attempts {
	n := min(max(r.k.retry.Share(r.c, r.balance), 0), r.balance)
	r.balance -= n
	return n
}

// send sends a copy of the call, with the given budget, to t. It does not
// modify r, so that two calls of send may run concurrently.
func (r *routing) send(ctx context.Context, t mwcall.Target, budget mwunit.Attempts) outcome {
	c := *r.c
	c.Budget, c.HasBudget, c.Attempt = budget, true, mwid.NewAttemptID()
	done := r.k.router.Begin(&c, t)
	start := time.Now()
	h, s := mwcall.Head{Code: mwcode.Internal}, mwcall.Sample{Code: mwcode.Internal}
	defer func() { done(h, s) }() // Also after a panic, so that the router's count stays right.
	ans, err := r.forward(ctx, &c, t)
	took := time.Since(start)
	h = headOf(ans, err, budget)
	s = mwcall.Sample{
		Took: took, First: took, Code: h.Code, Failed: h.Failed, Cancelled: ctx.Err() != nil,
	}
	r.k.retry.Observe(&c, s)
	return outcome{
		ans: ans, h: h, err: err, returned: min(max(h.Unused, 0), budget),
		log: attemptLog{t.Node, t.Zone, mwcode.CodeOf(err), h.Failed, took, h.Threshold},
	}
}

// headOf returns the head of an attempt. If another node refused the call, the
// head in its refusal has the unused budget. If the call was never sent, all of
// its budget is unused; if its outcome is unknown, none is.
func headOf(ans Answer, err error, budget mwunit.Attempts) mwcall.Head {
	if err == nil {
		return ans.Head()
	}
	if h, ok := RefusalHead(err); ok {
		return h
	}
	h := mwcall.Head{Code: mwcode.CodeOf(err), RetryElsewhere: true}
	if h.Code.NotRun() {
		h.Unused = budget
	}
	return h
}

// forward sends c to the node of t. If that is this node, it calls deliver
// directly.
func (r *routing) forward(ctx context.Context, c *mwcall.Call, t mwcall.Target) (Answer, error) {
	if t.Node != r.k.self.Node {
		return r.ex.Forward(ctx, c, t)
	}
	c.Origin = mwcall.Peer
	s, ok := r.k.snapshot()
	r.k.classify(c, s, ok)
	return r.k.deliver(ctx, c, r.ex)
}
