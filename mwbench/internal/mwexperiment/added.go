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

// Arms of the scenario besides the treated one.
const (
	direct     mwfigure.ArmName = "direct"
	emptyRelay mwfigure.ArmName = "empty-relay"
)

// Parameters of the scenario. Each path is called once per addedPeriod.
const (
	addedPeriod                         = 2 * time.Millisecond
	addedCalls                          = 2000
	addedCallsShort                     = 300
	addedWarmUp                         = 100
	addedSlots             mwunit.Slots = 32
	addedP99Target                      = 0.31 // milliseconds
	overRelayP99Target                  = 1.2
	addedMaxMicros                      = 10_000_000
	addedSignificantDigits              = 3
)

// Services of the scenario. Calls enter at the node of gate and go to goal.
const (
	gate mwid.ServiceName = "gate"
	goal mwid.ServiceName = "goal"
)

// callPath is one of the compared paths to the backend server.
type callPath struct {
	arm     mwfigure.ArmName
	address mwid.Address
	latency *hdrhistogram.Histogram
}

// runAdded measures the latency that nodes add to a call. It calls a backend
// server that answers at once by three paths: directly, through two empty
// relays, and through two nodes. The paths alternate call by call, so that
// other load on the machine affects them equally.
func runAdded(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	if !e.Treated() {
		return nil, nil // The treated arm's run measures all paths.
	}
	one := func(s mwid.ServiceName) mwtestbed.Service {
		return serviceOf(mwprofile.Service{
			Service: s, Targets: 1, Slots: addedSlots, Connections: mwunit.Connections(addedSlots),
		}, mwfakeserver.Class{Prefix: "/", Body: shortBody})
	}
	t, stop, err := newTrial(ctx, e, mwtestbed.Spec{
		Services: []mwtestbed.Service{one(gate), one(goal)}, Works: standardWorks(e.Profile),
	}, nil)
	if err != nil {
		return nil, err
	}
	defer stop()
	backend := t.bed.Targets(goal)[0].Server.Address()
	relay, closeRelays, err := newRelays(backend)
	if err != nil {
		return nil, err
	}
	defer closeRelays()
	a := &addedRun{env: e, paths: []*callPath{
		newCallPath(direct, backend), newCallPath(emptyRelay, relay),
		newCallPath(e.Arm, t.bed.Targets(gate)[0].Host.Entry()),
	}}
	if err := a.run(ctx); err != nil {
		return nil, err
	}
	return a.measures(), nil
}

func newCallPath(n mwfigure.ArmName, to mwid.Address) *callPath {
	return &callPath{arm: n, address: to, latency: hdrhistogram.New(1, addedMaxMicros, addedSignificantDigits)}
}

// addedRun calls all paths and holds their latencies.
type addedRun struct {
	env   mwscenario.Env
	paths []*callPath
}

func (a *addedRun) run(ctx context.Context) error {
	calls := addedCalls
	if a.env.Short {
		calls = addedCallsShort
	}
	tick := time.NewTicker(addedPeriod)
	defer tick.Stop()
	cl := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer cl.CloseIdleConnections()
	for n := range addedWarmUp + calls {
		for i := range a.paths {
			// Rotate the order: each path is first, second and third equally often.
			p := a.paths[(i+n)%len(a.paths)]
			d, err := call(ctx, cl, p.address)
			if err != nil {
				return fmt.Errorf("%s: %w", p.arm, err)
			}
			if n >= addedWarmUp {
				// The value is within the histogram's range, so there is no error.
				_ = p.latency.RecordValue(min(max(d.Microseconds(), 1), addedMaxMicros))
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

// call makes one call to the service goal through the server at address to, and
// returns how long it took.
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
		return 0, fmt.Errorf("unexpected status %s", res.Status)
	}
	return time.Since(start), nil
}

// percentile returns percentile p of path i in milliseconds.
func (a *addedRun) percentile(i int, p float64) mwfigure.Value {
	return mwfigure.Value(a.paths[i].latency.ValueAtQuantile(p)) / 1000
}

func (a *addedRun) measures() []mwfigure.Measure {
	var ms []mwfigure.Measure
	for i, p := range a.paths {
		ms = append(ms,
			mwfigure.Measure{Arm: p.arm, Figure: "Median", Unit: mwfigure.Millis, Value: a.percentile(i, 50)},
			mwfigure.Measure{Arm: p.arm, Figure: "P99", Unit: mwfigure.Millis, Value: a.percentile(i, 99)},
		)
	}
	e := a.env
	return append(ms,
		e.Measure("AddedMedian", mwfigure.Millis, a.percentile(2, 50)-a.percentile(0, 50), mwfigure.Target{}),
		e.Measure("AddedP99", mwfigure.Millis, a.percentile(2, 99)-a.percentile(0, 99), mwfigure.AtMost(addedP99Target)),
		e.Measure("OverRelayMedian", mwfigure.Ratio, a.percentile(2, 50)/a.percentile(1, 50), mwfigure.Target{}),
		e.Measure("OverRelayP99", mwfigure.Ratio, a.percentile(2, 99)/a.percentile(1, 99), mwfigure.AtMost(overRelayP99Target)),
	)
}
