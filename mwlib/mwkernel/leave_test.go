package mwkernel_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	_ "mustardwheel.example/mwlib/mwadmit"
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwsetting"
)

// leaves are the ways in which a backend server stops taking calls.
var leaves = []struct {
	name  string
	leave func(k *mwkernel.Kernel, a mwcall.Announcement) error
	code  mwcode.Code
}{
	{"draining", func(k *mwkernel.Kernel, a mwcall.Announcement) error {
		a.Leaving = true
		return k.Announce(a)
	}, mwcode.Draining},
	{"withdrawn", func(k *mwkernel.Kernel, a mwcall.Announcement) error {
		k.Withdraw(a.Service)
		return nil
	}, mwcode.NoBackend},
	{"silent", func(_ *mwkernel.Kernel, a mwcall.Announcement) error {
		time.Sleep(a.TTL)
		return nil
	}, mwcode.NoBackend},
}

// A call that waits in the queue of a slow backend server must not reach it after
// the server has left, however late a slot becomes free. It is refused soon, so that
// it can be sent to another target.
func TestQueuedCallsOfALeavingServer(t *testing.T) {
	const (
		work = 9 * time.Second
		soon = 200 * time.Millisecond
	)
	for _, test := range leaves {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				slow := reply{after: work}
				cl := newCluster(c, replies(slow, slow))
				n := cl.add("", func(s *mwsetting.Node) {
					s.Plugins.Admission, s.Admit.Wait = "adaptive", time.Minute
				})
				a := announcement("s")
				a.Slots, a.TTL, a.Started = 1, time.Second, time.Now()
				c.Assert(n.Announce(a), qt.IsNil)
				call := func() chan mwcode.Code {
					done := make(chan mwcode.Code, 1)
					go func() {
						ex := n.call(context.Background(), mwcall.Call{Service: "s", Origin: mwcall.Peer})
						done <- mwcode.CodeOf(ex.err)
					}()
					synctest.Wait()
					return done
				}
				running, queued := call(), call()
				c.Assert(cl.delivered.Load(), qt.Equals, int64(1))
				a.Seq++
				c.Assert(test.leave(n.Kernel, a), qt.IsNil)
				time.Sleep(soon)
				select {
				case code := <-queued:
					c.Check(code, qt.Equals, mwcode.Draining)
				default:
					c.Error("the call is still queued")
					<-queued
				}
				c.Check(<-running, qt.Equals, mwcode.OK)
				c.Check(cl.delivered.Load(), qt.Equals, int64(1))
			})
		})
	}
}

// The backend server may leave while a call is being admitted or claimed, when its
// announcement has already been read. The call must not reach it either.
func TestServerLeavesBeforeTheHandover(t *testing.T) {
	for _, test := range leaves {
		for _, claimed := range []bool{false, true} {
			name := test.name + " during admission"
			if claimed {
				name = test.name + " during the claim"
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					cl := newCluster(c, replies(good))
					cl.claim = &claim{}
					n := cl.add("", nil)
					a := announcement("s")
					a.TTL, a.Started = time.Second, time.Now()
					c.Assert(n.Announce(a), qt.IsNil)
					a.Seq++
					leave := func() { c.Check(test.leave(n.Kernel, a), qt.IsNil) }
					call := mwcall.Call{Service: "s", Origin: mwcall.Peer}
					if claimed {
						cl.class.Repeatable, call.Key = false, "k"
						cl.claim.claiming = leave
					} else {
						cl.admitting = leave
					}
					ex := n.call(context.Background(), call)
					c.Check(mwcode.CodeOf(ex.err), qt.Equals, test.code)
					c.Check(ex.head.RetryElsewhere, qt.IsTrue)
					c.Check(cl.delivered.Load(), qt.Equals, int64(0))
					c.Check(cl.busy.Load(), qt.Equals, int64(0))
					if claimed {
						c.Check(cl.claim.notRun.Load(), qt.Equals, int64(1))
						c.Check(cl.claim.begins.Load(), qt.Equals, int64(0))
					}
				})
			})
		}
	}
}

// A backend server that is replaced while a call waits for it must not get that
// call: the address may belong to another service by then.
func TestServerIsReplacedBeforeTheHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newCluster(c, replies(good))
		n := cl.add("", nil)
		old := announcement("s")
		old.Started = time.Now()
		c.Assert(n.Announce(old), qt.IsNil)
		successor := old
		successor.Started, successor.Address = old.Started.Add(time.Second), "127.0.0.1:2"
		cl.admitting = func() { c.Check(n.Announce(successor), qt.IsNil) }
		ex := n.call(context.Background(), mwcall.Call{Service: "s", Origin: mwcall.Peer})
		c.Assert(ex.err, qt.IsNil)
		c.Check(ex.deliveredTo, qt.Equals, successor.Address)
	})
}
