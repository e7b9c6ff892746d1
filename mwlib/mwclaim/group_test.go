package mwclaim_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwclaim"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
)

// cost is the load that claims put on the store and the network.
type cost struct {
	claims   int
	usage    mwfakestore.Usage
	messages int
}

func (c cost) String() string {
	n := float64(c.claims)
	return fmt.Sprintf("%d calls claimed and finished: %.3f transactions, %.2f rows, %.2f reads, %.2f messages each",
		c.claims, float64(c.usage.Transactions)/n, float64(c.usage.Rows)/n, float64(c.usage.Reads)/n, float64(c.messages)/n)
}

// Each of loadNodes nodes claims loadCalls calls, one per loadPeriod.
const (
	loadNodes  = 40
	loadCalls  = 50
	loadPeriod = 100 * time.Millisecond
	loadDelay  = 5 * time.Millisecond // latency of the store
)

// runLoad returns the cost of claims by many nodes.
func runLoad(c *qt.C, grouped bool, opts ...mwclaim.Option) cost {
	s, stop := mwfakestore.New(mwfakestore.WithFaults(mwfakestore.Faults{Delay: loadDelay}))
	defer stop()
	w := newWire(1)
	var wg sync.WaitGroup
	for i := range loadNodes {
		o := append([]mwclaim.Option{mwclaim.WithLog(quiet)}, opts...)
		if grouped {
			o = append(o, w.withGroup(i))
		}
		l, stopLedger, err := mwclaim.New(s, o...)
		c.Assert(err, qt.IsNil)
		defer stopLedger()
		wg.Go(func() {
			time.Sleep(time.Duration(i) * loadPeriod / loadNodes)
			for n := range loadCalls {
				cl, err := l.Claim(c.Context(), newCall(mwid.CallKey(fmt.Sprintf("%d-%d", i, n)), true))
				c.Check(err, qt.IsNil)
				c.Check(cl.Begin(), qt.IsNil)
				c.Check(cl.Finish(c.Context(), mwcall.EncodedAnswer("answer")), qt.IsNil)
				time.Sleep(loadPeriod)
			}
		})
	}
	wg.Wait()
	return cost{loadNodes * loadCalls, s.Usage(), w.messages}
}

// The transactions per call must stay within these limits, since the store takes
// only several hundred writes per second.
func TestCost(t *testing.T) {
	tests := []struct {
		name    string
		grouped bool
		opts    []mwclaim.Option
		maxTxns float64 // maximum number of transactions per call
	}{
		{"one row a transaction", false, []mwclaim.Option{mwclaim.WithBatch(1)}, 2},
		{"each node writes", false, nil, 2},
		{"one node writes", true, nil, 0.6},
		{"one node writes with a window of 20 ms", true, []mwclaim.Option{mwclaim.WithWindow(20 * time.Millisecond)}, 0.3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				got := runLoad(c, test.grouped, test.opts...)
				t.Log(got)
				c.Assert(float64(got.usage.Transactions)/float64(got.claims) <= test.maxTxns, qt.IsTrue)
			})
		})
	}
}

// A wrongly selected writer, a lost message or a writer without access to the
// table may cost time, but must not fail a claim or grant a key twice.
func TestGroupFaults(t *testing.T) {
	tests := []struct {
		name   string
		inject func(w *cluster)
	}{
		{"messages lost", func(w *cluster) { w.wire.setLost(1) }},
		{"some messages lost", func(w *cluster) { w.wire.setLost(0.5) }},
		{"other nodes cut off from the table", func(w *cluster) {
			w.links[1].cut.Store(true)
			w.links[2].cut.Store(true)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w, stop := newCluster(3, 1, noBug, true)
				defer stop()
				test.inject(w)
				for i := range 20 {
					k := mwid.CallKey(fmt.Sprint(i))
					_, err := w.nodes[0].ledger.Claim(c.Context(), newCall(k, true))
					c.Assert(err, qt.IsNil)
					_, err = w.nodes[0].ledger.Claim(c.Context(), newCall(k, false))
					c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.Held)
				}
			})
		})
	}
}
