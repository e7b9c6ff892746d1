// Package mwfigure defines the figures that scenarios measure, their targets,
// and the reports.
package mwfigure

import (
	"fmt"
	"slices"
	"strconv"
)

// Name is the name of a figure, unique within its scenario.
type Name string

// ScenarioName is the name of a scenario.
type ScenarioName string

// ArmName is the name of one of the alternatives that a scenario compares.
type ArmName string

// Arms of a scenario.
const (
	// Treated runs with mustardwheel's decisions.
	Treated ArmName = "treated"
	// Baseline is a relay with two-choice routing, retries at each hop and no
	// limits.
	Baseline ArmName = "baseline"
)

// Unit is the unit of a figure.
type Unit string

// Units of figures.
const (
	Ratio     Unit = "ratio"
	Millis    Unit = "ms"
	Seconds   Unit = "s"
	PerSecond Unit = "1/s"
	Count     Unit = "count"
	Percent   Unit = "%"
	Bytes     Unit = "bytes"
)

// Value is the value of a figure in its Unit.
type Value float64

// Target is a bound on a Value. Every Value meets the zero Target.
type Target struct {
	op    string
	bound Value
}

// AtMost returns a Target that is met by values <= v.
func AtMost(v Value) Target { return Target{op: "<=", bound: v} }

// AtLeast returns a Target that is met by values >= v.
func AtLeast(v Value) Target { return Target{op: ">=", bound: v} }

// String returns "<= bound" or ">= bound", and "" for the zero Target.
func (t Target) String() string {
	if t.op == "" {
		return ""
	}
	return t.op + " " + format(t.bound)
}

// Met reports whether v meets t.
func (t Target) Met(v Value) bool {
	switch t.op {
	case "<=":
		return v <= t.bound
	case ">=":
		return v >= t.bound
	}
	return true
}

// Measure is the value of one figure in one run.
type Measure struct {
	Arm    ArmName
	Figure Name
	Unit   Unit
	Value  Value
	Target Target
}

// Figure is a figure aggregated over all seeds, one line of a report.
type Figure struct {
	Scenario ScenarioName
	Arm      ArmName
	Figure   Name
	Unit     Unit
	// Value is the median over the seeds.
	Value Value
	// Spread is the maximum over the seeds minus the minimum.
	Spread Value
	// Target is empty if the figure has none.
	Target string
	// Met reports whether Value meets Target; it is nil without a Target.
	Met *bool `json:",omitempty"`
}

// Merge returns the figures of scenario s, aggregated over the measures of its
// runs, in order of first appearance.
func Merge(s ScenarioName, runs [][]Measure) []Figure {
	type key struct {
		arm    ArmName
		figure Name
	}
	var order []Measure
	values := make(map[key][]Value)
	for _, run := range runs {
		for _, m := range run {
			k := key{m.Arm, m.Figure}
			if values[k] == nil {
				order = append(order, m)
			}
			values[k] = append(values[k], m.Value)
		}
	}
	var out []Figure
	for _, m := range order {
		out = append(out, newFigure(s, m, values[key{m.Arm, m.Figure}]))
	}
	return out
}

func newFigure(s ScenarioName, m Measure, vs []Value) Figure {
	slices.Sort(vs)
	f := Figure{
		Scenario: s, Arm: m.Arm, Figure: m.Figure, Unit: m.Unit,
		Value: median(vs), Spread: vs[len(vs)-1] - vs[0], Target: m.Target.String(),
	}
	if f.Target != "" {
		met := m.Target.Met(f.Value)
		f.Met = &met
	}
	return f
}

// median returns the median of vs, which must be sorted and not empty.
func median(vs []Value) Value {
	n := len(vs)
	if n%2 == 1 {
		return vs[n/2]
	}
	return (vs[n/2-1] + vs[n/2]) / 2
}

// significantDigits is the number of significant digits in reports.
const significantDigits = 4

func format(v Value) string {
	if v == Value(int64(v)) {
		return strconv.FormatInt(int64(v), 10)
	}
	return fmt.Sprintf("%.*g", significantDigits, float64(v))
}
