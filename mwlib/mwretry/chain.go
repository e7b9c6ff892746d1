// Package mwretry implements the retry policies: "chain", which spends one
// budget over the whole chain of calls, "chainhalf", which keeps half of the
// budget at each hop, "window", which limits retries to a fraction of the
// requests in a span of time, and the baselines "perhop" and "off".
package mwretry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwbudget"
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwunit"
)

// Chain is a retry policy that gives each root call one budget for all calls
// below it, so that the retries of a request are bounded at any depth. In
// addition, each target service has a token bucket filled by its successes: a
// service that fails completely gets no more retries, even if individual
// requests still have budget. A caller's resubmissions are also limited by a
// token bucket, which is filled by the caller's first submissions.
//
// S decides how much of the balance is passed down with each attempt. Plug-in
// "chain" passes all of it: the unused part comes back with the answer, and the
// hop next to a fault, where a retry costs least, has the budget to retry.
type Chain[S mwbudget.Split] struct {
	split    S
	ratio    mwunit.Ratio
	hedge    bool
	services *mwbudget.Tokens[mwid.ServiceName]
	callers  *mwbudget.Tokens[mwid.CallerName]
	times    *latencies
	stat     chainStats
}

type chainStats struct {
	noToken *metrics.Counter
	callers *metrics.Counter
}

func init() {
	mwkernel.RetryPolicies.Register("chain", newChain[mwbudget.All])
	mwkernel.RetryPolicies.Register("chainhalf", newChain[mwbudget.Half])
}

func newChain[S mwbudget.Split](env mwkernel.Env) (mwkernel.RetryPolicy, mwregistry.Cleanup, error) {
	set := env.Settings.Retry
	return &Chain[S]{
		ratio: set.TokenRatio,
		hedge: set.Hedge,
		services: mwbudget.NewTokens[mwid.ServiceName](
			mwbudget.WithReserve(set.TokenReserve)),
		callers: mwbudget.NewTokens[mwid.CallerName](
			mwbudget.WithReserve(set.CallerReserve)),
		times: newLatencies(),
		stat: chainStats{
			noToken: env.Metrics.GetOrCreateCounter("mw_retry_no_token_total"),
			callers: env.Metrics.GetOrCreateCounter("mw_retry_caller_refusals_total"),
		},
	}, nil, nil
}

// RootBudget returns the budget of a root call, or an error with code
// CallerRatio if c is a resubmission for which its caller has no token.
func (p *Chain[S]) RootBudget(c *mwcall.Call) (mwunit.Attempts, error) {
	now := time.Now()
	if !c.Resubmitted {
		p.callers.Earn(c.Caller, c.Class.CallerRatio, now)
		return c.Class.Retries, nil
	}
	if !p.callers.Spend(c.Caller, now) {
		p.stat.callers.Inc()
		return 0, mwcode.New(mwcode.CallerRatio)
	}
	return c.Class.Retries, nil
}

// FirstAttempt does nothing: the tokens of a service are earned by successes,
// not by first attempts.
func (p *Chain[S]) FirstAttempt(*mwcall.Call) {}

// Share returns the part of balance that S passes down.
func (p *Chain[S]) Share(_ *mwcall.Call, balance mwunit.Attempts) mwunit.Attempts {
	return p.split.Share(balance)
}

// Allow spends a token of the target service and reports whether there was one.
// If the target is draining or has no backend server, that says nothing about
// the service's load, so a retry at another target costs no token.
func (p *Chain[S]) Allow(c *mwcall.Call, h mwcall.Head) bool {
	if h.Code == mwcode.Draining || h.Code == mwcode.NoBackend {
		return true
	}
	ok := p.services.Spend(c.Service, time.Now())
	if !ok {
		p.stat.noToken.Inc()
	}
	return ok
}

// Succeeded adds tokens to the bucket of the target service.
func (p *Chain[S]) Succeeded(c *mwcall.Call) {
	p.services.Earn(c.Service, p.ratio, time.Now())
}

// hedgeReserve is the fill level of a service's bucket below which its calls
// are not hedged: a failing service needs its tokens for retries.
const hedgeReserve mwunit.Ratio = 0.5

// HedgeAfter returns the time after which c is hedged, the 95th percentile of
// the latencies of c.Service. It returns false if c is not hedged.
func (p *Chain[S]) HedgeAfter(c *mwcall.Call) (time.Duration, bool) {
	if !p.hedge || !c.Class.Repeatable || c.Class.Length != mwconfig.Short {
		return 0, false
	}
	if p.services.Left(c.Service) < hedgeReserve {
		return 0, false
	}
	return p.times.p95(c.Service)
}

// Observe updates the latency estimate with an attempt.
func (p *Chain[S]) Observe(c *mwcall.Call, s mwcall.Sample) {
	if !p.hedge || c.Class.Length != mwconfig.Short {
		return
	}
	p.times.observe(c.Service, s)
}
