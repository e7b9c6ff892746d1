package mwexperiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mustardwheel.example/mwbench/internal/mwfigure"
	"mustardwheel.example/mwbench/internal/mwprofile"
	"mustardwheel.example/mwbench/internal/mwscenario"
	"mustardwheel.example/mwbench/internal/mwtestbed"
	"mustardwheel.example/mwlib/mwfakeserver"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

func init() { mwscenario.Register("added", runAdded) }

// Arms of the scenario beside the treated one.
const (
	direct     mwfigure.ArmName = "direct"
	emptyRelay mwfigure.ArmName = "empty-relay"
)

// Pace of the calls: each way is called once a round.
const (
	addedPause                    = 2 * time.Millisecond
	addedCalls                    = 2000
	addedCallsShort               = 300
	addedWarmUp                   = 100
	addedSlots       mwunit.Slots = 32
	addedTarget                   = 0.31
	addedRelayTarget              = 1.2
	addedMaxMicros                = 10_000_000
	addedDigits                   = 3
)

// Services of the scenario: calls come in by the node of gate and go to goal.
const (
	gate mwid.ServiceName = "gate"
	goal mwid.ServiceName = "goal"
)

// way is one of the ways to the backend server that are compared.
type way struct {
	arm  mwfigure.ArmName
	to   mwid.Address
	took *hdrhistogram.Histogram
}

// runAdded calls a backend server that answers at once in three ways in
// turn, call by call, so that whatever else the machine does hits all alike:
// direct, through two empty relays, and through two nodes.
func runAdded(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	if !e.Treated() {
		return nil, nil // The ways are compared within one run.
	}
	one := func(s mwid.ServiceName) mwtestbed.Service {
		return serviceOf(mwprofile.Service{
			Service: s, Targets: 1, Slots: addedSlots, Connections: mwunit.Connections(addedSlots),
		}, mwfakeserver.Class{Prefix: "/", Body: shortBody})
	}
	t, end, err := newTrial(ctx, e, mwtestbed.Spec{
		Services: []mwtestbed.Service{one(gate), one(goal)}, Works: standardWorks(e.Profile),
	}, nil)
	if err != nil {
		return nil, err
	}
	defer end()
	backend := t.bed.Targets(goal)[0].Server.Address()
	relay, endRelay, err := newRelays(backend)
	if err != nil {
		return nil, err
	}
	defer endRelay()
	a := &added{env: e, ways: []*way{
		newWay(direct, backend), newWay(emptyRelay, relay),
		newWay(e.Arm, t.bed.Targets(gate)[0].Host.Entry()),
	}}
	if err := a.run(ctx); err != nil {
		return nil, err
	}
	return a.measures(), nil
}

func newWay(n mwfigure.ArmName, to mwid.Address) *way {
	return &way{arm: n, to: to, took: hdrhistogram.New(1, addedMaxMicros, addedDigits)}
}

// added is one run.
type added struct {
	env  mwscenario.Env
	ways []*way
}

func (a *added) run(ctx context.Context) error {
	calls := addedCalls
	if a.env.Short {
		calls = addedCallsShort
	}
	tick := time.NewTicker(addedPause)
	defer tick.Stop()
	cl := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer cl.CloseIdleConnections()
	for n := range addedWarmUp + calls {
		for i := range a.ways {
			// Each way is first, second and third equally often.
			w := a.ways[(i+n)%len(a.ways)]
			d, err := call(ctx, cl, w.to)
			if err != nil {
				return fmt.Errorf("%s: %w", w.arm, err)
			}
			if n >= addedWarmUp {
				// The time is far within the histogram's bounds.
				_ = w.took.RecordValue(min(max(d.Microseconds(), 1), addedMaxMicros))
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// call makes one call to the goal by way of to.
func call(ctx context.Context, cl *http.Client, to mwid.Address) (time.Duration, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(to)+"/", nil)
	if err != nil {
		return 0, err
	}
	r.Header.Set("Mw-Service", string(goal))
	start := time.Now()
	res, err := cl.Do(r)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0, err
	}
	if res.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("answer %s", res.Status)
	}
	return time.Since(start), nil
}

// at returns percentile p of way i in milliseconds.
func (a *added) at(i int, p float64) mwfigure.Value {
	return mwfigure.Value(a.ways[i].took.ValueAtQuantile(p)) / 1000
}

func (a *added) measures() []mwfigure.Measure {
	var ms []mwfigure.Measure
	for i, w := range a.ways {
		ms = append(ms,
			mwfigure.Measure{Arm: w.arm, Figure: "Median", Unit: mwfigure.Millis, Value: a.at(i, 50)},
			mwfigure.Measure{Arm: w.arm, Figure: "P99", Unit: mwfigure.Millis, Value: a.at(i, 99)},
		)
	}
	e := a.env
	return append(ms,
		e.Measure("AddedMedian", mwfigure.Millis, a.at(2, 50)-a.at(0, 50), mwfigure.Target{}),
		e.Measure("AddedP99", mwfigure.Millis, a.at(2, 99)-a.at(0, 99), mwfigure.AtMost(addedTarget)),
		e.Measure("OverRelayMedian", mwfigure.Ratio, a.at(2, 50)/a.at(1, 50), mwfigure.Target{}),
		e.Measure("OverRelayP99", mwfigure.Ratio, a.at(2, 99)/a.at(1, 99), mwfigure.AtMost(addedRelayTarget)),
	)
}
