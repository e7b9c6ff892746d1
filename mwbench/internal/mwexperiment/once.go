package mwexperiment

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"mustardwheel.example/mwbench/internal/mwclient"
	"mustardwheel.example/mwbench/internal/mwfigure"
	"mustardwheel.example/mwbench/internal/mwload"
	"mustardwheel.example/mwbench/internal/mwscenario"
	"mustardwheel.example/mwbench/internal/mwtestbed"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwunit"
)

func init() { mwscenario.Register("once", runOnce) }

// Load and faults of the scenario.
const (
	onceRate           mwunit.PerSecond = 60
	onceMaxAttempts    mwunit.Attempts  = 4
	onceRetryDelay                      = 100 * time.Millisecond
	onceTimeout                         = 3 * time.Second
	onceAttemptTimeout                  = 500 * time.Millisecond
	pauseFactor        mwunit.Ratio     = 20 // slowdown of a backend server that pauses
)

// onceFaults are the faults of the store, one per step.
var onceFaults = []mwfakestore.Faults{
	{Delay: 2 * time.Millisecond},
	{Delay: 2 * time.Millisecond, Lost: 0.3},
	{Delay: 2 * time.Millisecond, Lost: 0.2, Dropped: 0.2, Late: 0.5, Stale: 0.2},
	{Unavailable: true},
	{Delay: 300 * time.Millisecond, Lost: 0.1, Late: 0.5},
	{},
}

func runOnce(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	p := e.Profile
	orders := serviceOf(p.Order, shortWork(p.Order))
	q := orderRequest(p)
	q.MaxAttempts, q.RetryDelay, q.Timeout, q.AttemptTimeout = onceMaxAttempts, onceRetryDelay, onceTimeout, onceAttemptTimeout
	ws := standardWorks(p)
	for i := range ws {
		// The scenario tests callers that resubmit often, so allow them to.
		ws[i].Policy.CallerRatio = ptr(mwunit.Ratio(1))
		if !e.Treated() {
			// A plain relay does not know which work must not be repeated.
			ws[i].Policy.Repeatable = ptr(true)
		}
	}
	t, stop, err := newTrial(ctx, e, mwtestbed.Spec{
		Services: []mwtestbed.Service{serviceOf(p.Browse, shortWork(p.Browse)), orders}, Works: ws,
	}, map[mwload.Kind]mwclient.Request{order: q})
	if err != nil {
		return nil, err
	}
	defer stop()
	o := &onceTrial{trial: t, service: orders, step: e.Phase(1500*time.Millisecond, 200*time.Millisecond)}
	// Callers use nodes that are not replaced.
	cl, closeClient := mwclient.New(t.bed.EntriesOf(p.Browse.Service)...)
	defer closeClient()
	t.client = cl
	if err := o.send(ctx); err != nil {
		return nil, err
	}
	return o.measures(), nil
}

// onceTrial applies each of the store's faults in turn, while backend servers
// pause and one node with its backend server crashes and is replaced.
type onceTrial struct {
	*trial
	service mwtestbed.Service
	step    time.Duration
}

func (o *onceTrial) send(ctx context.Context) error {
	all := o.step * time.Duration(len(onceFaults))
	var g errgroup.Group
	g.Go(func() error { return o.injectFaults(ctx) })
	o.sendStreams(ctx, steady(order, all, onceRate))
	return g.Wait()
}

// injectFaults applies one of onceFaults per step. In every step, another
// backend server pauses and another node is cut off from the store. After
// crashStep, a node and its backend server stop without notice.
func (o *onceTrial) injectFaults(ctx context.Context) error {
	ts := o.bed.Targets(o.service.Service.Service)
	t := time.NewTicker(o.step)
	defer t.Stop()
	for i, f := range onceFaults {
		o.bed.Store().SetFaults(f)
		paused := ts[i%len(ts)]
		paused.Server.SetSlowness(pauseFactor)
		partitioned := ts[(i+1)%len(ts)]
		partitioned.Store.SetPartitioned(true)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		paused.Server.SetSlowness(1)
		partitioned.Store.SetPartitioned(false)
		if i == crashStep {
			if err := o.crashAndReplace(ts[len(ts)-1], len(ts)-1); err != nil {
				return err
			}
		}
	}
	return nil
}

// crashStep is the index of the step after which a node crashes.
const crashStep = 1

// crashAndReplace stops t without draining it and starts another target in its
// place.
func (o *onceTrial) crashAndReplace(t *mwtestbed.Target, i int) error {
	o.bed.Detach(t)
	t.Stop()
	_, err := o.bed.Start(o.service, i)
	return err
}

func (o *onceTrial) measures() []mwfigure.Measure {
	all := o.tally.Sum(mwload.Span{To: time.Hour}, order)
	rec := o.bed.Record()
	e := o.env
	return []mwfigure.Measure{
		e.Measure("DoubleRuns", mwfigure.Count, mwfigure.Value(len(rec.DuplicateKeys())), mwfigure.AtMost(0)),
		e.Measure("FalseNotRun", mwfigure.Count, mwfigure.Value(len(o.client.FalseRefusals(rec))), mwfigure.AtMost(0)),
		e.Measure("Orders", mwfigure.Count, mwfigure.Value(all.Sent), mwfigure.Target{}),
		e.Measure("Answered", mwfigure.Ratio, mwfigure.Value(all.OKRatio()), mwfigure.Target{}),
		e.Measure("Resubmissions", mwfigure.Count, mwfigure.Value(int(all.Attempts)-all.Sent), mwfigure.Target{}),
		e.Measure("RefusedNotRun", mwfigure.Count, mwfigure.Value(o.client.Refused()), mwfigure.Target{}),
	}
}
