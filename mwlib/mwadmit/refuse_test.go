package mwadmit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"mustardwheel.example/mwlib/mwadmit"
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

// randomCall returns a random call and its context, which ends with the call's
// deadline, or earlier if the caller cancels the call.
func randomCall(ctx context.Context, rng *rand.Rand) (*mwcall.Call, context.Context, context.CancelFunc) {
	c := newCall(mwunit.Importance(rng.IntN(3)*45), mwid.RootID(fmt.Sprint(rng.Uint64())))
	c.Class.Length = []mwconfig.Length{mwconfig.Short, mwconfig.Medium, mwconfig.Long}[rng.IntN(3)]
	c.Class.Route = mwid.Route(c.Class.Length)
	if rng.IntN(3) == 0 {
		c.Class.Retired, c.Class.Floor, c.Class.Ceiling = "retired", 1, 2
	}
	if rng.IntN(4) > 0 {
		c.Deadline = time.Now().Add(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
	ctx, cancel := context.WithCancel(ctx)
	if rng.IntN(4) == 0 {
		time.AfterFunc(time.Duration(rng.IntN(100))*time.Millisecond, cancel)
	}
	if !c.Deadline.IsZero() {
		ctx, cancel = context.WithDeadline(ctx, c.Deadline)
	}
	return c, ctx, cancel
}

// TestRandomCalls sends random calls, and at times refuses all queued ones. Each
// refusal must say that the call was not run, no call may start after its deadline,
// and no call may be in flight or queued at the end.
func TestRandomCalls(t *testing.T) {
	for _, name := range []mwregistry.Name{mwadmit.AdaptiveName, mwadmit.FixedName} {
		t.Run(string(name), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				seed := rapid.Uint64().Draw(rt, "seed")
				slots := mwunit.Slots(rapid.IntRange(1, 6).Draw(rt, "slots"))
				synctest.Test(t, func(t *testing.T) { randomCalls(t, name, slots, seed) })
			})
		})
	}
}

func randomCalls(t *testing.T, name mwregistry.Name, slots mwunit.Slots, seed uint64) {
	c, rng := qt.New(t), rand.New(rand.NewPCG(seed, 0))
	a := makeAdmission(t, name, mwsetting.Admit{Queue: 6}, slots)
	var wg sync.WaitGroup
	for range 100 {
		if rng.IntN(20) == 0 {
			a.RefuseQueued(service)
		}
		call, ctx, cancel := randomCall(t.Context(), rng)
		took := time.Duration(rng.IntN(60)) * time.Millisecond
		wg.Go(func() {
			defer cancel()
			release, err := a.Admit(ctx, call)
			if err != nil {
				c.Check(mwcode.CodeOf(err).NotRun(), qt.IsTrue, qt.Commentf("%v", err))
				return
			}
			remaining, ok := call.Remaining(time.Now())
			c.Check(ok && remaining <= 0, qt.IsFalse, qt.Commentf("started %v after its deadline", -remaining))
			time.Sleep(took)
			release(mwcall.Sample{Took: took, First: took, Cancelled: ctx.Err() != nil})
			release(mwcall.Sample{Took: took, First: took})
		})
		time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
	}
	wg.Wait()
	l := a.Load(service)
	c.Check(l.InFlight, qt.Equals, mwunit.Slots(0))
	c.Check(l.Queued, qt.Equals, mwunit.Slots(0))
}

func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := makeAdmission(t, mwadmit.AdaptiveName, mwsetting.Admit{}, 1)
		release, err := a.Admit(t.Context(), newCall(orders, "first"))
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		codes := make(chan mwcode.Code)
		go func() { codes <- serve(ctx, a, newCall(orders, "leaves"), 0) }()
		synctest.Wait()
		go func() { codes <- serve(t.Context(), a, newCall(browsing, "stays"), 0) }()
		synctest.Wait()
		c.Check(a.Load(service).Queued, qt.Equals, mwunit.Slots(2))
		cancel()
		c.Check(<-codes, qt.Equals, mwcode.CallerGone)
		c.Check(a.Load(service).Queued, qt.Equals, mwunit.Slots(1))
		release(mwcall.Sample{})
		c.Check(<-codes, qt.Equals, mwcode.OK)
	})
}

// RefuseQueued must refuse each queued call, also those of retired interfaces, and
// no call that runs.
func TestRefuseQueued(t *testing.T) {
	for _, name := range []mwregistry.Name{mwadmit.AdaptiveName, mwadmit.FixedName} {
		t.Run(string(name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				a := makeAdmission(t, name, mwsetting.Admit{}, 1)
				release, err := a.Admit(t.Context(), newCall(orders, "runs"))
				c.Assert(err, qt.IsNil)
				codes := make(chan mwcode.Code)
				for i := range 3 {
					call := newCall(browsing, mwid.RootID(fmt.Sprint(i)))
					if i == 2 {
						call.Class.Retired, call.Class.Ceiling = "retired", 1
					}
					go func() { codes <- serve(t.Context(), a, call, 0) }()
				}
				synctest.Wait()
				c.Assert(a.Load(service).Queued, qt.Equals, mwunit.Slots(3))
				a.RefuseQueued(service)
				for range 3 {
					c.Check(<-codes, qt.Equals, mwcode.Draining)
				}
				c.Check(a.Load(service).Queued, qt.Equals, mwunit.Slots(0))
				c.Check(a.Load(service).InFlight, qt.Equals, mwunit.Slots(1))
				release(mwcall.Sample{})
				c.Check(serve(t.Context(), a, newCall(orders, "next"), 0), qt.Equals, mwcode.OK)
			})
		})
	}
}

func TestRaisedCeilingLetsThoseWhoWaitGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := makeAdmission(t, mwadmit.AdaptiveName, mwsetting.Admit{}, 4)
		var started []mwid.RootID
		var mu sync.Mutex
		var wg sync.WaitGroup
		send := func(r mwid.RootID, v mwid.Version, ceiling mwunit.Slots) {
			call := newCall(browsing, r)
			call.Class.Version, call.Class.Retired, call.Class.Ceiling = v, "retired", ceiling
			wg.Go(func() {
				release, err := a.Admit(t.Context(), call)
				c.Check(err, qt.IsNil)
				mu.Lock()
				started = append(started, r)
				mu.Unlock()
				time.Sleep(time.Second)
				release(mwcall.Sample{Took: time.Second, First: time.Second})
			})
			synctest.Wait()
		}
		send("first", 1, 1)
		send("waits", 1, 1)
		send("new", 2, 2)
		send("old configuration", 1, 1)
		c.Check(started, qt.DeepEquals, []mwid.RootID{"first", "waits"})
		c.Check(a.Load(service).InFlight, qt.Equals, mwunit.Slots(2))
		wg.Wait()
	})
}

func TestThresholdIsReportedWhileOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := makeAdmission(t, mwadmit.AdaptiveName, mwsetting.Admit{Queue: 4}, 1)
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				serve(t.Context(), a, newCall(mwunit.Importance(i), mwid.RootID(fmt.Sprint(i))), time.Second)
			})
			synctest.Wait()
			if i < 5 {
				c.Check(a.Load(service).Threshold, qt.Equals, mwcall.Priority(0))
			}
		}
		c.Check(a.Load(service).Threshold.Importance(), qt.Equals, mwunit.Importance(16))
		wg.Wait()
		c.Check(a.Load(service).Threshold, qt.Equals, mwcall.Priority(0))
	})
}
