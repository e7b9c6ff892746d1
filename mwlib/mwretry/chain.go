// Package mwretry holds the retry policies: plug-in "chain", which spends one
// budget over the whole chain of calls, "chainhalf", which keeps half of it at
// each hop, and the baselines "perhop" and "off".
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

// Chain is the retry policy of one node. A root call gets one budget for all
// calls below it, so that the retries of a request are bounded whatever its
// depth. Beside that, each target service has a bucket of tokens that its
// successes fill: a service that fails as a whole gets no more retries, even
// if each single request had some left. A caller's own resubmissions have a
// bucket too, filled by the caller's first calls.
//
// S decides how much of the balance goes down with each attempt. Plug-in
// "chain" gives all: what is not used comes back with the answer, and the hop
// next to a fault, which retries at the least cost, has the means to.
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

// Start returns the budget of a root call.
func (p *Chain[S]) Start(c *mwcall.Call) (mwunit.Attempts, error) {
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

// Began does nothing: what is counted are answers.
func (p *Chain[S]) Began(*mwcall.Call) {}

// Share returns the part of balance that S gives down.
func (p *Chain[S]) Share(_ *mwcall.Call, balance mwunit.Attempts) mwunit.Attempts {
	return p.split.Of(balance)
}

// Allow spends a token of the target service. A target that says that it
// takes no new work tells nothing of the service's load, so trying another
// one costs no token.
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

// Succeeded fills the bucket of the target service.
func (p *Chain[S]) Succeeded(c *mwcall.Call) {
	p.services.Earn(c.Service, p.ratio, time.Now())
}

// hedgeReserve is the part of a service's tokens below which nothing is
// hedged: a service that fails needs its tokens for retries.
const hedgeReserve mwunit.Ratio = 0.5

// HedgeAfter returns the 95th percentile of the answer times of c.Service.
func (p *Chain[S]) HedgeAfter(c *mwcall.Call) (time.Duration, bool) {
	if !p.hedge || !c.Class.Repeatable || c.Class.Length != mwconfig.Short {
		return 0, false
	}
	if p.services.Left(c.Service) < hedgeReserve {
		return 0, false
	}
	return p.times.p95(c.Service)
}

// Observe learns from the answer time of an attempt.
func (p *Chain[S]) Observe(c *mwcall.Call, s mwcall.Sample) {
	if !p.hedge || c.Class.Length != mwconfig.Short {
		return
	}
	p.times.observe(c.Service, s)
}
