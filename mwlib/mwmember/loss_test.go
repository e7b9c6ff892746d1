package mwmember_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcluster"
	"mustardwheel.example/mwlib/mwid"
)

// Numbers of nodes in the zone that is lost and in each of the others.
const (
	largeZone = 48
	smallZone = 8
)

// runLoss runs f on a cluster of one large zone and two small ones.
func runLoss(t *testing.T, f func(cl *cluster, large []*mwcluster.Node)) {
	run(t, 0, 0, func(cl *cluster) {
		var large []*mwcluster.Node
		for i := range largeZone {
			large = append(large, cl.start(mwcluster.PlaceOf(0, i)))
		}
		for i := range smallZone {
			cl.start(mwcluster.PlaceOf(1, i))
			cl.start(mwcluster.PlaceOf(2, i))
		}
		cl.waitSettled(30 * time.Second)
		f(cl, large)
	})
}

// idsOf returns the IDs of ns.
func idsOf(ns []*mwcluster.Node) []mwid.NodeID {
	var out []mwid.NodeID
	for _, n := range ns {
		out = append(out, n.ID)
	}
	return out
}

func TestZoneIsLostAndReplaced(t *testing.T) {
	runLoss(t, func(cl *cluster, large []*mwcluster.Node) {
		mwcluster.Crash(large...)
		cl.waitFor(8*time.Second, "lost zone is unreachable", mwcluster.OnAll(cl.Nodes(), hasState(large[7].ID, mwcall.Unreachable)))
		rest := cl.Nodes()
		for _, n := range large {
			cl.start(n.Place)
		}
		cl.waitFor(30*time.Second, "old boots are dead", mwcluster.OnAll(cl.Nodes(), knowsNone(idsOf(large)...)))
		cl.waitSettled(30 * time.Second)
		for _, n := range rest {
			cl.c.Check(n.Metrics.GetOrCreateCounter("mw_member_refutations_total").Get(), qt.Equals, uint64(0))
		}
	})
}

func TestMostOfAZoneIsLost(t *testing.T) {
	runLoss(t, func(cl *cluster, large []*mwcluster.Node) {
		lost := large[:largeZone*4/5]
		mwcluster.Crash(lost...)
		cl.waitFor(60*time.Second, "lost nodes are dead", mwcluster.OnAll(cl.Nodes(), knowsNone(idsOf(lost)...)))
		cl.waitSettled(5 * time.Second)
	})
}

func TestAllRestartAtOnce(t *testing.T) {
	run(t, 3, 12, func(cl *cluster) {
		cl.waitSettled(30 * time.Second)
		old := cl.Nodes()
		mwcluster.Crash(old...)
		for _, n := range old {
			cl.start(n.Place)
		}
		cl.waitFor(10*time.Second, "old boots are dead", mwcluster.OnAll(cl.Nodes(), knowsNone(idsOf(old)...)))
		cl.waitSettled(10 * time.Second)
	})
}
