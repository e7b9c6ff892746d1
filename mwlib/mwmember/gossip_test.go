package mwmember_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcluster"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwmember"
	"mustardwheel.example/mwlib/mwmemnet"
	"mustardwheel.example/mwlib/mwset"
	"mustardwheel.example/mwlib/mwunit"
)

// unreachableStore makes the store unreachable.
var unreachableStore = mwfakestore.Faults{Unavailable: true}

func TestAllFindEachOther(t *testing.T) {
	run(t, 4, 4, func(cl *cluster) { cl.waitSettled(30 * time.Second) })
}

func TestLeaverIsKnownEverywhere(t *testing.T) {
	tests := []struct {
		name string
		loss mwunit.Ratio
		i    int
	}{
		{"a node", 0, 7},
		{"another node", 0, 12},
		{"with lost messages", 0.1, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, 4, 12, func(cl *cluster) {
				cl.waitSettled(30 * time.Second)
				cl.Net.SetLoss(func(_, _ mwmemnet.Place) bool { return cl.Net.Chance(test.loss) })
				gone := cl.Nodes()[test.i]
				gone.Leave()
				cl.waitFor(3*time.Second, "leaver known", mwcluster.OnAll(cl.Nodes(), hasState(gone.ID, mwcall.Leaving)))
			})
		})
	}
}

// hasState returns a function that reports whether a node knows the target at
// id in state s.
func hasState(id mwid.NodeID, s mwcall.TargetState) func(*mwcluster.Node) bool {
	return func(n *mwcluster.Node) bool {
		got, ok := n.State(id)
		return ok && got == s
	}
}

// knowsNone returns a function that reports whether a node knows no target at
// any of ids.
func knowsNone(ids ...mwid.NodeID) func(*mwcluster.Node) bool {
	set := mwset.New(ids...)
	return func(n *mwcluster.Node) bool {
		for _, t := range n.Targets(mwcluster.Service) {
			if set.Has(t.Node) {
				return false
			}
		}
		return true
	}
}

func TestDeadNodeIsForgotten(t *testing.T) {
	run(t, 2, 8, func(cl *cluster) {
		cl.waitSettled(30 * time.Second)
		gone := cl.Nodes()[3]
		mwcluster.Crash(gone)
		cl.waitFor(10*time.Second, "death known", mwcluster.OnAll(cl.Nodes(), knowsNone(gone.ID)))
	})
}

func TestEndedNodeIsForgottenAtOnce(t *testing.T) {
	run(t, 2, 8, func(cl *cluster) {
		cl.waitSettled(30 * time.Second)
		gone := cl.Nodes()[3]
		gone.Stop()
		cl.waitFor(time.Second, "departure known", mwcluster.OnAll(cl.Nodes(), knowsNone(gone.ID)))
	})
}

func TestReplacedVM(t *testing.T) {
	run(t, 2, 6, func(cl *cluster) {
		cl.waitSettled(30 * time.Second)
		old := cl.Nodes()[2]
		mwcluster.Crash(old)
		x := cl.start(old.Place)
		cl.waitFor(3*time.Second, "new boot known", mwcluster.OnAll(cl.Nodes(), hasState(x.ID, mwcall.Up)))
		cl.waitFor(3*time.Second, "old boot dead", mwcluster.OnAll(cl.Nodes(), knowsNone(old.ID)))
	})
}

func TestCutIsMarkedAsAWhole(t *testing.T) {
	tests := []struct {
		name string
		both bool
		side func(mwmemnet.Place) bool
		cut  time.Duration
	}{
		{"zone", true, mwcluster.InZone("zone-a"), time.Minute},
		{"region", true, mwcluster.InRegion("region-0"), 15 * time.Minute},
		{"zone that can't send", false, mwcluster.InZone("zone-a"), time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, 4, 5, func(cl *cluster) {
				cl.waitSettled(30 * time.Second)
				cl.Net.SetLoss(mwcluster.Partition(test.both, test.side))
				cl.waitFor(8*time.Second, "the other side is unreachable", mwcluster.OnAll(cl.Nodes(), func(n *mwcluster.Node) bool {
					return cl.seesPartition(n, test.side)
				}))
				advance(test.cut)
				cl.c.Assert(mwcluster.OnAll(cl.Nodes(), func(n *mwcluster.Node) bool {
					return cl.seesPartition(n, test.side) && len(n.Targets(mwcluster.Service)) == len(cl.Nodes())
				})(), qt.IsTrue)
				cl.Net.SetLoss(nil)
				cl.waitSettled(5 * time.Second)
			})
		})
	}
}

// seesPartition reports whether n knows all targets on its own side as up and
// all others as unreachable.
func (cl *cluster) seesPartition(n *mwcluster.Node, side func(mwmemnet.Place) bool) bool {
	for _, x := range cl.Nodes() {
		want := mwcall.Up
		if side(n.Place) != side(x.Place) {
			want = mwcall.Unreachable
		}
		if s, ok := n.State(x.ID); !ok || s != want {
			return false
		}
	}
	return true
}

func TestRelaysDie(t *testing.T) {
	run(t, 3, 8, func(cl *cluster) {
		cl.waitSettled(30 * time.Second)
		for _, n := range cl.Nodes() {
			if n.Place.Zone == "zone-a" && n.Relay() {
				mwcluster.Crash(n)
			}
		}
		cl.c.Assert(cl.Nodes(), qt.HasLen, 24-mwmember.RelaysPerZone)
		cl.waitSettled(15 * time.Second)
		last := cl.Nodes()[0]
		last.Leave()
		cl.waitFor(3*time.Second, "leaver known", mwcluster.OnAll(cl.Nodes(), hasState(last.ID, mwcall.Leaving)))
	})
}

func TestStartsWithoutTheTable(t *testing.T) {
	run(t, 0, 0, func(cl *cluster) {
		cl.Store.SetFaults(unreachableStore)
		first := cl.start(mwcluster.PlaceOf(0, 0))
		for i := 1; i < 6; i++ {
			_, err := cl.Start(mwcluster.PlaceOf(i%2, i), mwmember.WithJoin("10.9.9.9:7002", first.Place.Address))
			cl.c.Assert(err, qt.IsNil)
		}
		cl.waitSettled(10 * time.Second)
	})
}

func TestHalvesFindTogether(t *testing.T) {
	run(t, 0, 0, func(cl *cluster) {
		cl.Store.SetFaults(unreachableStore)
		for i := range 8 {
			_, err := cl.Start(mwcluster.PlaceOf(0, i), mwmember.WithJoin(mwcluster.PlaceOf(0, i%2).Address))
			cl.c.Assert(err, qt.IsNil)
		}
		advance(10 * time.Second)
		cl.c.Assert(cl.Nodes()[0].CountLive(), qt.Equals, 4)
		cl.Store.SetFaults(mwfakestore.Faults{})
		cl.waitSettled(2 * time.Minute)
	})
}

func TestNodeThatHearsNobodyHarmsNobody(t *testing.T) {
	run(t, 2, 12, func(cl *cluster) {
		cl.waitSettled(30 * time.Second)
		x := cl.Nodes()[5]
		cl.Net.SetLoss(func(_, to mwmemnet.Place) bool { return to.Address == x.Place.Address })
		var rest []*mwcluster.Node
		for _, n := range cl.Nodes() {
			if n != x {
				rest = append(rest, n)
			}
		}
		maxDown := 0
		for end := time.Now().Add(time.Minute); time.Now().Before(end); advance(pollInterval) {
			for _, n := range rest {
				maxDown = max(maxDown, len(rest)-n.CountLive())
			}
		}
		t.Logf("at most %d others were not up", maxDown)
		cl.c.Check(maxDown <= 1, qt.IsTrue)
		cl.c.Check(mwcluster.OnAll(rest, knowsNone(x.ID))(), qt.IsTrue)
		cl.Net.SetLoss(nil)
		cl.waitSettled(2 * time.Minute)
	})
}
