package mwmember_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcluster"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwmemnet"
)

// cluster is a Cluster with the test that uses it.
type cluster struct {
	*mwcluster.Cluster
	t *testing.T
	c *qt.C
}

// run runs f in virtual time on a cluster of zones with n nodes each.
func run(t *testing.T, zones, n int, f func(*cluster), opts ...mwcluster.Option) {
	synctest.Test(t, func(t *testing.T) {
		x, stop := mwcluster.New(opts...)
		defer stop()
		cl := &cluster{x, t, qt.New(t)}
		for z := range zones {
			for i := range n {
				cl.start(mwcluster.PlaceOf(z, i))
			}
		}
		f(cl)
	})
}

// start starts a node at p, or fails the test.
func (cl *cluster) start(p mwmemnet.Place) *mwcluster.Node {
	n, err := cl.Start(p)
	cl.c.Assert(err, qt.IsNil)
	return n
}

// advance waits for d, in virtual time.
func advance(d time.Duration) { time.Sleep(d) }

// pollInterval is the polling interval of waitFor.
const pollInterval = 50 * time.Millisecond

// waitFor waits until ok reports true. It fails the test if that takes longer
// than limit.
func (cl *cluster) waitFor(limit time.Duration, what string, ok func() bool) {
	cl.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			cl.t.Fatalf("%s: condition not met within %v", what, limit)
		}
		time.Sleep(pollInterval)
	}
	cl.t.Logf("%s: after %v", what, time.Since(start))
}

// onAll returns a condition that reports whether ok holds for each node of
// ns.
func onAll(ns []*mwcluster.Node, ok func(*mwcluster.Node) bool) func() bool {
	return func() bool {
		for _, n := range ns {
			if !ok(n) {
				return false
			}
		}
		return true
	}
}

// waitSettled waits until each node knows all others as up.
func (cl *cluster) waitSettled(limit time.Duration) {
	cl.t.Helper()
	ns := cl.Nodes()
	cl.waitFor(limit, "every node knows all others as up", onAll(ns, func(n *mwcluster.Node) bool {
		return n.CountLive() == len(ns)
	}))
}

// partition returns a function for SetLoss that loses all messages from side to
// the other side, and those in the other direction too if both is true.
func partition(both bool, side func(mwmemnet.Place) bool) func(from, to mwmemnet.Place) bool {
	return func(from, to mwmemnet.Place) bool {
		return side(from) && !side(to) || both && side(to) && !side(from)
	}
}

// inZone returns a function that reports whether a place is in zone z.
func inZone(z mwid.ZoneName) func(mwmemnet.Place) bool {
	return func(p mwmemnet.Place) bool { return p.Zone == z }
}

// inRegion returns a function that reports whether a place is in region r.
func inRegion(r mwid.RegionName) func(mwmemnet.Place) bool {
	return func(p mwmemnet.Place) bool { return p.Region == r }
}
