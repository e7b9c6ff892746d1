package mwexperiment

import (
	"context"
	"fmt"
	"time"

	"mustardwheel.example/mwbench/internal/mwfigure"
	"mustardwheel.example/mwbench/internal/mwscenario"
	"mustardwheel.example/mwlib/mwslope"
)

func init() { mwscenario.Register("control", runControl) }

// Size to design for, and the maximum cost of control per node at that size.
const (
	designNodes                  = 4100
	designZones                  = 13
	coreTarget                   = 4.7 // percent of a core
	memoryTarget                 = 128 // MB
	bytesTarget                  = 5   // KB/s
	bytesPerMB                   = 1 << 20
	bytesPerKB                   = 1 << 10
	controlMeasure               = 8 * time.Second
	megabytes      mwfigure.Unit = "MB"
	kilobytes      mwfigure.Unit = "KB/s"
)

// controlSizes are the numbers of nodes that are measured, each over
// designZones zones.
var controlSizes = []int{39, 78, 156, 312}

// runControl measures the cost of control per node at several sizes and
// extrapolates each cost to designNodes. The nodes are connected by an
// in-memory network.
func runControl(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	if !e.Treated() {
		return nil, nil // The baseline has no control of its own.
	}
	if e.Short {
		e.Log.Warn("scenario control skipped in a short run: its nodes need time to settle")
		return nil, nil
	}
	var c controlCosts
	for _, n := range controlSizes {
		r, err := mwslope.Run(ctx, n, mwslope.WithZones(designZones),
			mwslope.WithMeasure(controlMeasure))
		if err != nil {
			return nil, fmt.Errorf("%d nodes: %w", n, err)
		}
		c.add(r)
	}
	return c.measures(e), nil
}

// controlCosts holds the costs of one node at each size.
type controlCosts struct {
	core, memory, bytes []mwfigure.Point
	longestChange       time.Duration // duration of the slowest change
}

func (c *controlCosts) add(r mwslope.Report) {
	n := mwfigure.Value(r.Nodes)
	var wire mwfigure.Value
	for _, role := range r.Roles {
		wire = max(wire, mwfigure.Value(role.Wire)/bytesPerKB)
	}
	c.core = append(c.core, mwfigure.Point{Size: n, Value: mwfigure.Value(r.Core) * 100})
	c.memory = append(c.memory, mwfigure.Point{Size: n, Value: mwfigure.Value(r.Memory) / bytesPerMB})
	c.bytes = append(c.bytes, mwfigure.Point{Size: n, Value: wire})
	for _, d := range r.Changes {
		c.longestChange = max(c.longestChange, d)
	}
}

func (c *controlCosts) measures(e mwscenario.Env) []mwfigure.Measure {
	var ms []mwfigure.Measure
	for _, x := range []struct {
		name   mwfigure.Name
		unit   mwfigure.Unit
		points []mwfigure.Point
		target mwfigure.Value
	}{
		{"Core", mwfigure.Percent, c.core, coreTarget},
		{"Memory", megabytes, c.memory, memoryTarget},
		{"WorstRoleSends", kilobytes, c.bytes, bytesTarget},
	} {
		for _, p := range x.points {
			name := fmt.Sprintf("%sAt%d", x.name, int(p.Size))
			ms = append(ms, e.Measure(mwfigure.Name(name), x.unit, p.Value, mwfigure.Target{}))
		}
		name := fmt.Sprintf("%sAt%d", x.name, designNodes)
		ms = append(ms, e.Measure(mwfigure.Name(name), x.unit,
			mwfigure.Extrapolate(designNodes, x.points...), mwfigure.AtMost(x.target)))
	}
	return append(ms, e.Measure("LongestChange", mwfigure.Seconds,
		mwfigure.Value(c.longestChange.Seconds()), mwfigure.AtMost(configTarget)))
}
