package mwfigure_test

import (
	"bytes"
	"flag"
	"io"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwbench/internal/mwfigure"
)

var update = flag.Bool("update", false, "update the golden files")

var runs = [][]mwfigure.Measure{
	{
		{Arm: mwfigure.Treated, Figure: "Goodput", Unit: mwfigure.Ratio, Value: 0.96, Target: mwfigure.AtLeast(0.95)},
		{Arm: mwfigure.Treated, Figure: "P99", Unit: mwfigure.Millis, Value: 31, Target: mwfigure.AtMost(25.5)},
		{Arm: mwfigure.Baseline, Figure: "Goodput", Unit: mwfigure.Ratio, Value: 0.123456789},
	},
	{
		{Arm: mwfigure.Treated, Figure: "Goodput", Unit: mwfigure.Ratio, Value: 0.94, Target: mwfigure.AtLeast(0.95)},
		{Arm: mwfigure.Treated, Figure: "P99", Unit: mwfigure.Millis, Value: 29, Target: mwfigure.AtMost(25.5)},
		{Arm: mwfigure.Baseline, Figure: "Goodput", Unit: mwfigure.Ratio, Value: 0.3},
	},
	{
		{Arm: mwfigure.Treated, Figure: "Goodput", Unit: mwfigure.Ratio, Value: 0.99, Target: mwfigure.AtLeast(0.95)},
	},
}

func TestReports(t *testing.T) {
	tests := []struct {
		name   string
		golden string
		write  func(io.Writer, []mwfigure.Figure) error
	}{
		{name: "JSON lines", golden: "testdata/report.json", write: mwfigure.WriteJSON},
		{name: "table", golden: "testdata/report.txt", write: mwfigure.WriteTable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var b bytes.Buffer
			c.Assert(test.write(&b, mwfigure.Merge("overload", runs)), qt.IsNil)
			if *update {
				c.Assert(os.WriteFile(test.golden, b.Bytes(), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(test.golden)
			c.Assert(err, qt.IsNil)
			c.Assert(b.String(), qt.Equals, string(want))
		})
	}
}

func TestMissed(t *testing.T) {
	c := qt.New(t)
	missed := mwfigure.Missed(mwfigure.Merge("overload", runs))
	c.Assert(missed, qt.HasLen, 1)
	c.Assert(missed[0].Figure, qt.Equals, mwfigure.Name("P99"))
	c.Assert(missed[0].Value, qt.Equals, mwfigure.Value(30))
	c.Assert(missed[0].Spread, qt.Equals, mwfigure.Value(2))
}
