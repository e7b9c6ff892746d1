package mwkernel_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwunit"
)

// A call without any budget gets past up to two targets that are leaving but
// that its node still considers usable. If it meets a third one, it fails.
func TestLeavingTargetsCostNoBudget(t *testing.T) {
	for leaving := range 4 {
		t.Run(fmt.Sprintf("%d leaving", leaving), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				cl := newCluster(c, func(context.Context, *node, *mwcall.Call) (mwcall.Head, error) {
					return mwcall.Head{}, nil
				})
				cl.class.Retries, cl.class.Repeatable = 0, false
				for i := range 4 {
					if n := cl.add("s", nil); i < leaving {
						c.Assert(n.Drain(context.Background()), qt.IsNil)
					}
				}
				// The router picks targets at random, so calls meet them in
				// different orders.
				entry := cl.add("", nil)
				for range 50 {
					ex := entry.call(context.Background(), mwcall.Call{Service: "s"})
					if leaving < 3 {
						c.Assert(ex.err, qt.IsNil)
						continue
					}
					code := mwcode.CodeOf(ex.err)
					c.Assert(code == mwcode.OK || code == mwcode.Draining, qt.IsTrue, qt.Commentf("%v", code))
					c.Assert(ex.head.Unused, qt.Equals, mwunit.Attempts(0))
				}
			})
		})
	}
}
