package mwversion_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcluster"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwmemnet"
	"mustardwheel.example/mwlib/mwstore"
)

// propagationLimit is the time within which a change must be in force at all
// nodes.
const propagationLimit = 5 * time.Second

func TestChangeIsInForceEverywhere(t *testing.T) {
	run(t, 4, 6, func(cl *cluster) {
		for i := range 3 {
			cl.waitForVersion(propagationLimit, cl.apply("p", i), cl.Nodes())
		}
	})
}

// cutStore is a store whose Get fails while cut is true.
type cutStore struct {
	mwstore.Store
	cut *atomic.Bool
}

// Get reads a row if the store is available.
func (s cutStore) Get(ctx context.Context, k mwstore.Key) (mwstore.Row, error) {
	if s.cut.Load() {
		return mwstore.Row{}, mwcode.New(mwcode.StoreAway)
	}
	return s.Store.Get(ctx, k)
}

func TestZoneIsCutOffAndRejoins(t *testing.T) {
	tests := []struct {
		name  string
		store bool // whether the zone is cut off from the store as well
	}{
		{"from other zones", false},
		{"from other zones and the store", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var isCut atomic.Bool
			run(t, 4, 5, func(cl *cluster) {
				cl.waitForVersion(propagationLimit, cl.apply("p", 1), cl.Nodes())
				isCut.Store(test.store)
				cl.Net.SetLoss(mwcluster.Partition(true, mwcluster.InZone("zone-c")))
				advance(time.Minute)
				in, out := cl.Split("zone-c")
				v := cl.apply("p", 2)
				cl.waitForVersion(propagationLimit, v, out)
				advance(propagationLimit)
				cl.c.Assert(mwcluster.InForce(v, in), qt.Equals, !test.store)
				cl.Net.SetLoss(nil)
				cl.waitForVersion(propagationLimit, v, in)
			}, mwcluster.WithStoreWrapper(func(s mwstore.Store, p mwmemnet.Place) mwstore.Store {
				if p.Zone == "zone-c" {
					return cutStore{s, &isCut}
				}
				return s
			}))
		})
	}
}

func TestStoreIsAwayForLong(t *testing.T) {
	run(t, 2, 5, func(cl *cluster) {
		v := cl.apply("p", 1)
		cl.waitForVersion(propagationLimit, v, cl.Nodes())
		cl.Store.SetFaults(unavailable)
		advance(10 * time.Minute)
		cl.c.Assert(mwcluster.InForce(v, cl.Nodes()), qt.IsTrue)
		for _, n := range cl.Nodes()[:9] { // All nodes but one are replaced, one at a time.
			mwcluster.Crash(n)
			x := cl.start(n.Place)
			cl.waitForVersion(propagationLimit, v, []*mwcluster.Node{x})
		}
		cl.Store.SetFaults(mwfakestore.Faults{})
		cl.waitForVersion(propagationLimit, cl.apply("p", 2), cl.Nodes())
	})
}

func TestNoSourceGivesNoSnapshot(t *testing.T) {
	run(t, 0, 0, func(cl *cluster) {
		cl.apply("p", 1)
		cl.Store.SetFaults(unavailable)
		for i := range 6 {
			cl.start(mwcluster.PlaceOf(0, i))
		}
		advance(time.Minute)
		for _, n := range cl.Nodes() {
			cl.c.Assert(n.Config.Snapshot(), qt.IsNil)
		}
		cl.Store.SetFaults(mwfakestore.Faults{})
		cl.waitForVersion(propagationLimit, 1, cl.Nodes())
	})
}

// count returns the value of the counter of n with the given name.
func count(n *mwcluster.Node, name string) uint64 {
	return n.Metrics.GetOrCreateCounter(name).Get()
}

func TestStaleReadsAreCounted(t *testing.T) {
	run(t, 1, 1, func(cl *cluster) {
		n := cl.Nodes()[0]
		cl.apply("p", 1)
		cl.waitForVersion(propagationLimit, cl.apply("p", 2), cl.Nodes())
		cl.Store.SetFaults(mwfakestore.Faults{Stale: 1})
		advance(propagationLimit)
		cl.c.Assert(n.Version(), qt.Equals, mwid.Version(2))
		cl.c.Assert(count(n, `mw_config_stale_reads_total{origin="store"}`) > 0, qt.IsTrue)
	})
}

func TestBadRowsReplaceNothing(t *testing.T) {
	tests := []struct {
		name string
		rows map[mwstore.Key]string
		want mwid.Version
	}{
		{"change can't be decoded", map[mwstore.Key]string{mwconfig.ChangeKey(2): `{"Version`}, 3},
		{"change has another version", map[mwstore.Key]string{mwconfig.ChangeKey(2): `{"Version":7}`}, 3},
		{"change doesn't compile", map[mwstore.Key]string{
			mwconfig.ChangeKey(2): `{"Version":2,"Items":[{"Document":{"Kind":"Policy","Name":"q","Spec":{"Importance":500}}}]}`,
		}, 3},
		{"document can't be decoded either", map[mwstore.Key]string{
			mwconfig.ChangeKey(2):                          `{"Version`,
			mwconfig.DocumentKey(mwconfig.KindPolicy, "p"): `{`,
		}, 1},
		{"version can't be decoded", map[mwstore.Key]string{mwconfig.VersionKey: `{`}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, 2, 3, func(cl *cluster) {
				cl.waitForVersion(propagationLimit, cl.apply("p", 1), cl.Nodes())
				cl.Net.SetLoss(func(_, _ mwmemnet.Place) bool { return true })
				cl.Store.SetFaults(unavailable)
				advance(propagationLimit)
				cl.Store.SetFaults(mwfakestore.Faults{})
				cl.apply("p", 2)
				cl.apply("p", 3)
				for k, v := range test.rows {
					_, err := cl.Store.Commit(t.Context(), mwstore.Txn{Writes: []mwstore.Write{{Key: k, Value: []byte(v)}}})
					cl.c.Assert(err, qt.IsNil)
				}
				cl.Net.SetLoss(nil)
				advance(2 * propagationLimit)
				for _, n := range cl.Nodes() {
					cl.c.Check(n.Version(), qt.Equals, test.want)
				}
			})
		})
	}
}

func TestLongLogAndSnapshot(t *testing.T) {
	run(t, 0, 0, func(cl *cluster) {
		var v mwid.Version
		for i := range 300 {
			v = cl.apply(mwconfig.DocumentName(fmt.Sprint("p", i%7)), i%100)
		}
		x := cl.start(mwcluster.PlaceOf(0, 0))
		cl.waitForVersion(propagationLimit, v, []*mwcluster.Node{x})
		cl.c.Assert(x.Config.Snapshot().Documents(), qt.HasLen, 7)
		cl.c.Assert(strings.Contains(x.Config.Snapshot().String(), "7 documents"), qt.IsTrue)
		y := cl.start(mwcluster.PlaceOf(1, 0))
		cl.waitForVersion(propagationLimit, v, []*mwcluster.Node{y})
	})
}
