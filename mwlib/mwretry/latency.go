package mwretry

import (
	"math"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
)

// latencies estimates the 95th percentile of each service's latency. The
// estimate starts with the slowest of the first few answers, rises by a step
// with each slower answer and falls by a smaller one with each faster answer.
// This takes two numbers per service instead of a histogram.
type latencies struct {
	m *mwshard.Cache[mwid.ServiceName, quantile]
}

type quantile struct {
	value float64 // value is the estimate in nanoseconds.
	seen  int
}

const (
	quantileTarget = 0.95
	quantileStep   = 0.1 // quantileStep is the size of an upward step plus that of a downward step, as a fraction of the estimate.
	minSamples     = 20  // minSamples is the number of answers that an estimate needs before it is used; on average one of them is above the percentile.
	minHedgeDelay  = time.Millisecond
	maxServices    = 2048 // maxServices is the approximate number of services stored.
)

func newLatencies() *latencies {
	return &latencies{m: mwshard.NewCache[mwid.ServiceName, quantile](maxServices)}
}

func (l *latencies) p95(s mwid.ServiceName) (time.Duration, bool) {
	q, ok := l.m.Get(s)
	if !ok || q.seen < minSamples {
		return 0, false
	}
	return max(time.Duration(q.value), minHedgeDelay), true
}

// observe updates the estimate for s with attempt m. Refusals are fast and say
// nothing about latency. A cancelled attempt took at least m.First: it counts as
// a slow answer if that is above the estimate, and is ignored otherwise. If all
// cancelled attempts were ignored, hedging would cut off the slow answers from
// which its own delay is estimated.
func (l *latencies) observe(s mwid.ServiceName, m mwcall.Sample) {
	if m.Code != mwcode.OK && !m.Cancelled {
		return
	}
	l.m.Update(s, func(q quantile) quantile {
		if !m.Cancelled || q.seen > 0 && float64(m.First) > q.value {
			q.add(float64(m.First))
		}
		return q
	})
}

func (q *quantile) add(v float64) {
	q.seen = min(q.seen+1, math.MaxInt32)
	if q.seen <= minSamples {
		q.value = max(q.value, v)
		return
	}
	if v > q.value {
		q.value += q.value * quantileStep * quantileTarget
		return
	}
	q.value -= q.value * quantileStep * (1 - quantileTarget)
}
