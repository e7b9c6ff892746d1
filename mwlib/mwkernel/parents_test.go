package mwkernel_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
)

// TestParentOfACallThatNamesNone lets a backend server work on two calls and
// make a call that names no parent, and checks to which of the two calls the
// kernel assigns it.
func TestParentOfACallThatNamesNone(t *testing.T) {
	tests := []struct {
		name string
		call func(parents []*mwcall.Call) mwcall.Call
		root mwid.RootID
	}{
		{"request id of a parent", func(ps []*mwcall.Call) mwcall.Call {
			return mwcall.Call{ParentRequest: "one", Deadline: ps[1].Deadline}
		}, "root one"},
		{"deadline of a parent", func(ps []*mwcall.Call) mwcall.Call {
			return mwcall.Call{ParentRequest: "unknown", Deadline: ps[1].Deadline.Add(-2 * time.Millisecond)}
		}, "root two"},
		{"a deadline of its own", func(ps []*mwcall.Call) mwcall.Call {
			return mwcall.Call{Deadline: ps[1].Deadline.Add(time.Second), Root: "own"}
		}, "own"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var mu sync.Mutex
				var parents []*mwcall.Call
				var got mwid.RootID
				// arrive adds a parent and returns all that arrived so far.
				arrive := func(call *mwcall.Call) []*mwcall.Call {
					mu.Lock()
					defer mu.Unlock()
					parents = append(parents, call)
					return slices.Clone(parents)
				}
				cl := newCluster(c, func(ctx context.Context, n *node, call *mwcall.Call) (mwcall.Head, error) {
					if call.Service == "below" {
						mu.Lock()
						defer mu.Unlock()
						got = call.Root
						return mwcall.Head{}, nil
					}
					here := arrive(call)
					time.Sleep(time.Duration(3-len(here)) * 100 * time.Millisecond)
					if len(here) == 2 {
						below := test.call(here)
						below.Service, below.Origin, below.ParentUnknown = "below", mwcall.Local, true
						n.call(ctx, below)
					}
					return mwcall.Head{}, nil
				})
				entry := cl.add("s", nil)
				cl.add("below", nil)
				for i, id := range []mwid.RequestID{"one", "two"} {
					go entry.call(context.Background(), mwcall.Call{
						Service: "s", ID: id, Root: mwid.RootID("root " + id),
						Deadline: time.Now().Add(time.Second + time.Duration(i)*50*time.Millisecond),
					})
					synctest.Wait()
				}
				time.Sleep(time.Second)
				mu.Lock()
				defer mu.Unlock()
				c.Check(got, qt.Equals, test.root)
			})
		})
	}
}
