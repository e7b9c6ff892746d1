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
	rootCall mwload.Kind = "whole"
)

// Parameters of the scenario. normalPart and overloadPart are arrival rates, as
// fractions of the capacity of the service with the smallest capacity. The system
// counts as recovered once the ratio of answered requests is at least
// recoveredPart of that under normal load.
const (
	normalPart          mwunit.Ratio    = 0.6
	overloadPart        mwunit.Ratio    = 3
	overloadMaxAttempts mwunit.Attempts = 4
	overloadRetryDelay                  = 20 * time.Millisecond
	overloadTimeout                     = time.Second
	recoveredPart       mwunit.Ratio    = 0.99
)

// overloadTrial has a phase of normal load, one of overload, and one of normal
// load again. Root calls go through all four services, and the last service has
// the smallest capacity.
type overloadTrial struct {
	*trial
	capacity               mwunit.PerSecond // of the service with the smallest capacity
	normal, high, recovery mwload.Span
}

func runOverload(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	p := e.Profile
	spec := mwtestbed.Spec{
		Services: []mwtestbed.Service{
			serviceOf(p.Browse, shortWork(p.Browse, getStage(p.Order.Service))),
			serviceOf(p.Order, shortWork(p.Order, getStage(p.Download.Service))),
			serviceOf(p.Download, shortWork(p.Download, getStage(p.Proof.Service))),
			serviceOf(p.Proof, shortWork(p.Proof)),
		},
		Works: standardWorks(p),
	}
	q := browseRequest(p)
	q.Method, q.Timeout, q.MaxAttempts, q.RetryDelay = http.MethodGet, overloadTimeout, overloadMaxAttempts, overloadRetryDelay
	return runLoadScenario(ctx, e, spec, map[mwload.Kind]mwclient.Request{rootCall: q}, newOverloadTrial)
}

func newOverloadTrial(t *trial) *overloadTrial {
	d := t.env.Phase(4*time.Second, 400*time.Millisecond)
	warm := d / 2
	p := t.env.Profile.Proof
	return &overloadTrial{
		trial: t, capacity: p.Capacity(time.Duration(p.Time)),
		normal:   mwload.Span{From: warm, To: warm + d},
		high:     mwload.Span{From: warm + d, To: warm + 2*d},
		recovery: mwload.Span{From: warm + 2*d, To: warm + 3*d},
	}
}

func (o *overloadTrial) send(ctx context.Context) {
	normalRate := mwunit.PerSecond(float64(o.capacity) * float64(normalPart))
	o.sendStreams(ctx, mwload.Stream{Kind: rootCall, Steps: []mwload.Step{
		{Duration: o.normal.To, Rate: normalRate},
		{Duration: o.high.To - o.high.From, Rate: mwunit.PerSecond(float64(o.capacity) * float64(overloadPart))},
		{Duration: o.recovery.To - o.recovery.From, Rate: normalRate},
	}})
}

func (o *overloadTrial) measures() []mwfigure.Measure {
	normal, high, after := o.tally.Sum(o.normal, rootCall), o.tally.Sum(o.high, rootCall), o.tally.Sum(o.recovery, rootCall)
	floor := mwunit.Ratio(float64(normal.OKRatio()) * float64(recoveredPart))
	recovery := o.tally.Recovery(o.recovery, floor, rootCall)
	totals := o.bed.Record().Totals()
	e := o.env
	return []mwfigure.Measure{
		e.Measure("Goodput", mwfigure.Ratio, quotient(high.Goodput(), o.capacity), mwfigure.AtLeast(0.95)),
		e.Measure("Recovery", mwfigure.Seconds, mwfigure.Value(recovery.Seconds()), mwfigure.AtMost(2)),
		e.Measure("CapacityBound", mwfigure.PerSecond, mwfigure.Value(o.capacity), mwfigure.Target{}),
		e.Measure("NormalAnswered", mwfigure.Ratio, mwfigure.Value(normal.OKRatio()), mwfigure.Target{}),
		e.Measure("AfterAnswered", mwfigure.Ratio, mwfigure.Value(after.OKRatio()), mwfigure.Target{}),
		e.Measure("OverloadP99", mwfigure.Millis, millis(high.Took(99)), mwfigure.Target{}),
		e.Measure("WastedWork", mwfigure.Ratio, quotient(totals.Run-totals.Done, totals.Run), mwfigure.Target{}),
		e.Measure("FalseNotRun", mwfigure.Count, mwfigure.Value(len(o.client.FalseRefusals(o.bed.Record()))), mwfigure.AtMost(0)),
	}
}
