package mwscenario_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwbench/internal/mwfigure"
	"mustardwheel.example/mwbench/internal/mwscenario"
)

func init() {
	mwscenario.Register("count", func(_ context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
		v := mwfigure.Value(e.Seed)
		if e.Treated() {
			v *= 10
		}
		return []mwfigure.Measure{e.Measure("Seed", mwfigure.Count, v, mwfigure.AtMost(15))}, nil
	})
	mwscenario.Register("broken", func(context.Context, mwscenario.Env) ([]mwfigure.Measure, error) {
		return nil, errors.New("measurement failed")
	})
}

func TestRun(t *testing.T) {
	met := false
	tests := []struct {
		name  string
		names []mwfigure.ScenarioName
		want  []mwfigure.Figure
		err   string
	}{{
		name:  "median over the seeds of both arms",
		names: []mwfigure.ScenarioName{"count"},
		want: []mwfigure.Figure{
			{Scenario: "count", Arm: mwfigure.Baseline, Figure: "Seed", Unit: mwfigure.Count, Value: 2, Spread: 2},
			{
				Scenario: "count", Arm: mwfigure.Treated, Figure: "Seed", Unit: mwfigure.Count,
				Value: 20, Spread: 20, Target: "<= 15", Met: &met,
			},
		},
	}, {
		name:  "a scenario that fails",
		names: []mwfigure.ScenarioName{"broken"},
		err:   `scenario broken: measurement failed`,
	}, {
		name:  "unknown scenario",
		names: []mwfigure.ScenarioName{"cuont"},
		err:   `scenario cuont: UnknownPlugin .* expected one of \["broken" "count"\], not "cuont"`,
	}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var progress []string
			got, err := mwscenario.Run(t.Context(), mwscenario.Plan{
				Names: test.names, Seeds: 3, Progress: func(s string) { progress = append(progress, s) },
			})
			if test.err != "" {
				c.Assert(err, qt.ErrorMatches, test.err)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.DeepEquals, test.want)
			c.Assert(progress, qt.HasLen, 6)
			c.Assert(progress[5], qt.Equals, "count: treated arm, seed 3 of 3")
		})
	}
}
