// Package mwscenario runs scenarios: each with the treated and the baseline
// arm, over several seeds. Scenarios register themselves with Register.
package mwscenario

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"mustardwheel.example/mwbench/internal/mwfigure"
	"mustardwheel.example/mwbench/internal/mwload"
	"mustardwheel.example/mwbench/internal/mwprofile"
	"mustardwheel.example/mwlib/mwregistry"
)

// Env describes one run of one arm of a scenario.
type Env struct {
	Arm     mwfigure.ArmName
	Seed    mwload.Seed
	Profile mwprofile.Profile
	// Short selects short phases.
	Short bool
	Log   *slog.Logger
}

// Treated reports whether the arm uses mustardwheel's decisions.
func (e Env) Treated() bool { return e.Arm == mwfigure.Treated }

// Phase returns d, or short in a short run.
func (e Env) Phase(d, short time.Duration) time.Duration {
	if e.Short {
		return short
	}
	return d
}

// Measure returns the value of a figure of this run. The target applies to the
// treated arm only.
func (e Env) Measure(n mwfigure.Name, u mwfigure.Unit, v mwfigure.Value, t mwfigure.Target) mwfigure.Measure {
	if !e.Treated() {
		t = mwfigure.Target{}
	}
	return mwfigure.Measure{Arm: e.Arm, Figure: n, Unit: u, Value: v, Target: t}
}

// Scenario is one run of an experiment.
type Scenario interface {
	// Run runs the experiment once and returns its measures. There are none if
	// the scenario has nothing to compare in this arm.
	Run(ctx context.Context) ([]mwfigure.Measure, error)
}

// Func adapts a function to a Scenario.
type Func func(ctx context.Context) ([]mwfigure.Measure, error)

// Run calls f.
func (f Func) Run(ctx context.Context) ([]mwfigure.Measure, error) { return f(ctx) }

// Scenarios is the registry of scenarios.
var Scenarios = mwregistry.New[Env, Scenario]("scenario")

// Register registers the function run as scenario n.
func Register(n mwfigure.ScenarioName, run func(context.Context, Env) ([]mwfigure.Measure, error)) {
	Scenarios.Register(mwregistry.Name(n), func(e Env) (Scenario, mwregistry.Cleanup, error) {
		return Func(func(ctx context.Context) ([]mwfigure.Measure, error) { return run(ctx, e) }), nil, nil
	})
}

// Plan describes which scenarios Run runs, and how.
type Plan struct {
	Names   []mwfigure.ScenarioName
	Profile mwprofile.Profile
	// Seeds is the number of runs of each arm, with the seeds 1 to Seeds.
	Seeds int
	Short bool
	Log   *slog.Logger
	// Progress is called with a description of each run before the run starts.
	Progress func(text string)
}

// arms are the arms in the order in which they run for each seed.
var arms = []mwfigure.ArmName{mwfigure.Baseline, mwfigure.Treated}

// Run runs the scenarios of p in sequence and returns their figures. If a
// scenario fails, Run returns its error and the figures of the scenarios before
// it.
func Run(ctx context.Context, p Plan) ([]mwfigure.Figure, error) {
	var out []mwfigure.Figure
	for _, n := range p.Names {
		runs, err := p.runSeeds(ctx, n)
		if err != nil {
			return out, fmt.Errorf("scenario %s: %w", n, err)
		}
		out = append(out, mwfigure.Merge(n, runs)...)
	}
	return out, nil
}

// runSeeds runs scenario n and returns the measures of each seed.
func (p Plan) runSeeds(ctx context.Context, n mwfigure.ScenarioName) ([][]mwfigure.Measure, error) {
	var runs [][]mwfigure.Measure
	for seed := 1; seed <= p.Seeds; seed++ {
		var both []mwfigure.Measure
		for _, arm := range arms {
			p.Progress(fmt.Sprintf("%s: %s arm, seed %d of %d", n, arm, seed, p.Seeds))
			ms, err := p.runArm(ctx, n, Env{
				Arm: arm, Seed: mwload.Seed(seed), Profile: p.Profile, Short: p.Short, Log: p.Log,
			})
			if err != nil {
				return nil, err
			}
			both = append(both, ms...)
		}
		runs = append(runs, both)
	}
	return runs, nil
}

func (p Plan) runArm(ctx context.Context, n mwfigure.ScenarioName, e Env) ([]mwfigure.Measure, error) {
	s, cleanup, err := Scenarios.Make(mwregistry.Name(n), e)
	if err != nil {
		return nil, err
	}
	if cleanup != nil {
		defer cleanup()
	}
	return s.Run(ctx)
}
