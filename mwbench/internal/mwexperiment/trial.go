// Package mwexperiment implements the scenarios, one per file. Each registers
// itself with mwscenario.
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

// trial is a testbed, a client that sends requests to its nodes, and the
// results.
type trial struct {
	env      mwscenario.Env
	bed      *mwtestbed.Bed
	client   *mwclient.Client
	tally    *mwload.Tally
	requests map[mwload.Kind]mwclient.Request
}

// windowWidth is the width of the windows by which results are aggregated.
const windowWidth = 100 * time.Millisecond

// newTrial starts a testbed for spec, with the settings of e's arm. The returned
// function stops it.
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
	bed, stopBed, err := mwtestbed.New(ctx, spec)
	if err != nil {
		return nil, nil, err
	}
	cl, closeClient := mwclient.New(bed.Entries()...)
	t := &trial{env: e, bed: bed, client: cl, tally: mwload.NewTally(windowWidth), requests: rs}
	return t, func() { closeClient(); stopBed() }, nil
}

// loadScenario sends its load to one trial and then returns what it measured.
type loadScenario interface {
	send(ctx context.Context)
	measures() []mwfigure.Measure
}

// runLoadScenario starts a trial, runs the scenario that newScenario returns for
// it, and returns its measures.
func runLoadScenario[P loadScenario](ctx context.Context, e mwscenario.Env, spec mwtestbed.Spec, rs map[mwload.Kind]mwclient.Request, newScenario func(*trial) P) ([]mwfigure.Measure, error) {
	t, stop, err := newTrial(ctx, e, spec, rs)
	if err != nil {
		return nil, err
	}
	defer stop()
	p := newScenario(t)
	p.send(ctx)
	return p.measures(), ctx.Err()
}

// sendStreams sends the requests of all streams, waits until they have ended,
// and logs the numbers of answers by kind.
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

// quotient returns a/b, or 0 if b is 0.
func quotient[T ~int64 | ~int | ~float64](a, b T) mwfigure.Value {
	if b == 0 {
		return 0
	}
	return mwfigure.Value(float64(a) / float64(b))
}

// steady returns a stream with rate r for the duration d.
func steady(k mwload.Kind, d time.Duration, r mwunit.PerSecond) mwload.Stream {
	return mwload.Stream{Kind: k, Steps: []mwload.Step{{Duration: d, Rate: r}}}
}

// ptr returns a pointer to v.
func ptr[T any](v T) *T { return &v }

// serviceOf returns the testbed's service for s, with the work classes cs.
func serviceOf(s mwprofile.Service, cs ...mwfakeserver.Class) mwtestbed.Service {
	return mwtestbed.Service{Service: s, Classes: cs, Queue: queueFactor * s.Slots}
}

// queueFactor is the queue length of a backend server per slot.
const queueFactor = 8

// shortWork returns the class of short work of s, which makes the calls of
// stages.
func shortWork(s mwprofile.Service, stages ...mwfakeserver.Stage) mwfakeserver.Class {
	return mwfakeserver.Class{Prefix: "/", Time: time.Duration(s.Time), Jitter: jitter, Body: shortBody, Stages: stages}
}

// Properties of short work.
const (
	jitter    mwunit.Ratio = 0.2
	shortBody mwunit.Bytes = 500
)

// getStage returns a stage with one GET call to s.
func getStage(s mwid.ServiceName) mwfakeserver.Stage {
	return mwfakeserver.Stage{{Service: s, Method: http.MethodGet, Path: "/"}}
}
