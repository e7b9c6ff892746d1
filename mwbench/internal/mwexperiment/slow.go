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
	"mustardwheel.example/mwlib/mwfakeserver"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

func init() { mwscenario.Register("slow", runSlow) }

// Slowdown of one target, load as a fraction of the capacity of all targets, and
// age of the load that backend servers report.
const (
	slowFactor mwunit.Ratio = 10
	slowPart   mwunit.Ratio = 0.25
	reportLag               = 2 * time.Second
)

func runSlow(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	ms, err := measureSlow(ctx, e, true)
	if err != nil || !e.Treated() {
		return ms, err
	}
	plain, err := measureHealthyP99(ctx, e)
	if err != nil {
		return nil, err
	}
	hedged := ms[len(ms)-1].Value
	return append(ms,
		e.Measure("HealthyP99Unhedged", mwfigure.Millis, plain, mwfigure.Target{}),
		e.Measure("HedgeCost", mwfigure.Ratio, hedged/plain, mwfigure.AtMost(1.05)),
	), nil
}

// slowTrial has a phase with all targets healthy, then one with one target
// slowed.
type slowTrial struct {
	*trial
	healthy mwload.Span
	slowed  mwload.Span
}

func newSlowTrial(ctx context.Context, e mwscenario.Env, hedge bool) (*slowTrial, func(), error) {
	s := serviceOf(e.Profile.Browse, shortWork(e.Profile.Browse))
	s.Options = append(s.Options, mwfakeserver.WithReporting(mwfakeserver.Reporting{Lag: reportLag, Factor: 1}))
	spec := mwtestbed.Spec{
		Services: []mwtestbed.Service{s}, Works: standardWorks(e.Profile),
		Tune: func(set *mwsetting.Node) { set.Retry.Hedge = hedge },
	}
	q := mwclient.Request{Service: s.Service.Service, Method: http.MethodGet, Path: "/templates", Timeout: callerTimeout}
	t, stop, err := newTrial(ctx, e, spec, map[mwload.Kind]mwclient.Request{browse: q})
	if err != nil {
		return nil, nil, err
	}
	warm := e.Phase(2*time.Second, 300*time.Millisecond)
	d := e.Phase(4*time.Second, 500*time.Millisecond)
	return &slowTrial{
		trial:   t,
		healthy: mwload.Span{From: warm, To: warm + d},
		slowed:  mwload.Span{From: warm + d, To: warm + 2*d},
	}, stop, nil
}

// measureSlow runs both phases and returns their measures, of which the last is
// HealthyP99.
func measureSlow(ctx context.Context, e mwscenario.Env, hedge bool) ([]mwfigure.Measure, error) {
	s, stop, err := newSlowTrial(ctx, e, hedge)
	if err != nil {
		return nil, err
	}
	defer stop()
	server := s.bed.Targets(e.Profile.Browse.Service)[0].Server
	timer := time.AfterFunc(s.slowed.From, func() { server.SetSlowness(slowFactor) })
	defer timer.Stop()
	s.sendStreams(ctx, steady(browse, s.slowed.To, capacityPart(e.Profile.Browse, slowPart)))
	healthy, slowed := s.tally.Sum(s.healthy, browse), s.tally.Sum(s.slowed, browse)
	return []mwfigure.Measure{
		e.Measure("SlowedP99", mwfigure.Ratio, quotient(slowed.Took(99), healthy.Took(99)), mwfigure.AtMost(1.5)),
		e.Measure("SlowedP99Time", mwfigure.Millis, millis(slowed.Took(99)), mwfigure.Target{}),
		e.Measure("SlowedAnswered", mwfigure.Ratio, mwfigure.Value(slowed.OKRatio()), mwfigure.Target{}),
		e.Measure("HealthyP99", mwfigure.Millis, millis(healthy.Took(99)), mwfigure.Target{}),
	}, ctx.Err()
}

// measureHealthyP99 returns the P99 of healthy targets without hedges, in
// milliseconds.
func measureHealthyP99(ctx context.Context, e mwscenario.Env) (mwfigure.Value, error) {
	s, stop, err := newSlowTrial(ctx, e, false)
	if err != nil {
		return 0, err
	}
	defer stop()
	s.sendStreams(ctx, steady(browse, s.healthy.To, capacityPart(e.Profile.Browse, slowPart)))
	return millis(s.tally.Sum(s.healthy, browse).Took(99)), ctx.Err()
}
