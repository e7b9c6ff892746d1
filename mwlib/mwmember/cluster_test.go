package mwmember_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcluster"
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

// waitSettled waits until each node knows all others as up.
func (cl *cluster) waitSettled(limit time.Duration) {
	cl.t.Helper()
	ns := cl.Nodes()
	cl.waitFor(limit, "every node knows all others as up", mwcluster.OnAll(ns, func(n *mwcluster.Node) bool {
		return n.CountLive() == len(ns)
	}))
}
