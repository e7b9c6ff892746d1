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

func init() { mwscenario.Register("crest", runCrest) }

// proof is the kind of requests for proofs.
const proof mwload.Kind = "proof"

// Load of the scenario, as fractions of the capacity of the proof service.
// Orders go to their own service, which calls the proof service. The rate of
// browsing rises to crestFactor times crestBrowse and falls again.
const (
	crestOrders mwunit.Ratio = 0.2
	crestProofs mwunit.Ratio = 0.3
	crestBrowse mwunit.Ratio = 0.4
	crestFactor mwunit.Ratio = 5
)

// crestSteps is the number of steps of the rise, and of the fall.
const crestSteps = 4

func runCrest(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	p := e.Profile
	spec := mwtestbed.Spec{
		Services: []mwtestbed.Service{
			serviceOf(p.Browse, shortWork(p.Browse, getStage(p.Proof.Service))),
			serviceOf(p.Order, shortWork(p.Order, mwfakeserver.Stage{{
				Service: p.Proof.Service, Method: http.MethodGet, Path: proofPath,
			}})),
			serviceOf(p.Proof, shortWork(p.Proof)),
		},
		Works: append(standardWorks(p), mwtestbed.Work{
			Name: "browsing-proofs", Service: p.Proof.Service, Method: http.MethodGet,
			Policy: mwconfig.Policy{Rank: -1, Repeatable: ptr(true)},
		}),
	}
	return runLoadScenario(ctx, e, spec, map[mwload.Kind]mwclient.Request{
		browse: browseRequest(p), order: orderRequest(p), proof: proofRequest(p),
	}, newCrestTrial)
}

// crestTrial raises browsing to crestFactor times its normal rate and lowers it
// again, while the rates of orders and proofs stay constant.
type crestTrial struct {
	*trial
	step  time.Duration
	swing mwload.Span
}

func newCrestTrial(t *trial) *crestTrial {
	step := t.env.Phase(700*time.Millisecond, 80*time.Millisecond)
	return &crestTrial{trial: t, step: step, swing: mwload.Span{From: step, To: step + 2*crestSteps*step}}
}

func (c *crestTrial) send(ctx context.Context) {
	p := c.env.Profile.Proof
	c.sendStreams(ctx,
		steady(order, c.swing.To, capacityPart(p, crestOrders)),
		steady(proof, c.swing.To, capacityPart(p, crestProofs)),
		mwload.Stream{Kind: browse, Steps: c.steps(capacityPart(p, crestBrowse))},
	)
}

// steps returns the rise and fall of a stream whose normal rate is r.
func (c *crestTrial) steps(r mwunit.PerSecond) []mwload.Step {
	out := []mwload.Step{{Duration: c.step, Rate: r}}
	for i := range 2 * crestSteps {
		up := min(i+1, 2*crestSteps-i)
		f := 1 + (crestFactor-1)*mwunit.Ratio(up)/crestSteps
		out = append(out, mwload.Step{Duration: c.step, Rate: mwunit.PerSecond(float64(r) * float64(f))})
	}
	return out
}

func (c *crestTrial) measures() []mwfigure.Measure {
	important := c.tally.Sum(c.swing, order, proof)
	orders, proofs := c.tally.Sum(c.swing, order), c.tally.Sum(c.swing, proof)
	browsing := c.tally.Sum(c.swing, browse)
	e := c.env
	return []mwfigure.Measure{
		e.Measure("OrdersAndProofsAnswered", mwfigure.Ratio, mwfigure.Value(important.OKRatio()), mwfigure.AtLeast(0.999)),
		e.Measure("OrdersAnswered", mwfigure.Ratio, mwfigure.Value(orders.OKRatio()), mwfigure.Target{}),
		e.Measure("ProofsAnswered", mwfigure.Ratio, mwfigure.Value(proofs.OKRatio()), mwfigure.Target{}),
		e.Measure("OrdersAndProofsP99", mwfigure.Millis, millis(important.Took(99)), mwfigure.Target{}),
		e.Measure("BrowsingAnswered", mwfigure.Ratio, mwfigure.Value(browsing.OKRatio()), mwfigure.Target{}),
		e.Measure("DoubleRuns", mwfigure.Count, mwfigure.Value(len(c.bed.Record().DuplicateKeys())), mwfigure.AtMost(0)),
	}
}
