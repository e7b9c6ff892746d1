// Package mwscenario runs scenarios: each with the treated and the baseline
// arm, over several seeds. Scenarios register themselves.
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

// Env is one run of one arm of a scenario.
type Env struct {
	Arm     mwfigure.ArmName
	Seed    mwload.Seed
	Profile mwprofile.Profile
	// Short asks for short phases.
	Short bool
	Log   *slog.Logger
}

// Treated tells whether the arm is with mustardwheel's decisions.
func (e Env) Treated() bool { return e.Arm == mwfigure.Treated }

// Phase returns d, or short in a short run.
func (e Env) Phase(d, short time.Duration) time.Duration {
	if e.Short {
		return short
	}
	return d
}

// Measure returns the value of a figure of this run. The target counts for
// the treated arm alone.
func (e Env) Measure(n mwfigure.Name, u mwfigure.Unit, v mwfigure.Value, t mwfigure.Target) mwfigure.Measure {
	if !e.Treated() {
		t = mwfigure.Target{}
	}
	return mwfigure.Measure{Arm: e.Arm, Figure: n, Unit: u, Value: v, Target: t}
}

// Scenario is one run of an experiment.
type Scenario interface {
	// Run runs the experiment once and returns what it measured; none where
	// the scenario has nothing to compare in the arm.
	Run(ctx context.Context) ([]mwfigure.Measure, error)
}

// Func is a Scenario that is a function.
type Func func(ctx context.Context) ([]mwfigure.Measure, error)

// Run calls f.
func (f Func) Run(ctx context.Context) ([]mwfigure.Measure, error) { return f(ctx) }

// Scenarios are the scenarios by name.
var Scenarios = mwregistry.New[Env, Scenario]("scenario")

// Register adds the scenario n, which run runs.
func Register(n mwfigure.ScenarioName, run func(context.Context, Env) ([]mwfigure.Measure, error)) {
	Scenarios.Register(mwregistry.Name(n), func(e Env) (Scenario, mwregistry.Cleanup, error) {
		return Func(func(ctx context.Context) ([]mwfigure.Measure, error) { return run(ctx, e) }), nil, nil
	})
}

// Plan says what Run runs.
type Plan struct {
	Names   []mwfigure.ScenarioName
	Profile mwprofile.Profile
	// Seeds is the number of runs of each arm; the first has the seed 1.
	Seeds int
	Short bool
	Log   *slog.Logger
	// Progress is told of each run before it starts.
	Progress func(text string)
}

// arms are run one after the other, each seed with both before the next.
var arms = []mwfigure.ArmName{mwfigure.Baseline, mwfigure.Treated}

// Run runs the scenarios of p one after the other and returns their figures.
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

// runSeeds returns the measures of every seed.
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
	s, end, err := Scenarios.Make(mwregistry.Name(n), e)
	if err != nil {
		return nil, err
	}
	if end != nil {
		defer end()
	}
	return s.Run(ctx)
}
