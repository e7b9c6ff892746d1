package mwversion_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"mustardwheel.example/mwlib/mwcluster"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwmemnet"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwunit"
)

// applyLimit is the time in which a change must be in force at every node that the
// store can reach.
const applyLimit = 3 * time.Second

// nodesPerZone is the size of the zones of the tests in which nodes lose each other.
const nodesPerZone = 15

// TestChangeAfterConnectionsWentSilent guards against a change that nodes miss because
// their connections to each other went silent a second before it.
func TestChangeAfterConnectionsWentSilent(t *testing.T) {
	const rounds = 5
	s := mwcluster.NewSilencer()
	run(t, 6, nodesPerZone, func(cl *cluster) {
		for i := range rounds {
			advance(10 * time.Second)
			s.Silence(1)
			advance(time.Second)
			cl.waitForVersion(applyLimit, cl.apply("a", i), cl.Nodes())
		}
	}, mwcluster.WithPeersWrapper(s.Wrap))
}

// TestChangeAfterSomeConnectionsWentSilent varies the share of the connections that go
// silent and the time between that and the change.
func TestChangeAfterSomeConnectionsWentSilent(t *testing.T) {
	shares := []float64{0.3, 0.7}
	delays := []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 4500 * time.Millisecond}
	for _, share := range shares {
		t.Run(fmt.Sprintf("share %v", share), func(t *testing.T) {
			s := mwcluster.NewSilencer()
			run(t, 6, nodesPerZone, func(cl *cluster) {
				for i, delay := range delays {
					advance(10 * time.Second)
					s.Silence(mwunit.Ratio(share))
					advance(delay)
					cl.waitForVersion(applyLimit, cl.apply("a", i), cl.Nodes())
				}
			}, mwcluster.WithPeersWrapper(s.Wrap))
		})
	}
}

// TestChangeAtNodesWithoutPeers guards against a change that a node misses because it
// can reach the store, but not the nodes that read it.
func TestChangeAtNodesWithoutPeers(t *testing.T) {
	tests := []struct {
		name     string
		nodes    int // nodes of a zone that lose the others
		together bool
	}{
		{"one", 1, false},
		{"three, each alone", 3, false},
		{"three together", 3, true},
		{"eight, each alone", 8, false},
		{"eight together", 8, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, 6, nodesPerZone, func(cl *cluster) {
				advance(10 * time.Second)
				apart := firstNodes(test.nodes)
				cl.Net.SetLoss(func(from, to mwmemnet.Place) bool {
					if apart[from.Address] && apart[to.Address] {
						return !test.together
					}
					return apart[from.Address] || apart[to.Address]
				})
				cl.waitForVersion(applyLimit, cl.apply("a", 1), cl.Nodes())
			})
		})
	}
}

// TestChangeWhileReadersAreTurnedAway guards against a change that all nodes miss
// because the store serves no node whose duty it is to read it.
func TestChangeWhileReadersAreTurnedAway(t *testing.T) {
	// outerLimit is added to applyLimit while the store serves only some nodes.
	const outerLimit = 6 * time.Second
	away := make(map[mwid.Address]*atomic.Bool)
	run(t, 6, nodesPerZone, func(cl *cluster) {
		advance(10 * time.Second)
		for _, n := range cl.Nodes() {
			away[n.Place.Address].Store(n.Rank("poll") < 3)
		}
		cl.waitForVersion(applyLimit+outerLimit, cl.apply("a", 1), cl.Nodes())
	}, mwcluster.WithStoreWrapper(func(s mwstore.Store, p mwmemnet.Place) mwstore.Store {
		away[p.Address] = &atomic.Bool{}
		return cutStore{s, away[p.Address]}
	}))
}

// firstNodes returns the addresses of the first n nodes of the second zone.
func firstNodes(n int) map[mwid.Address]bool {
	out := make(map[mwid.Address]bool)
	for i := range n {
		out[mwcluster.PlaceOf(1, i).Address] = true
	}
	return out
}
