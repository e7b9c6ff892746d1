package mwversion_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcluster"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwmember"
	"mustardwheel.example/mwlib/mwmemnet"
	"mustardwheel.example/mwlib/mwoperator"
)

// cluster is a simulated cluster with an operator.
type cluster struct {
	*mwcluster.Cluster
	t  *testing.T
	c  *qt.C
	op *mwoperator.Operator
}

// unavailable is the fault that makes the store unavailable.
var unavailable = mwfakestore.Faults{Unavailable: true}

// run runs f in virtual time on a cluster with the given number of zones and n
// nodes per zone.
func run(t *testing.T, zones, n int, f func(*cluster), opts ...mwcluster.Option) {
	synctest.Test(t, func(t *testing.T) {
		x, stop := mwcluster.New(opts...)
		defer stop()
		cl := &cluster{x, t, qt.New(t), mwoperator.New(x.Store)}
		for z := range zones {
			for i := range n {
				cl.start(mwcluster.PlaceOf(z, i))
			}
		}
		time.Sleep(3 * time.Second)
		f(cl)
	})
}

// start starts a new node at p. The node knows one address in each of the
// first two zones.
func (cl *cluster) start(p mwmemnet.Place) *mwcluster.Node {
	n, err := cl.Start(p, mwmember.WithJoin(
		mwcluster.PlaceOf(0, 0).Address, mwcluster.PlaceOf(1, 1).Address))
	cl.c.Assert(err, qt.IsNil)
	return n
}

// policy returns a policy that sets importance n.
func policy(name mwconfig.DocumentName, n int) mwconfig.Document {
	return mwconfig.Document{
		Kind: mwconfig.KindPolicy, Name: name,
		Spec: json.RawMessage(fmt.Sprintf(`{"Importance":%d}`, n)),
	}
}

// apply applies a policy as an operator and returns the version of the change.
func (cl *cluster) apply(name mwconfig.DocumentName, importance int) mwid.Version {
	cl.t.Helper()
	ctx := cl.t.Context()
	e := mwoperator.Edit{Document: policy(name, importance)}
	if s, err := cl.op.Get(ctx, mwconfig.KindPolicy, name); err == nil {
		e.Expected = s.Revision
	}
	r, err := cl.op.Apply(ctx, mwid.NewOperationID(), "eva", []mwoperator.Edit{e})
	cl.c.Assert(err, qt.IsNil)
	return r.Version
}

// advance advances virtual time by d.
func advance(d time.Duration) { time.Sleep(d) }

// checkPeriod is the interval at which tests check the versions in force.
const checkPeriod = 50 * time.Millisecond

// waitForVersion waits until v is in force at all of ns, and fails the test if
// that takes longer than limit.
func (cl *cluster) waitForVersion(limit time.Duration, v mwid.Version, ns []*mwcluster.Node) {
	cl.t.Helper()
	start := time.Now()
	for !mwcluster.InForce(v, ns) {
		if time.Since(start) > limit {
			cl.t.Fatalf("version %d is not in force at each of the %d nodes after %v", v, len(ns), limit)
		}
		time.Sleep(checkPeriod)
	}
	cl.t.Logf("version %d is in force at %d nodes after %v", v, len(ns), time.Since(start))
}
