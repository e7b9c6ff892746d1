package mwroute_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
)

// Long work waits in its own lane at a target. Neither its answers nor its
// calls in flight may make the router avoid the target for short work.
func TestLongWorkSaysNothingOfShort(t *testing.T) {
	tests := []struct {
		name string
		long func(*routerTest, mwcall.Target)
	}{{
		name: "slow answers",
		long: func(b *routerTest, tg mwcall.Target) {
			for range 10 {
				b.router.Begin(longCall(), tg)(mwcall.Head{}, mwcall.Sample{Took: 5 * time.Second, First: 5 * time.Second})
			}
		},
	}, {
		name: "calls cut off late",
		long: func(b *routerTest, tg mwcall.Target) {
			for range 10 {
				b.router.Begin(longCall(), tg)(mwcall.Head{}, mwcall.Sample{First: 5 * time.Second, Cancelled: true})
			}
		},
	}, {
		name: "calls in flight",
		long: func(b *routerTest, tg mwcall.Target) {
			for range 10 {
				b.router.Begin(longCall(), tg)
			}
			time.Sleep(5 * time.Second)
		},
	}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTest(qt.New(t), "cost")
				ts := targets(2, "wien-a")
				for range 20 {
					b.answer(ts[0], mwcall.Head{}, 10*time.Millisecond)
					b.answer(ts[1], mwcall.Head{}, 10*time.Millisecond)
				}
				test.long(b, ts[0])
				got := make(map[mwid.NodeID]int)
				for range picks {
					tg, err := b.pick(call(), ts)
					b.Assert(err, qt.IsNil)
					got[tg.Node]++
				}
				b.Check(got[ts[0].Node] > picks/4, qt.IsTrue, qt.Commentf("%v", got))
			})
		})
	}
}

func longCall() *mwcall.Call {
	c := call()
	c.Class.Length = mwconfig.Long
	return c
}
