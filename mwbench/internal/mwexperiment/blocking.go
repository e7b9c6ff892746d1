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
	"mustardwheel.example/mwlib/mwunit"
)

func init() { mwscenario.Register("blocking", runBlocking) }

// Kinds of requests of the scenario.
const (
	short mwload.Kind = "short"
	long  mwload.Kind = "long"
)

// Durations, timeouts and sizes of long downloads, and the load. Downloads need
// longPart of all slots, and short work needs shortPart.
const (
	longTime                      = 1500 * time.Millisecond
	longTimeShort                 = 1100 * time.Millisecond
	longTimeout                   = 10 * time.Second
	longTimeoutShort              = 1500 * time.Millisecond
	longBody         mwunit.Bytes = 512 << 10
	longPart         mwunit.Ratio = 1.2
	shortPart        mwunit.Ratio = 0.3
)

func runBlocking(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	p := e.Profile
	spec := mwtestbed.Spec{
		Services: []mwtestbed.Service{serviceOf(p.Download, shortWork(p.Download), mwfakeserver.Class{
			Prefix: longPath, Time: e.Phase(longTime, longTimeShort), Jitter: jitter, Body: longBody, Streamed: true,
		})},
		Works: standardWorks(p),
	}
	q := mwclient.Request{Service: p.Download.Service, Method: http.MethodGet, Path: "/list", Timeout: callerTimeout}
	d := q
	d.Path, d.Timeout = longPath+"/artwork", e.Phase(longTimeout, longTimeoutShort)
	return runLoadScenario(ctx, e, spec, map[mwload.Kind]mwclient.Request{short: q, long: d}, newBlockingTrial)
}

// blockingTrial has a phase with short work alone, then one with long downloads
// beside it.
type blockingTrial struct {
	*trial
	alone  mwload.Span
	beside mwload.Span
	all    time.Duration
}

func newBlockingTrial(t *trial) *blockingTrial {
	warm := t.env.Phase(time.Second, 200*time.Millisecond)
	d := t.env.Phase(4*time.Second, 400*time.Millisecond)
	// Downloads start before the second phase, so that they fill the slots.
	fill := t.env.Phase(2*time.Second, 500*time.Millisecond)
	return &blockingTrial{
		trial:  t,
		alone:  mwload.Span{From: warm, To: warm + d},
		beside: mwload.Span{From: warm + d + fill, To: warm + 2*d + fill},
		all:    warm + 2*d + fill,
	}
}

func (b *blockingTrial) send(ctx context.Context) {
	s := b.env.Profile.Download
	rate := mwunit.PerSecond(float64(s.Capacity(b.env.Phase(longTime, longTimeShort))) * float64(longPart))
	b.sendStreams(ctx,
		steady(short, b.all, capacityPart(s, shortPart)),
		mwload.Stream{Kind: long, Steps: []mwload.Step{
			{Duration: b.alone.To}, {Duration: b.all - b.alone.To, Rate: rate},
		}},
	)
}

func (b *blockingTrial) measures() []mwfigure.Measure {
	alone, beside := b.tally.Sum(b.alone, short), b.tally.Sum(b.beside, short)
	downloads := b.tally.Sum(b.beside, long)
	e := b.env
	return []mwfigure.Measure{
		e.Measure("ShortWaitP99", mwfigure.Ratio, quotient(beside.Wait(99), alone.Wait(99)), mwfigure.AtMost(1.2)),
		e.Measure("ShortWaitP99Alone", mwfigure.Millis, millis(alone.Wait(99)), mwfigure.Target{}),
		e.Measure("ShortWaitP99Beside", mwfigure.Millis, millis(beside.Wait(99)), mwfigure.Target{}),
		e.Measure("ShortAnswerP99", mwfigure.Ratio, quotient(beside.Took(99), alone.Took(99)), mwfigure.Target{}),
		e.Measure("ShortAnswered", mwfigure.Ratio, mwfigure.Value(beside.OKRatio()), mwfigure.Target{}),
		e.Measure("LongAnswered", mwfigure.Ratio, mwfigure.Value(downloads.OKRatio()), mwfigure.Target{}),
		e.Measure("LongGoodput", mwfigure.PerSecond, mwfigure.Value(downloads.Goodput()), mwfigure.Target{}),
	}
}
