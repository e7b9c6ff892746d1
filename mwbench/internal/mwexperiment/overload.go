package mwexperiment

import (
	"context"
	"net/http"
	"time"

	"mustardwheel.example/mwbench/internal/mwclient"
	"mustardwheel.example/mwbench/internal/mwfigure"
	"mustardwheel.example/mwbench/internal/mwload"
	"mustardwheel.example/mwbench/internal/mwscenario"
	"mustardwheel.example/mwbench/internal/mwtestbed"
	"mustardwheel.example/mwlib/mwunit"
)

func init() { mwscenario.Register("overload", runOverload) }

// Kinds of requests of the scenario.
const (
	whole mwload.Kind = "whole"
)

// Demand of the scenario, as parts of the capacity bound, and how hard its
// callers try.
const (
	normalPart       mwunit.Ratio    = 0.6
	overloadPart     mwunit.Ratio    = 3
	overloadTries    mwunit.Attempts = 4
	overloadPause                    = 20 * time.Millisecond
	overloadTimeout                  = time.Second
	overloadNormalOK mwunit.Ratio    = 0.99
)

// overload is one run: normal demand, then overloadPart, then normal demand
// again. Whole requests go through all four services, and the last one is
// the narrowest.
type overload struct {
	*trial
	bound              mwunit.PerSecond // bound is what the narrowest service can do.
	normal, high, tail mwload.Span
}

func runOverload(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	p := e.Profile
	spec := mwtestbed.Spec{
		Services: []mwtestbed.Service{
			serviceOf(p.Browse, work(p.Browse, get(p.Order.Service))),
			serviceOf(p.Order, work(p.Order, get(p.Download.Service))),
			serviceOf(p.Download, work(p.Download, get(p.Proof.Service))),
			serviceOf(p.Proof, work(p.Proof)),
		},
		Works: standardWorks(p),
	}
	q := browseRequest(p)
	q.Method, q.Timeout, q.Tries, q.Pause = http.MethodGet, overloadTimeout, overloadTries, overloadPause
	return play(ctx, e, spec, map[mwload.Kind]mwclient.Request{whole: q}, newOverload)
}

func newOverload(t *trial) *overload {
	d := t.env.Phase(4*time.Second, 400*time.Millisecond)
	warm := d / 2
	p := t.env.Profile.Proof
	return &overload{
		trial: t, bound: p.Capacity(time.Duration(p.Time)),
		normal: mwload.Span{From: warm, To: warm + d},
		high:   mwload.Span{From: warm + d, To: warm + 2*d},
		tail:   mwload.Span{From: warm + 2*d, To: warm + 3*d},
	}
}

func (o *overload) send(ctx context.Context) {
	usual := mwunit.PerSecond(float64(o.bound) * float64(normalPart))
	o.run(ctx, mwload.Stream{Kind: whole, Steps: []mwload.Step{
		{For: o.normal.To, Rate: usual},
		{For: o.high.To - o.high.From, Rate: mwunit.PerSecond(float64(o.bound) * float64(overloadPart))},
		{For: o.tail.To - o.tail.From, Rate: usual},
	}})
}

func (o *overload) measures() []mwfigure.Measure {
	normal, high, tail := o.tally.Sum(o.normal, whole), o.tally.Sum(o.high, whole), o.tally.Sum(o.tail, whole)
	floor := mwunit.Ratio(float64(normal.OKRatio()) * float64(overloadNormalOK))
	recovery := o.tally.Recovery(o.tail, floor, whole)
	totals := o.bed.Record().Totals()
	e := o.env
	return []mwfigure.Measure{
		e.Measure("Goodput", mwfigure.Ratio, over(high.Goodput(), o.bound), mwfigure.AtLeast(0.95)),
		e.Measure("Recovery", mwfigure.Seconds, mwfigure.Value(recovery.Seconds()), mwfigure.AtMost(2)),
		e.Measure("CapacityBound", mwfigure.PerSecond, mwfigure.Value(o.bound), mwfigure.Target{}),
		e.Measure("NormalAnswered", mwfigure.Ratio, mwfigure.Value(normal.OKRatio()), mwfigure.Target{}),
		e.Measure("AfterAnswered", mwfigure.Ratio, mwfigure.Value(tail.OKRatio()), mwfigure.Target{}),
		e.Measure("OverloadP99", mwfigure.Millis, millis(high.Took(99)), mwfigure.Target{}),
		e.Measure("WastedWork", mwfigure.Ratio, over(totals.Run-totals.Done, totals.Run), mwfigure.Target{}),
		e.Measure("FalseNotRun", mwfigure.Count, mwfigure.Value(len(o.client.FalseRefusals(o.bed.Record()))), mwfigure.AtMost(0)),
	}
}
