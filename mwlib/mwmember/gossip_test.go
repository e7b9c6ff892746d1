package mwmember_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
)

func TestAllFindEachOther(t *testing.T) {
	run(t, 4, 4, func(cl *cluster) {
		t.Log(cl.settled(30 * time.Second))
	})
}

func TestLeaverIsKnownEverywhere(t *testing.T) {
	run(t, 4, 6, func(cl *cluster) {
		cl.settled(30 * time.Second)
		gone := cl.nodes[7]
		gone.Leave()
		t.Log(cl.within(3*time.Second, "leaver known", everywhere(cl.nodes, func(x *node) bool {
			s, ok := x.state(gone.id)
			return ok && s == mwcall.Leaving
		})))
	})
}

func TestDeadNodeIsForgotten(t *testing.T) {
	run(t, 2, 8, func(cl *cluster) {
		cl.settled(30 * time.Second)
		gone := cl.nodes[3]
		gone.cut()
		rest := append(cl.nodes[:3:3], cl.nodes[4:]...)
		t.Log(cl.within(15*time.Second, "death known", everywhere(rest, func(x *node) bool {
			_, ok := x.state(gone.id)
			return !ok
		})))
	})
}

func TestReplacedVM(t *testing.T) {
	run(t, 2, 6, func(cl *cluster) {
		cl.settled(30 * time.Second)
		old := cl.nodes[2]
		old.cut()
		cl.nodes = append(cl.nodes[:2:2], cl.nodes[3:]...)
		x := cl.start(old.place)
		t.Log(cl.within(5*time.Second, "new boot known, old one dead", everywhere(cl.nodes, func(y *node) bool {
			_, there := y.state(old.id)
			s, ok := y.state(x.id)
			return !there && ok && s == mwcall.Up
		})))
		old.end()
	})
}

func TestLostZoneIsMarkedAsAWhole(t *testing.T) {
	run(t, 3, 5, func(cl *cluster) {
		cl.settled(30 * time.Second)
		lost, rest := cl.nodes[:5], cl.nodes[5:]
		cl.net.SetLost(cutBetween(true, inZone(place(0, 0).Zone)))
		t.Log(cl.within(8*time.Second, "zone unreachable", everywhere(rest, func(x *node) bool {
			s, ok := x.state(lost[0].id)
			return ok && s == mwcall.Unreachable
		})))
		time.Sleep(time.Minute)
		for _, x := range rest {
			cl.c.Assert(x.Targets("auftrag"), qt.HasLen, len(cl.nodes))
		}
		cl.net.SetLost(nil)
		t.Log(cl.settled(5 * time.Second))
	})
}
