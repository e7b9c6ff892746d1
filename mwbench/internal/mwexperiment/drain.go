package mwexperiment

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"mustardwheel.example/mwbench/internal/mwclient"
	"mustardwheel.example/mwbench/internal/mwfigure"
	"mustardwheel.example/mwbench/internal/mwload"
	"mustardwheel.example/mwbench/internal/mwscenario"
	"mustardwheel.example/mwbench/internal/mwtestbed"
	"mustardwheel.example/mwlib/mwfakeserver"
	"mustardwheel.example/mwlib/mwunit"
)

func init() { mwscenario.Register("drain", runDrain) }

// Demand of the scenario, and how targets leave.
const (
	drainShort       mwunit.Ratio = 0.1
	drainLong        mwunit.Ratio = 0.2
	drainBody        mwunit.Bytes = 64 << 10
	drainTime                     = 800 * time.Millisecond
	drainTimeout                  = 10 * time.Second
	lateTarget                    = 3
	leavePeriod                   = 1500 * time.Millisecond
	leavePeriodShort              = 200 * time.Millisecond
)

func runDrain(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	p := e.Profile
	leaving := serviceOf(p.Download, work(p.Download), mwfakeserver.Class{
		Prefix: longPath, Time: drainTime, Jitter: jitter, Body: drainBody, Streamed: true,
	})
	spec := mwtestbed.Spec{
		Services: []mwtestbed.Service{serviceOf(p.Browse, work(p.Browse)), leaving}, Works: standardWorks(p),
	}
	q := mwclient.Request{Service: p.Download.Service, Method: http.MethodGet, Path: "/list", Timeout: callerTimeout}
	d := q
	d.Path, d.Timeout = longPath+"/artwork", drainTimeout
	t, end, err := newTrial(ctx, e, spec, map[mwload.Kind]mwclient.Request{short: q, long: d})
	if err != nil {
		return nil, err
	}
	defer end()
	// Callers come in by nodes that stay.
	cl, endClient := mwclient.New(t.bed.EntriesOf(p.Browse.Service)...)
	defer endClient()
	t.client = cl
	r := &draining{trial: t, service: leaving, end: e.Phase(12*time.Second, 1700*time.Millisecond)}
	if err := r.run(ctx); err != nil {
		return nil, err
	}
	return r.measures(), nil
}

// draining is one run: the targets of a service leave under load,
// one after the other, and each is replaced.
type draining struct {
	*trial
	service mwtestbed.Service
	end     time.Duration
	left    []*mwtestbed.Target
	leaving errgroup.Group
	failed  int // failed is 1 where a target could not end all calls.
}

func (r *draining) run(ctx context.Context) error {
	p := r.env.Profile.Download
	lrate := mwunit.PerSecond(float64(p.Capacity(drainTime)) * float64(drainLong))
	leaving, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		r.trial.run(ctx, steady(short, r.end, part(p, drainShort)), steady(long, r.end, lrate))
		return nil
	})
	g.Go(func() error { return r.replaceAll(ctx, leaving) })
	if err := g.Wait(); err != nil {
		return err
	}
	if r.env.Short {
		cancel() // A short run does not wait for idle nodes to end.
	}
	if err := r.leaving.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		r.env.Log.Error("failed to drain", "Error", err)
		r.failed++
	}
	return nil
}

// replaceAll replaces all targets, one every leavePeriod. Those that left
// stay up, so that late calls are seen.
func (r *draining) replaceAll(ctx, leaving context.Context) error {
	t := time.NewTicker(r.env.Phase(leavePeriod, leavePeriodShort))
	defer t.Stop()
	for i := range len(r.bed.Targets(r.service.Service.Service)) {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		old := r.bed.Targets(r.service.Service.Service)[0]
		if _, err := r.bed.Start(r.service, i); err != nil {
			return err
		}
		r.bed.Detach(old)
		r.left = append(r.left, old)
		r.leaving.Go(func() error { return leave(leaving, old) })
	}
	return nil
}

// leave lets t end its calls and take no more.
func leave(ctx context.Context, t *mwtestbed.Target) error {
	if err := t.Server.Drain(ctx); err != nil {
		return err
	}
	return t.Host.Drain(ctx)
}

func (r *draining) measures() []mwfigure.Measure {
	var late time.Duration
	for _, t := range r.left {
		late = max(late, t.Server.LateWork())
	}
	all := r.tally.Sum(mwload.Span{To: r.end}, short, long)
	longs := r.tally.Sum(mwload.Span{To: r.end}, long)
	e := r.env
	return []mwfigure.Measure{
		e.Measure("AnswersCut", mwfigure.Count, mwfigure.Value(r.client.Cut()), mwfigure.AtMost(0)),
		e.Measure("NotAnswered", mwfigure.Count, mwfigure.Value(all.Sent-all.OK), mwfigure.AtMost(0)),
		e.Measure("LongNotAnswered", mwfigure.Count, mwfigure.Value(longs.Sent-longs.OK), mwfigure.Target{}),
		e.Measure("LatestNewWork", mwfigure.Seconds, mwfigure.Value(late.Seconds()), mwfigure.AtMost(lateTarget)),
		e.Measure("TargetsLeft", mwfigure.Count, mwfigure.Value(len(r.left)), mwfigure.Target{}),
		e.Measure("DrainsFailed", mwfigure.Count, mwfigure.Value(r.failed), mwfigure.AtMost(0)),
		e.Measure("Requests", mwfigure.Count, mwfigure.Value(all.Sent), mwfigure.Target{}),
	}
}
