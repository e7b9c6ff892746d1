package mwkernel_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// reply is what a backend server answers after a delay.
type reply struct {
	after time.Duration
	head  mwcall.Head
	code  mwcode.Code
}

// replies returns a handler that gives rs in the order of the calls.
func replies(rs ...reply) handler {
	next := make(chan reply, len(rs))
	for _, r := range rs {
		next <- r
	}
	return func(ctx context.Context, _ *node, _ *mwcall.Call) (mwcall.Head, error) {
		r := <-next
		select {
		case <-mwtimer.NewTimer(r.after).C:
		case <-ctx.Done():
			return mwcall.Head{}, mwcode.New(mwcode.Silent)
		}
		if r.code != mwcode.OK {
			return mwcall.Head{}, mwcode.New(r.code)
		}
		return r.head, nil
	}
}

var (
	good   = reply{}
	failed = reply{head: mwcall.Head{Failed: true, RetryElsewhere: true}}
	shed   = reply{code: mwcode.BackendFull}
	lost   = reply{code: mwcode.ConnectionLost}
)

// slow delays r until the other attempt has been answered.
func slow(r reply) reply {
	r.after = 5 * hedgeAfter
	return r
}

// later delays r until the hedge has started.
func later(r reply) reply {
	r.after = 2 * hedgeAfter
	return r
}

func TestOneCall(t *testing.T) {
	tests := []struct {
		name      string
		policy    mwregistry.Name
		replies   []reply
		budget    mwunit.Attempts
		once      bool // the call is not repeatable
		code      mwcode.Code
		failed    bool
		unused    mwunit.Attempts
		delivered int64
	}{
		{"good", "chain", []reply{good}, 2, false, mwcode.OK, false, 2, 1},
		{"failure, then good", "chain", []reply{failed, good}, 2, false, mwcode.OK, false, 1, 2},
		{"lost, then good", "chain", []reply{lost, good}, 2, false, mwcode.OK, false, 1, 2},
		{"refused, then good", "chain", []reply{shed, good}, 2, false, mwcode.OK, false, 1, 2},
		{"once: refused, then good", "chain", []reply{shed, good}, 2, true, mwcode.OK, false, 1, 2},
		{"once: a lost call is not retried", "chain", []reply{lost}, 2, true, mwcode.ConnectionLost, false, 2, 1},
		{"once: a failed call is not retried", "chain", []reply{failed}, 2, true, mwcode.OK, true, 2, 1},
		{"no budget", "chain", []reply{failed}, 0, false, mwcode.OK, true, 0, 1},
		{"lost, then refused: may have run", "chain", []reply{lost, shed}, 1, false, mwcode.ConnectionLost, false, 0, 2},
		{"refused, then lost: may have run", "chain", []reply{shed, lost}, 1, false, mwcode.ConnectionLost, false, 0, 2},
		{"failure, then refused: may have run", "chain", []reply{failed, shed}, 1, false, mwcode.BackendUnavailable, false, 0, 2},
		{"no target remains: the last refusal is reported", "chain", []reply{shed, shed, shed}, 5, false, mwcode.BackendFull, false, 2, 3},
		{"hedge not needed", "hedger", []reply{good}, 2, false, mwcode.OK, false, 2, 1},
		{"hedge wins", "hedger", []reply{slow(good), good}, 2, false, mwcode.OK, false, 0, 2},
		{"first wins", "hedger", []reply{later(good), slow(good)}, 2, false, mwcode.OK, false, 1, 2},
		{"first lost, hedge good", "hedger", []reply{later(lost), slow(good)}, 1, false, mwcode.OK, false, 0, 2},
		{"first lost, hedge refused: may have run", "hedger", []reply{later(lost), slow(shed)}, 1, false, mwcode.ConnectionLost, false, 0, 2},
		{"hedge lost, first refused: may have run", "hedger", []reply{slow(shed), lost}, 1, false, mwcode.ConnectionLost, false, 0, 2},
		{"once: no hedge", "hedger", []reply{slow(good)}, 2, true, mwcode.OK, false, 2, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				cl := newCluster(c, replies(test.replies...))
				cl.class.Retries, cl.class.Repeatable = test.budget, !test.once
				use := func(s *mwsetting.Node) { s.Plugins.Retry = test.policy }
				for range 3 {
					cl.add("s", use)
				}
				ex := cl.add("", use).call(context.Background(), mwcall.Call{Service: "s"})
				time.Sleep(time.Second)
				c.Check(mwcode.CodeOf(ex.err), qt.Equals, test.code)
				c.Check(ex.head.Failed, qt.Equals, test.failed)
				c.Check(ex.head.Unused, qt.Equals, test.unused)
				c.Check(cl.delivered.Load(), qt.Equals, test.delivered)
				c.Check(cl.busy.Load(), qt.Equals, int64(0))
				c.Check(cl.faults.Load(), qt.Equals, int64(0))
			})
		})
	}
}

// A call runs at no more targets than its route allows, whatever its budget.
func TestMostTargetsOfACall(t *testing.T) {
	for maxTargets := mwunit.Attempts(1); maxTargets <= 3; maxTargets++ {
		t.Run(fmt.Sprint(maxTargets), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				cl := newCluster(c, replies(slices.Repeat([]reply{lost, failed}, 4)...))
				cl.class.Retries, cl.class.Repeatable, cl.class.MaxTargets = 8, true, maxTargets
				use := func(s *mwsetting.Node) { s.Plugins.Retry = "chain" }
				for range 4 {
					cl.add("s", use)
				}
				cl.add("", use).call(context.Background(), mwcall.Call{Service: "s"})
				c.Check(cl.delivered.Load(), qt.Equals, int64(maxTargets))
			})
		})
	}
}

// When targets decline all calls, the number of attempts is bounded, whatever
// the budget.
func TestFullServiceGetsFewAttempts(t *testing.T) {
	const maxAttempts = 8
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, replies(slices.Repeat([]reply{shed}, 3*maxAttempts)...))
		cl.class.Retries, cl.class.Repeatable, cl.class.MaxTargets = 100, true, 2
		use := func(s *mwsetting.Node) { s.Plugins.Retry = "chain" }
		for range 3 {
			cl.add("s", use)
		}
		ex := cl.add("", use).call(context.Background(), mwcall.Call{Service: "s"})
		time.Sleep(time.Second)
		c.Check(mwcode.CodeOf(ex.err), qt.Equals, mwcode.BackendFull)
		c.Check(cl.delivered.Load(), qt.Equals, int64(maxAttempts))
	})
}

func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, replies(reply{after: time.Second}))
		n := cl.add("s", nil)
		during := make(chan error, 1)
		go func() {
			during <- n.call(context.Background(), mwcall.Call{Service: "s", Origin: mwcall.Peer}).err
		}()
		synctest.Wait()
		start := time.Now()
		drained := make(chan error, 1)
		go func() { drained <- n.Drain(context.Background()) }()
		synctest.Wait()
		c.Check(n.Draining(), qt.IsTrue)
		after := n.call(context.Background(), mwcall.Call{Service: "s", Origin: mwcall.Peer, Budget: 2})
		c.Check(mwcode.CodeOf(after.err), qt.Equals, mwcode.Draining)
		c.Check(after.head.Code.NotRun(), qt.IsTrue)
		c.Check(after.head.Unused, qt.Equals, mwunit.Attempts(2))
		c.Check(<-drained, qt.IsNil)
		c.Check(<-during, qt.IsNil)
		c.Check(time.Since(start), qt.Equals, time.Second)
		c.Check(cl.delivered.Load(), qt.Equals, int64(1))
	})
}

func TestDrainWaitsForTheLoserOfAHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stuck := make(chan struct{})
		var calls atomic.Int64
		cl := newCluster(c, func(context.Context, *node, *mwcall.Call) (mwcall.Head, error) {
			if calls.Add(1) == 1 {
				<-stuck
			}
			return mwcall.Head{}, nil
		})
		use := func(s *mwsetting.Node) { s.Plugins.Retry = "hedger" }
		cl.add("s", use)
		cl.add("s", use)
		entry := cl.add("", use)
		c.Assert(entry.call(context.Background(), mwcall.Call{Service: "s"}).err, qt.IsNil)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.Check(errors.Is(entry.Drain(ctx), context.DeadlineExceeded), qt.IsTrue)
		close(stuck)
		c.Check(entry.Drain(context.Background()), qt.IsNil)
	})
}

func TestClaimedCall(t *testing.T) {
	tests := []struct {
		name                                string
		begin                               error
		reply                               reply
		code                                mwcode.Code
		delivered, begins, notRun, finished int64
	}{
		{"runs once", nil, good, mwcode.OK, 1, 1, 0, 1},
		{"the claim is lost", mwcode.New(mwcode.ClaimUnknown), good, mwcode.ClaimUnknown, 0, 1, 0, 0},
		{"the handover failed", nil, reply{code: mwcode.ConnectFailed}, mwcode.ConnectFailed, 1, 1, 1, 0},
		{"the outcome is unknown", nil, lost, mwcode.ConnectionLost, 1, 1, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				cl := newCluster(c, replies(test.reply))
				cl.claim = &claim{err: test.begin}
				cl.class.Repeatable = false
				n := cl.add("s", nil)
				ex := n.call(context.Background(), mwcall.Call{Service: "s", Origin: mwcall.Peer, Key: "k"})
				synctest.Wait() // The answer is stored in the background.
				c.Check(mwcode.CodeOf(ex.err), qt.Equals, test.code)
				c.Check(cl.delivered.Load(), qt.Equals, test.delivered)
				c.Check(cl.claim.begins.Load(), qt.Equals, test.begins)
				c.Check(cl.claim.notRun.Load(), qt.Equals, test.notRun)
				c.Check(cl.claim.finished.Load(), qt.Equals, test.finished)
				c.Check(cl.busy.Load(), qt.Equals, int64(0))
			})
		})
	}
}

func TestAnnouncementLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, replies(good, good))
		n := cl.add("", nil)
		a := announcement("s")
		a.TTL = time.Second
		c.Assert(n.Announce(a), qt.IsNil)
		peer := mwcall.Call{Service: "s", Origin: mwcall.Peer}
		time.Sleep(900 * time.Millisecond)
		c.Check(n.call(context.Background(), peer).err, qt.IsNil)
		time.Sleep(300 * time.Millisecond)
		ex := n.call(context.Background(), peer)
		c.Check(mwcode.CodeOf(ex.err), qt.Equals, mwcode.NoBackend)
		c.Check(n.Announced(), qt.HasLen, 0)
	})
}

func TestCallerThatLeftFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, replies(reply{after: time.Hour}))
		cl.add("s", nil)
		entry := cl.add("", nil)
		ctx, cancel := context.WithCancel(context.Background())
		go entry.call(ctx, mwcall.Call{Service: "s"})
		synctest.Wait()
		c.Assert(cl.busy.Load(), qt.Equals, int64(1))
		cancel()
		synctest.Wait()
		c.Check(cl.busy.Load(), qt.Equals, int64(0))
	})
}

func TestCallsBelowInheritFromTheCallAbove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var below mwcall.Call
		cl := newCluster(c, nil)
		cl.handle = func(ctx context.Context, n *node, up *mwcall.Call) (mwcall.Head, error) {
			if up.Service == "b" {
				below = *up
				return mwcall.Head{}, nil
			}
			n.call(ctx, mwcall.Call{Service: "b", Origin: mwcall.Local, Parent: up.Attempt})
			return mwcall.Head{}, nil
		}
		cl.add("a", nil)
		cl.add("b", nil)
		deadline := time.Now().Add(time.Second)
		root := mwcall.Call{Service: "a", Root: "r", Caller: "shop", Deadline: deadline}
		cl.add("", nil).call(context.Background(), root)
		c.Check(below.Root, qt.Equals, root.Root)
		c.Check(below.Caller, qt.Equals, root.Caller)
		c.Check(below.Depth, qt.Equals, mwunit.Depth(1))
		c.Check(below.Deadline.Equal(deadline), qt.IsTrue)
	})
}

func TestLoopWithinOneNodeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, nil)
		cl.handle = func(ctx context.Context, n *node, up *mwcall.Call) (mwcall.Head, error) {
			ex := n.call(ctx, mwcall.Call{Service: "s", Origin: mwcall.Local, Parent: up.Attempt})
			return mwcall.Head{}, ex.err
		}
		n := cl.add("s", nil)
		ex := n.call(context.Background(), mwcall.Call{Service: "s"})
		c.Check(mwcode.CodeOf(ex.err), qt.Equals, mwcode.TooDeep)
		c.Check(cl.delivered.Load() <= int64(mwunit.MaxDepth)+1, qt.IsTrue)
	})
}
