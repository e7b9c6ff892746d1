package mwroute_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwroutesim"
	"mustardwheel.example/mwlib/mwunit"
)

// oneZone places six nodes and six targets in one zone; sixZones places one
// node and one target in each of six zones.
var (
	oneZone  = []mwid.ZoneName{"wien-a", "wien-a", "wien-a", "wien-a", "wien-a", "wien-a"}
	sixZones = []mwid.ZoneName{"wien-a", "wien-b", "graz-a", "graz-b", "linz-a", "linz-b"}
)

// runServers offers targets in zones a load through an entry node in each.
func runServers(c *qt.C, zones []mwid.ZoneName, seed uint64, slow mwroutesim.Factor, load mwunit.Ratio) (p99 time.Duration, refused mwunit.Ratio) {
	var ts []mwcall.Target
	var nodes []mwroutesim.Node
	for _, z := range zones {
		ts = append(ts, targets(1, z)...)
		nodes = append(nodes, mwroutesim.Node{Router: newTestIn(c, mwregistry.Name(*router), z).router, Region: regionOf[z]})
	}
	return mwroutesim.NewServers(ts, nodes, call, seed, slow).Run(load)
}

// router is the plug-in that TestSlowTargets measures; its bounds are checked
// for "cost" only.
var router = flag.String("router", "cost", "router to measure with slow targets")

func TestSlowTargets(t *testing.T) {
	const seeds, load = 3, 0.5
	tests := []struct {
		name  string
		zones []mwid.ZoneName
		slow  mwroutesim.Factor
		bound float64 // bound is the maximum p99 relative to that with healthy targets.
	}{
		{"one in six is slow", oneZone, mwroutesim.OneSlow, 1.5},
		{"one in six is slow, a zone each", sixZones, mwroutesim.OneSlow, 3},
		{"short spells", oneZone, mwroutesim.Spells, 6.5},
		{"short spells, a zone each", sixZones, mwroutesim.Spells, 6.5},
		{"stragglers", oneZone, mwroutesim.Stragglers, 2.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					h99, _ := runServers(c, test.zones, seed, mwroutesim.Healthy, load)
					s99, refused := runServers(c, test.zones, seed, test.slow, load)
					ratio := float64(s99) / float64(h99)
					t.Logf("seed %d: p99 healthy %v, slow %v; refused %.4f, ratio %.2f", seed, h99, s99, refused, ratio)
					c.Check(ratio <= test.bound || *router != "cost", qt.IsTrue)
				})
			}
		})
	}
}
