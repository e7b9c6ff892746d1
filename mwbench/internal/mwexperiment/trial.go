// Package mwexperiment holds the scenarios, one a file. Each registers itself
// with mwscenario.
package mwexperiment

import (
	"context"
	"net/http"
	"time"

	"mustardwheel.example/mwbench/internal/mwclient"
	"mustardwheel.example/mwbench/internal/mwfigure"
	"mustardwheel.example/mwbench/internal/mwload"
	"mustardwheel.example/mwbench/internal/mwprofile"
	"mustardwheel.example/mwbench/internal/mwscenario"
	"mustardwheel.example/mwbench/internal/mwtestbed"
	"mustardwheel.example/mwlib/mwfakeserver"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

// trial is a testbed with a caller in front of it.
type trial struct {
	env      mwscenario.Env
	bed      *mwtestbed.Bed
	client   *mwclient.Client
	tally    *mwload.Tally
	requests map[mwload.Kind]mwclient.Request
}

// windowWidth is the width of the windows in which results are kept.
const windowWidth = 100 * time.Millisecond

// newTrial starts a testbed as spec says, with the settings of e's arm.
func newTrial(ctx context.Context, e mwscenario.Env, spec mwtestbed.Spec, rs map[mwload.Kind]mwclient.Request) (*trial, func(), error) {
	spec.Seed, spec.Zones, spec.Log = mwfakeserver.Seed(e.Seed), e.Profile.Zones, e.Log
	tune := spec.Tune
	spec.Tune = func(set *mwsetting.Node) {
		if !e.Treated() {
			mwtestbed.Baseline(set)
		}
		if tune != nil {
			tune(set)
		}
	}
	bed, endBed, err := mwtestbed.New(ctx, spec)
	if err != nil {
		return nil, nil, err
	}
	cl, endClient := mwclient.New(bed.Entries()...)
	t := &trial{env: e, bed: bed, client: cl, tally: mwload.NewTally(windowWidth), requests: rs}
	return t, func() { endClient(); endBed() }, nil
}

// loadScenario is a scenario over one trial: it sends its load and then measures.
type loadScenario interface {
	send(ctx context.Context)
	measures() []mwfigure.Measure
}

// runLoadScenario starts a trial, plays what open makes of it and returns what that
// measured.
func runLoadScenario[P loadScenario](ctx context.Context, e mwscenario.Env, spec mwtestbed.Spec, rs map[mwload.Kind]mwclient.Request, open func(*trial) P) ([]mwfigure.Measure, error) {
	t, end, err := newTrial(ctx, e, spec, rs)
	if err != nil {
		return nil, err
	}
	defer end()
	p := open(t)
	p.send(ctx)
	return p.measures(), ctx.Err()
}

// sendStreams sends the streams and returns when all requests have ended.
func (t *trial) sendStreams(ctx context.Context, streams ...mwload.Stream) {
	do := func(ctx context.Context, s mwload.Arrival) mwload.Outcome {
		return t.client.Do(ctx, t.requests[s.Kind], s)
	}
	mwload.Run(ctx, mwload.Arrivals(t.env.Seed, streams...), do, t.tally.Add)
	t.client.Answers(func(a mwclient.Answer, n int) {
		t.env.Log.Info("answers", "Arm", t.env.Arm, "Service", a.Service, "Status", a.Status, "Code", a.Code.String(), "Count", n)
	})
}

// millis returns d as a value in milliseconds.
func millis(d time.Duration) mwfigure.Value {
	return mwfigure.Value(d.Seconds() * 1000)
}

// quotient returns a/b; 0 where b is 0.
func quotient[T ~int64 | ~int | ~float64](a, b T) mwfigure.Value {
	if b == 0 {
		return 0
	}
	return mwfigure.Value(float64(a) / float64(b))
}

// steady returns a stream of rate r for d.
func steady(k mwload.Kind, d time.Duration, r mwunit.PerSecond) mwload.Stream {
	return mwload.Stream{Kind: k, Steps: []mwload.Step{{Duration: d, Rate: r}}}
}

// ptr returns a pointer to v.
func ptr[T any](v T) *T { return &v }

// serviceOf returns a service of the testbed with classes cs.
func serviceOf(s mwprofile.Service, cs ...mwfakeserver.Class) mwtestbed.Service {
	return mwtestbed.Service{Service: s, Classes: cs, Queue: queueFactor * s.Slots}
}

// queueFactor is the length of a backend server's queue for each slot.
const queueFactor = 8

// shortWork returns the class of short work of s.
func shortWork(s mwprofile.Service, stages ...mwfakeserver.Stage) mwfakeserver.Class {
	return mwfakeserver.Class{Prefix: "/", Time: time.Duration(s.Time), Jitter: jitter, Body: shortBody, Stages: stages}
}

// What short work is like.
const (
	jitter    mwunit.Ratio = 0.2
	shortBody mwunit.Bytes = 500
)

// getStage is a stage of one call to s.
func getStage(s mwid.ServiceName) mwfakeserver.Stage {
	return mwfakeserver.Stage{{Service: s, Method: http.MethodGet, Path: "/"}}
}
