package mwexperiment

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"mustardwheel.example/mwbench/internal/mwclient"
	"mustardwheel.example/mwbench/internal/mwfigure"
	"mustardwheel.example/mwbench/internal/mwload"
	"mustardwheel.example/mwbench/internal/mwprofile"
	"mustardwheel.example/mwbench/internal/mwscenario"
	"mustardwheel.example/mwbench/internal/mwtestbed"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwfakeserver"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

func init() { mwscenario.Register("chain", runChain) }

// Shape and load of the chain, in which each service calls the next. A service
// has chainTargets targets, or one in a short run.
const (
	chainDepth                      = 17
	chainTargets                    = 2
	chainSlots      mwunit.Slots    = 16
	chainBudget     mwunit.Attempts = 3
	chainTime                       = time.Millisecond
	chainTimeout                    = 5 * time.Second
	chainRate                       = 20
	bottomFailing   mwunit.Ratio    = 0.5
	baselineTimeout                 = time.Second
)

// chainService returns the name of the service at depth i; 0 is the top.
func chainService(i int) mwid.ServiceName { return mwid.ServiceName(fmt.Sprintf("link-%02d", i)) }

func chainSpec(e mwscenario.Env) mwtestbed.Spec {
	targets := chainTargets
	if e.Short {
		targets = 1
	}
	spec := mwtestbed.Spec{Works: []mwtestbed.Work{{Name: "chain", Policy: mwconfig.Policy{
		Repeatable: ptr(true), Retries: ptr(chainBudget),
	}}}}
	for i := range chainDepth {
		c := mwfakeserver.Class{Prefix: "/", Time: chainTime, Body: shortBody}
		if i == chainDepth-1 {
			c.Failing = bottomFailing
		} else {
			c.Stages = []mwfakeserver.Stage{getStage(chainService(i + 1))}
		}
		s := mwprofile.Service{
			Service: chainService(i), Targets: targets, Slots: chainSlots, Connections: mwunit.Connections(chainSlots),
		}
		spec.Services = append(spec.Services, serviceOf(s, c))
	}
	return spec
}

func runChain(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	q := mwclient.Request{Service: chainService(0), Method: http.MethodGet, Path: "/", Timeout: chainTimeout}
	if !e.Treated() {
		// Three attempts at each of 17 hops would outlast the run.
		q.Timeout = baselineTimeout
	}
	t, stop, err := newTrial(ctx, e, chainSpec(e), map[mwload.Kind]mwclient.Request{rootCall: q})
	if err != nil {
		return nil, err
	}
	defer stop()
	all := e.Phase(3*time.Second, 600*time.Millisecond)
	t.sendStreams(ctx, steady(rootCall, all, chainRate))
	attempts := bottomAttempts(t, mwload.Arrivals(e.Seed, steady(rootCall, all, chainRate)))
	got := t.tally.Sum(mwload.Span{To: all}, rootCall)
	return []mwfigure.Measure{
		e.Measure("BottomAttempts", mwfigure.Count, mwfigure.Value(attempts), mwfigure.AtMost(mwfigure.Value(1+chainBudget))),
		e.Measure("Answered", mwfigure.Ratio, mwfigure.Value(got.OKRatio()), mwfigure.Target{}),
		e.Measure("P99", mwfigure.Millis, millis(got.Took(99)), mwfigure.Target{}),
	}, ctx.Err()
}

// bottomAttempts returns the maximum, over arrivals, of the number of attempts
// that ran at the bottom of the chain.
func bottomAttempts(t *trial, arrivals []mwload.Arrival) mwunit.Attempts {
	path := strings.Repeat("/0.0", chainDepth-1)
	var most mwunit.Attempts
	for _, s := range arrivals {
		id := fmt.Sprintf("%s-%d.0%s", s.Kind, s.Number, path)
		most = max(most, t.bed.Record().Runs(mwfakeserver.RequestID(id)))
	}
	return most
}
