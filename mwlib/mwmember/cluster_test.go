package mwmember_test

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwmember"
	"mustardwheel.example/mwlib/mwmemnet"
	"mustardwheel.example/mwlib/mwmemstore"
)

// cluster is nodes over one network and one store.
type cluster struct {
	c     *qt.C
	net   *mwmemnet.Network
	store *mwmemstore.Store
	nodes []*node
}

// node is one life of one node; end ends it with a farewell, cut without.
type node struct {
	*mwmember.Gossip
	id    mwid.NodeID
	place mwmemnet.Place
	end   func()
	cut   func()
}

// place returns the place of node i of zone z; regions have two zones.
func place(z, i int) mwmemnet.Place {
	return mwmemnet.Place{
		Address: mwid.Address(fmt.Sprintf("10.0.%d.%d:7002", z, i)),
		Zone:    mwid.ZoneName(fmt.Sprintf("zone-%d", z)),
		Region:  mwid.RegionName(fmt.Sprintf("region-%d", z/2)),
	}
}

// run runs f in virtual time on a cluster of zones with n nodes each.
func run(t *testing.T, zones, n int, f func(*cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{c: qt.New(t), net: mwmemnet.New(1), store: mwmemstore.New()}
		for z := range zones {
			for i := range n {
				cl.start(place(z, i))
			}
		}
		f(cl)
		for _, x := range cl.nodes {
			x.cut()
		}
		for _, x := range cl.nodes {
			x.end()
		}
	})
}

// start starts a new life of the node at p, with a backend server.
func (cl *cluster) start(p mwmemnet.Place, opts ...mwmember.Option) *node {
	peer, cut := cl.net.Join(p)
	x := &node{place: p, cut: cut, id: mwid.NewNodeID(p.Address, mwid.NewBootID())}
	opts = append([]mwmember.Option{
		mwmember.WithPlace(p.Zone, p.Region), mwmember.WithTable(cl.store),
		mwmember.WithLog(slog.New(slog.NewJSONHandler(io.Discard, nil))),
	}, opts...)
	var err error
	x.Gossip, x.end, err = mwmember.New(x.id, mwmember.NewTransport(peer), opts...)
	cl.c.Assert(err, qt.IsNil)
	x.Announce(mwcall.Announcement{Service: "auftrag", Address: "127.0.0.1:9001", Slots: 90, Connections: 660})
	cl.nodes = append(cl.nodes, x)
	return x
}

// state returns the state of the target at id as x knows it.
func (x *node) state(id mwid.NodeID) (mwcall.TargetState, bool) {
	for _, t := range x.Targets("auftrag") {
		if t.Node == id {
			return t.State, true
		}
	}
	return 0, false
}

// step is the time between two looks of within.
const step = 50 * time.Millisecond

// within waits until ok holds and returns how long that took; it fails the
// test where that takes longer than limit.
func (cl *cluster) within(limit time.Duration, what string, ok func() bool) time.Duration {
	cl.c.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			cl.c.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(step)
	}
	return time.Since(start)
}

// everywhere tells whether ok holds at each node of xs.
func everywhere(xs []*node, ok func(*node) bool) func() bool {
	return func() bool {
		for _, x := range xs {
			if !ok(x) {
				return false
			}
		}
		return true
	}
}

// settled waits until each node knows all others as up.
func (cl *cluster) settled(limit time.Duration) time.Duration {
	cl.c.Helper()
	return cl.within(limit, "all know all", everywhere(cl.nodes, func(x *node) bool {
		return x.up() == len(cl.nodes)
	}))
}

// up returns the number of targets that x knows as up.
func (x *node) up() int {
	n := 0
	for _, t := range x.Targets("auftrag") {
		if t.State == mwcall.Up {
			n++
		}
	}
	return n
}

// cutBetween returns a loss of all messages from one side to the other; both
// ways where both is true.
func cutBetween(both bool, side func(mwmemnet.Place) bool) func(from, to mwmemnet.Place) bool {
	return func(from, to mwmemnet.Place) bool {
		return side(from) && !side(to) || both && side(to) && !side(from)
	}
}

// inZone returns a side: the places in zone z.
func inZone(z mwid.ZoneName) func(mwmemnet.Place) bool {
	return func(p mwmemnet.Place) bool { return p.Zone == z }
}
