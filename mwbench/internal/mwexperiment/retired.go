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
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwfakeserver"
	"mustardwheel.example/mwlib/mwunit"
)

func init() { mwscenario.Register("retired", runRetired) }

// Kinds of requests of the scenario.
const (
	browse  mwload.Kind = "browse"
	order   mwload.Kind = "order"
	regular mwload.Kind = "last"  // by the regular callers of the retired interface
	flood   mwload.Kind = "flood" // by one misbehaving caller of it
)

// The retired interface: its calls are slow, and its callers retry often.
const (
	retiredPrefix       = "/v1/"
	retiredTime         = 200 * time.Millisecond
	retiredTimeout      = 2 * time.Second
	retiredTimeoutShort = time.Second
	retiredMaxAttempts  = 5
	retiredRetryDelay   = 50 * time.Millisecond
	floodFactor         = 10
)

// Arrival rates of the scenario, as fractions of the capacity of the targets.
const (
	browsePart mwunit.Ratio = 0.25
	orderPart  mwunit.Ratio = 0.03
	// regularPart is the fraction of floorCapacity that regular callers use.
	regularPart mwunit.Ratio = 0.5
)

// Floor and ceiling of the retired interface at one target, as fractions of its
// slots.
const (
	floorPart   mwunit.Ratio = 0.2
	ceilingPart mwunit.Ratio = 0.3
)

// retiredTrial has an undisturbed phase, then one in which a single caller of
// the retired interface sends floodFactor times the rate of the regular callers.
type retiredTrial struct {
	*trial
	normal  mwload.Span
	flooded mwload.Span
}

func runRetired(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	p := e.Profile
	browsing := serviceOf(p.Browse, shortWork(p.Browse, getStage(p.Order.Service)))
	orders := serviceOf(p.Order, shortWork(p.Order), mwfakeserver.Class{
		Prefix: retiredPrefix, Time: retiredTime, Jitter: jitter, Body: shortBody,
	})
	return runLoadScenario(ctx, e, mwtestbed.Spec{
		Services: []mwtestbed.Service{browsing, orders}, Works: retiredWorks(e),
	}, retiredRequests(e), newRetiredTrial)
}

func newRetiredTrial(t *trial) *retiredTrial {
	warm := t.env.Phase(time.Second, 300*time.Millisecond)
	d := t.env.Phase(4*time.Second, 600*time.Millisecond)
	return &retiredTrial{
		trial:   t,
		normal:  mwload.Span{From: warm, To: warm + d},
		flooded: mwload.Span{From: warm + d, To: warm + 2*d},
	}
}

// slotShare returns the fraction r of the slots of one target of the order
// service, but at least 1.
func slotShare(e mwscenario.Env, r mwunit.Ratio) mwunit.Slots {
	return max(1, mwunit.Slots(float64(e.Profile.Order.Slots)*float64(r)))
}

// floorCapacity returns the rate of retired calls that the floors of all
// targets can serve.
func floorCapacity(e mwscenario.Env) mwunit.PerSecond {
	s := e.Profile.Order
	s.Slots = slotShare(e, floorPart)
	return s.Capacity(retiredTime)
}

func retiredWorks(e mwscenario.Env) []mwtestbed.Work {
	return append(standardWorks(e.Profile), mwtestbed.Work{
		Name: "retired", Service: e.Profile.Order.Service, PathPrefix: retiredPrefix,
		Policy: mwconfig.Policy{
			Rank: 1, Importance: ptr(mwunit.Importance(40)), Repeatable: ptr(true),
			Retired: &mwconfig.Retired{Floor: slotShare(e, floorPart), Ceiling: slotShare(e, ceilingPart)},
		},
	})
}

func retiredRequests(e mwscenario.Env) map[mwload.Kind]mwclient.Request {
	p := e.Profile
	base := mwclient.Request{
		Service: p.Order.Service, Method: http.MethodGet, Path: retiredPrefix + "orders",
		Timeout: e.Phase(retiredTimeout, retiredTimeoutShort), MaxAttempts: retiredMaxAttempts, RetryDelay: retiredRetryDelay,
	}
	regularRequest, floodRequest := base, base
	regularRequest.Caller, floodRequest.Caller = "shop-1", "shop-2"
	return map[mwload.Kind]mwclient.Request{
		browse: browseRequest(p), order: orderRequest(p), regular: regularRequest, flood: floodRequest,
	}
}

// send sends all streams of the run.
func (r *retiredTrial) send(ctx context.Context) {
	p, all := r.env.Profile, r.flooded.To
	normalRate := mwunit.PerSecond(float64(floorCapacity(r.env)) * float64(regularPart))
	r.sendStreams(ctx,
		steady(browse, all, capacityPart(p.Browse, browsePart)),
		steady(order, all, capacityPart(p.Order, orderPart)),
		steady(regular, all, normalRate),
		mwload.Stream{Kind: flood, Steps: []mwload.Step{
			{Duration: r.flooded.From}, {Duration: r.flooded.To - r.flooded.From, Rate: floodFactor * normalRate},
		}},
	)
}

func (r *retiredTrial) measures() []mwfigure.Measure {
	normal, flooded := r.tally.Sum(r.normal, browse, order), r.tally.Sum(r.flooded, browse, order)
	regularSum := r.tally.Sum(r.flooded, regular)
	e := r.env
	return []mwfigure.Measure{
		e.Measure("RestGoodput", mwfigure.Ratio, mwfigure.Value(flooded.OKRatio()/normal.OKRatio()), mwfigure.AtLeast(0.98)),
		e.Measure("RestP99", mwfigure.Ratio, quotient(flooded.Took(99), normal.Took(99)), mwfigure.AtMost(1.02)),
		e.Measure("RestP99Calm", mwfigure.Millis, millis(normal.Took(99)), mwfigure.Target{}),
		e.Measure("RestP99Storm", mwfigure.Millis, millis(flooded.Took(99)), mwfigure.Target{}),
		e.Measure("LastCallersAnswered", mwfigure.Ratio, mwfigure.Value(regularSum.OKRatio()), mwfigure.AtLeast(0.99)),
		e.Measure("LastCallersP99", mwfigure.Millis, millis(regularSum.Took(99)), mwfigure.Target{}),
		e.Measure("FloodAnswered", mwfigure.Ratio, mwfigure.Value(r.tally.Sum(r.flooded, flood).OKRatio()), mwfigure.Target{}),
		e.Measure("FalseNotRun", mwfigure.Count, mwfigure.Value(len(r.client.FalseRefusals(r.bed.Record()))), mwfigure.AtMost(0)),
	}
}
