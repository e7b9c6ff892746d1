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

// Load of the scenario, target of LatestNewWork, and time between two
// replacements of targets.
const (
	drainShortPart      mwunit.Ratio = 0.1
	drainLongPart       mwunit.Ratio = 0.2
	drainBody           mwunit.Bytes = 64 << 10
	drainTime                        = 800 * time.Millisecond
	drainTimeout                     = 10 * time.Second
	latestNewWorkTarget              = 3 // seconds
	replacePeriod                    = 1500 * time.Millisecond
	replacePeriodShort               = 200 * time.Millisecond
)

func runDrain(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	p := e.Profile
	replaced := serviceOf(p.Download, shortWork(p.Download), mwfakeserver.Class{
		Prefix: longPath, Time: drainTime, Jitter: jitter, Body: drainBody, Streamed: true,
	})
	spec := mwtestbed.Spec{
		Services: []mwtestbed.Service{serviceOf(p.Browse, shortWork(p.Browse)), replaced}, Works: standardWorks(p),
	}
	q := mwclient.Request{Service: p.Download.Service, Method: http.MethodGet, Path: "/list", Timeout: callerTimeout}
	d := q
	d.Path, d.Timeout = longPath+"/artwork", drainTimeout
	t, stop, err := newTrial(ctx, e, spec, map[mwload.Kind]mwclient.Request{short: q, long: d})
	if err != nil {
		return nil, err
	}
	defer stop()
	// Callers use nodes that are not replaced.
	cl, closeClient := mwclient.New(t.bed.EntriesOf(p.Browse.Service)...)
	defer closeClient()
	t.client = cl
	r := &drainTrial{trial: t, service: replaced, length: e.Phase(12*time.Second, 1700*time.Millisecond)}
	if err := r.run(ctx); err != nil {
		return nil, err
	}
	return r.measures(), nil
}

// drainTrial replaces the targets of a service one by one under load.
type drainTrial struct {
	*trial
	service mwtestbed.Service
	length  time.Duration
	removed []*mwtestbed.Target
	drains  errgroup.Group
	failed  int // 1 if any target failed to complete its calls
}

func (r *drainTrial) run(ctx context.Context) error {
	p := r.env.Profile.Download
	longRate := mwunit.PerSecond(float64(p.Capacity(drainTime)) * float64(drainLongPart))
	drainCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		r.trial.sendStreams(ctx, steady(short, r.length, capacityPart(p, drainShortPart)), steady(long, r.length, longRate))
		return nil
	})
	g.Go(func() error { return r.replaceAll(ctx, drainCtx) })
	if err := g.Wait(); err != nil {
		return err
	}
	if r.env.Short {
		cancel() // A short run does not wait until idle nodes have drained.
	}
	if err := r.drains.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		r.env.Log.Error("draining a target failed", "Error", err)
		r.failed++
	}
	return nil
}

// replaceAll replaces all targets, one every replacePeriod. Removed targets keep
// running, so that calls which still reach them are counted.
func (r *drainTrial) replaceAll(ctx, drainCtx context.Context) error {
	t := time.NewTicker(r.env.Phase(replacePeriod, replacePeriodShort))
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
		r.removed = append(r.removed, old)
		r.drains.Go(func() error { return drainTarget(drainCtx, old) })
	}
	return nil
}

// drainTarget drains the backend server of t and then its node: t completes its
// calls and takes no new ones.
func drainTarget(ctx context.Context, t *mwtestbed.Target) error {
	if err := t.Server.Drain(ctx); err != nil {
		return err
	}
	return t.Host.Drain(ctx)
}

func (r *drainTrial) measures() []mwfigure.Measure {
	var late time.Duration
	for _, t := range r.removed {
		late = max(late, t.Server.LastCallAfterLeave())
	}
	all := r.tally.Sum(mwload.Span{To: r.length}, short, long)
	longSum := r.tally.Sum(mwload.Span{To: r.length}, long)
	e := r.env
	return []mwfigure.Measure{
		e.Measure("AnswersCut", mwfigure.Count, mwfigure.Value(r.client.Truncated()), mwfigure.AtMost(0)),
		e.Measure("NotAnswered", mwfigure.Count, mwfigure.Value(all.Sent-all.OK), mwfigure.AtMost(0)),
		e.Measure("LongNotAnswered", mwfigure.Count, mwfigure.Value(longSum.Sent-longSum.OK), mwfigure.Target{}),
		e.Measure("LatestNewWork", mwfigure.Seconds, mwfigure.Value(late.Seconds()), mwfigure.AtMost(latestNewWorkTarget)),
		e.Measure("TargetsLeft", mwfigure.Count, mwfigure.Value(len(r.removed)), mwfigure.Target{}),
		e.Measure("DrainsFailed", mwfigure.Count, mwfigure.Value(r.failed), mwfigure.AtMost(0)),
		e.Measure("Requests", mwfigure.Count, mwfigure.Value(all.Sent), mwfigure.Target{}),
	}
}
