package mwexperiment_test

import (
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"

	_ "mustardwheel.example/mwbench/internal/mwexperiment"
	"mustardwheel.example/mwbench/internal/mwfigure"
	"mustardwheel.example/mwbench/internal/mwprofile"
	"mustardwheel.example/mwbench/internal/mwscenario"
	mwprofiles "mustardwheel.example/mwbench/profiles"
)

// TestInvariants runs scenarios and checks the figures that must meet their
// targets however busy the machine is.
func TestInvariants(t *testing.T) {
	tests := []struct {
		name    mwfigure.ScenarioName
		profile mwprofile.Name
		figures []mwfigure.Name
	}{
		{name: "chain", profile: "verband", figures: []mwfigure.Name{"BottomAttempts"}},
		{name: "once", profile: "harrow", figures: []mwfigure.Name{"DoubleRuns", "FalseNotRun"}},
		{name: "config", profile: "harrow", figures: []mwfigure.Name{"Reversals"}},
		{name: "drain", profile: "verband", figures: []mwfigure.Name{"AnswersCut"}},
	}
	for _, test := range tests {
		t.Run(string(test.name), func(t *testing.T) {
			c := qt.New(t)
			p, err := mwprofile.Load(mwprofiles.Files, test.profile)
			c.Assert(err, qt.IsNil)
			fs, err := mwscenario.Run(t.Context(), mwscenario.Plan{
				Names: []mwfigure.ScenarioName{test.name}, Profile: p, Seeds: 1, Short: true,
				Log: slog.New(slog.DiscardHandler), Progress: func(string) {},
			})
			c.Assert(err, qt.IsNil)
			for _, n := range test.figures {
				f, ok := treated(fs, n)
				c.Assert(ok, qt.IsTrue, qt.Commentf("%s", n))
				c.Assert(*f.Met, qt.IsTrue, qt.Commentf("%s is %v, target %s", n, f.Value, f.Target))
			}
		})
	}
}

func treated(fs []mwfigure.Figure, n mwfigure.Name) (mwfigure.Figure, bool) {
	for _, f := range fs {
		if f.Arm == mwfigure.Treated && f.Figure == n {
			return f, true
		}
	}
	return mwfigure.Figure{}, false
}
