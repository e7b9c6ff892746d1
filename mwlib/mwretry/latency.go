package mwretry

import (
	"math"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
)

// latencies estimates the 95th percentile of each service's answer times by a
// step up for each slower answer and a smaller step down for each faster one,
// from the slowest of the first few answers on.
// It needs two numbers a service, no histogram.
type latencies struct {
	m *mwshard.Cache[mwid.ServiceName, quantile]
}

type quantile struct {
	value float64 // value is the estimate in nanoseconds.
	seen  int
}

const (
	quantileOf    = 0.95
	quantileStep  = 0.1 // quantileStep is the sum of a step up and one down, as a part of the estimate.
	minSamples    = 20  // minSamples is as many as have one above the percentile on average.
	minHedgeDelay = time.Millisecond
	services      = 2048 // services is about how many services are kept in mind.
)

func newLatencies() *latencies {
	return &latencies{m: mwshard.NewCache[mwid.ServiceName, quantile](services)}
}

func (l *latencies) p95(s mwid.ServiceName) (time.Duration, bool) {
	q, ok := l.m.Get(s)
	if !ok || q.seen < minSamples {
		return 0, false
	}
	return max(time.Duration(q.value), minHedgeDelay), true
}

// observe learns from one attempt. Refusals come fast and say nothing of the
// answer time. An attempt that was cancelled took at least as long as was
// seen: above the estimate that is known to be slow, below it nothing is
// known. Without the former, hedging would cut off the slow answers that its
// own delay is learnt from.
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
		q.value += q.value * quantileStep * quantileOf
		return
	}
	q.value -= q.value * quantileStep * (1 - quantileOf)
}
