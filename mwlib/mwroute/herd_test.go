package mwroute_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwroute"
	"mustardwheel.example/mwlib/mwroutesim"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

// loadOfBottomService runs the bottom service at the fraction load of its capacity, with
// routers of kind ShortestDelayName.
func loadOfBottomService(c *qt.C, load mwunit.Ratio) (refused, declined mwunit.Ratio) {
	b, err := mwroutesim.NewBottom(func(n mwid.NodeID, p mwroutesim.Place) (mwkernel.Router, error) {
		set := mwsetting.Default()
		set.Place.Zone, set.Place.Region = p.Zone, p.Region
		r, end, err := mwkernel.Routers.Make(mwroute.ShortestDelayName, mwkernel.Env{
			Node: n, Settings: set, Metrics: metrics.NewSet(),
		})
		if err == nil {
			c.Cleanup(end)
		}
		return r, err
	})
	c.Assert(err, qt.IsNil)
	return b.Run(load)
}

// TestNodesDoNotCrowdOneTarget replays the load at the bottom of the call graph of
// the users' large deployment in a burst: the 18 nodes of the service above it call
// eleven targets of different speeds. A request makes four such calls, and at
// least 0.997 of the requests must be served while the service has room.
func TestNodesDoNotCrowdOneTarget(t *testing.T) {
	const callsPerRequest, served = 4, 0.997
	for _, load := range []float64{0.5, 0.7, 0.85, 0.95} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				refused, declined := loadOfBottomService(c, mwunit.Ratio(load))
				c.Logf("refused %.4f of the calls, declined %.3f of the attempts", refused, declined)
				c.Assert(refused <= (1-served)/callsPerRequest, qt.IsTrue, qt.Commentf("refused %.4f", refused))
			})
		})
	}
}
