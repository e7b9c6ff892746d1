package mwadmit_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwadmit"
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

const service mwid.ServiceName = "auftrag"

// Importances of the calls in the tests.
const (
	orders   mwunit.Importance = 90
	browsing mwunit.Importance = 10
)

// makeAdmission returns the admission named n after an announcement of service
// with the given slots.
func makeAdmission(tb testing.TB, n mwregistry.Name, set mwsetting.Admit, slots mwunit.Slots) mwkernel.Admission {
	c := qt.New(tb)
	a, end, err := mwkernel.Admissions.Make(n, mwkernel.Env{
		Settings: &mwsetting.Node{Admit: set}, Metrics: metrics.NewSet(),
	})
	c.Assert(err, qt.IsNil)
	tb.Cleanup(end)
	a.Announce(mwcall.Announcement{Service: service, Slots: slots, Connections: mwunit.Connections(8 * slots)})
	return a
}

// newCall returns a short call with importance i and root call r.
func newCall(i mwunit.Importance, r mwid.RootID) *mwcall.Call {
	return &mwcall.Call{Root: r, Service: service, Class: mwcall.Class{
		Verdict:  mwconfig.Verdict{Importance: i, Length: mwconfig.Short},
		Priority: mwcall.NewPriority(i, false, r),
	}}
}

// outcomes counts the results of calls by importance and code.
type outcomes struct {
	mu sync.Mutex
	m  map[outcome]int
}

type outcome struct {
	importance mwunit.Importance
	code       mwcode.Code
}

func newOutcomes() *outcomes { return &outcomes{m: make(map[outcome]int)} }

func (o *outcomes) add(i mwunit.Importance, code mwcode.Code) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.m[outcome{i, code}]++
}

func (o *outcomes) count(i mwunit.Importance, code mwcode.Code) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.m[outcome{i, code}]
}

// serve admits c and, if that succeeds, holds its slot for d.
func serve(ctx context.Context, a mwkernel.Admission, c *mwcall.Call, d time.Duration) mwcode.Code {
	release, err := a.Admit(ctx, c)
	if err != nil {
		return mwcode.CodeOf(err)
	}
	time.Sleep(d)
	release(mwcall.Sample{Took: d, First: d})
	return mwcode.OK
}

func TestOrdersAreNotShedWhileBrowsingIsAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := makeAdmission(t, mwadmit.AdaptiveName, mwsetting.Admit{Queue: 8}, 4)
		out := newOutcomes()
		var wg sync.WaitGroup
		for i := range 400 {
			imp := browsing
			if i%4 == 0 {
				imp = orders
			}
			wg.Go(func() {
				out.add(imp, serve(t.Context(), a, newCall(imp, mwid.RootID(fmt.Sprint(i))), 10*time.Millisecond))
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		c.Check(out.count(orders, mwcode.OK), qt.Equals, 100)
		c.Check(out.count(browsing, mwcode.Overloaded) > 0, qt.IsTrue)
		c.Check(a.Load(service).InFlight, qt.Equals, mwunit.Slots(0))
	})
}

func TestQueuedPastItsDeadlineNeverStarts(t *testing.T) {
	for _, name := range []mwregistry.Name{mwadmit.AdaptiveName, mwadmit.FixedName} {
		t.Run(string(name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				a := makeAdmission(t, name, mwsetting.Admit{}, 1)
				release, err := a.Admit(t.Context(), newCall(orders, "first"))
				c.Assert(err, qt.IsNil)
				late := newCall(orders, "late")
				late.Deadline = time.Now().Add(time.Second)
				ctx, cancel := context.WithDeadline(t.Context(), late.Deadline)
				defer cancel()
				_, err = a.Admit(ctx, late)
				c.Check(mwcode.CodeOf(err), qt.Equals, mwcode.DeadlinePassed)
				c.Check(a.Load(service).Queued, qt.Equals, mwunit.Slots(0))
				release(mwcall.Sample{})
				release(mwcall.Sample{})
				c.Check(a.Load(service).InFlight, qt.Equals, mwunit.Slots(0))
			})
		})
	}
}

func TestShortWorkDoesNotWaitBehindLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := makeAdmission(t, mwadmit.AdaptiveName, mwsetting.Admit{}, 10)
		var wg sync.WaitGroup
		for i := range 20 {
			long := newCall(orders, mwid.RootID(fmt.Sprint("long", i)))
			long.Class.Length = mwconfig.Long
			wg.Go(func() { serve(t.Context(), a, long, time.Minute) })
		}
		synctest.Wait()
		start := time.Now()
		code := serve(t.Context(), a, newCall(browsing, "short"), time.Millisecond)
		c.Check(code, qt.Equals, mwcode.OK)
		c.Check(time.Since(start), qt.Equals, time.Millisecond)
		wg.Wait()
	})
}

func TestRetiredKeepsItsFloorAndCeiling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := makeAdmission(t, mwadmit.AdaptiveName, mwsetting.Admit{Queue: 50}, 10)
		var wg sync.WaitGroup
		var mu sync.Mutex
		var inFlight, maxInFlight, answered int
		for i := range 300 {
			wg.Go(func() { serve(t.Context(), a, newCall(orders, mwid.RootID(fmt.Sprint(i))), 100*time.Millisecond) })
			old := newCall(browsing, mwid.RootID(fmt.Sprint("old", i)))
			old.Class.Retired, old.Class.Floor, old.Class.Ceiling = "retired", 1, 2
			wg.Go(func() {
				release, err := a.Admit(t.Context(), old)
				if err != nil {
					return
				}
				mu.Lock()
				inFlight++
				answered++
				maxInFlight = max(maxInFlight, inFlight)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				mu.Lock()
				inFlight--
				mu.Unlock()
				release(mwcall.Sample{Took: 100 * time.Millisecond, First: 100 * time.Millisecond})
			})
			time.Sleep(5 * time.Millisecond)
		}
		wg.Wait()
		c.Check(maxInFlight <= 2, qt.IsTrue)
		c.Check(answered >= 15, qt.IsTrue, qt.Commentf("%d", answered))
	})
}
