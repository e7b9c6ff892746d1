package mwclaim_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"mustardwheel.example/mwlib/mwclaim"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

const (
	scheduleNodes = 3
	// settleTime is enough to write all pending records after the faults end.
	settleTime = 5 * time.Minute
)

// drawRatio draws a fraction that is often 0.
func drawRatio(rt *rapid.T, name string) mwunit.Ratio {
	return mwunit.Ratio(rapid.SampledFrom([]float64{0, 0, 0, 0.3, 1}).Draw(rt, name))
}

func drawMillis(rt *rapid.T, name string, limit int) time.Duration {
	return time.Duration(rapid.IntRange(0, limit).Draw(rt, name)) * time.Millisecond
}

func drawFaults(rt *rapid.T, stale bool) mwfakestore.Faults {
	f := mwfakestore.Faults{
		Unavailable: rapid.IntRange(0, 4).Draw(rt, "Away") == 0, RateExceeded: rapid.IntRange(0, 5).Draw(rt, "Slow") == 0,
		Delay: drawMillis(rt, "Delay", 3000), Lost: drawRatio(rt, "Lost"), Dropped: drawRatio(rt, "Dropped"),
		Late: drawRatio(rt, "Late"),
	}
	if stale {
		f.Stale = drawRatio(rt, "Stale")
	}
	return f
}

func drawScript(rt *rapid.T) script {
	return script{
		Timeout: time.Second + drawMillis(rt, "Timeout", 9000),
		Pause:   drawMillis(rt, "Pause", rapid.SampledFrom([]int{0, 100, 12000}).Draw(rt, "PauseMost")),
		Refused: rapid.IntRange(0, 3).Draw(rt, "Refused") == 0,
		Cut:     rapid.IntRange(0, 5).Draw(rt, "Cut") == 0,
	}
}

// schedule runs a random schedule on a cluster and returns the violation found,
// if any.
func schedule(rt *rapid.T, bug injectedBug) error {
	runFirst := rapid.Bool().Draw(rt, "RunFirst")
	stale := rapid.Bool().Draw(rt, "StaleReads")
	seed := rapid.Uint64().Draw(rt, "Seed")
	w, stop := newCluster(scheduleNodes, seed, bug, rapid.Bool().Draw(rt, "Group"), mwclaim.WithRunFirst(runFirst))
	defer stop()
	node := rapid.IntRange(0, scheduleNodes-1)
	key := rapid.SampledFrom([]mwid.CallKey{"a", "b", "c"})
	rt.Repeat(map[string]func(*rapid.T){
		"submit": func(rt *rapid.T) { w.submit(key.Draw(rt, "Key"), node.Draw(rt, "Node"), drawScript(rt)) },
		"submit at all": func(rt *rapid.T) {
			k := key.Draw(rt, "Key")
			for i := range w.nodes {
				w.submit(k, i, drawScript(rt))
			}
		},
		"faults":  func(rt *rapid.T) { w.store.SetFaults(drawFaults(rt, stale)) },
		"heal":    func(*rapid.T) { w.store.SetFaults(mwfakestore.Faults{}) },
		"lose":    func(rt *rapid.T) { w.wire.setLost(drawRatio(rt, "LostMessages")) },
		"cut":     func(rt *rapid.T) { w.links[node.Draw(rt, "Node")].cut.Store(true) },
		"mend":    func(rt *rapid.T) { w.links[node.Draw(rt, "Node")].cut.Store(false) },
		"restart": func(rt *rapid.T) { w.restart(node.Draw(rt, "Node")) },
		"sleep":   func(rt *rapid.T) { time.Sleep(drawMillis(rt, "Sleep", 5000)) },
		"":        func(*rapid.T) { w.quiesce() },
	})
	w.healAll()
	if err := w.violation(); err != nil {
		return err
	}
	if !stale && !runFirst {
		if err := w.checkLinearizable(); err != nil {
			return err
		}
	}
	if runFirst {
		return nil // A key may stay held permanently.
	}
	return w.checkLiveness()
}

func (w *cluster) healAll() {
	w.store.SetFaults(mwfakestore.Faults{})
	w.wire.setLost(0)
	for _, l := range w.links {
		l.cut.Store(false)
	}
	w.wg.Wait()
	time.Sleep(settleTime)
}

// checkLinearizable checks the history of each key against the model.
func (w *cluster) checkLinearizable() error {
	for k, st := range w.keys {
		if !st.linearizable() {
			return fmt.Errorf("key %q: history is not linearizable: %+v", k, st.history)
		}
	}
	return nil
}

// checkLiveness checks that no key is stuck without a reason.
func (w *cluster) checkLiveness() error {
	for k, st := range w.keys {
		if st.tainted {
			continue
		}
		c := newCall(k, false)
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		_, err := w.nodes[0].ledger.Claim(ctx, c)
		cancel()
		if err != nil {
			return fmt.Errorf("key %q is stuck: %w", k, err)
		}
	}
	return nil
}

// seeds are the seeds used if the command line sets none.
var seeds = []string{"1", "2", "3", "4", "5"}

// eachSeed runs f with each seed, or once if the command line sets one.
func eachSeed(t *testing.T, f func(t *testing.T)) {
	fl := flag.Lookup("rapid.seed")
	if fl.Value.String() != "0" {
		f(t)
		return
	}
	defer func() { _ = fl.Value.Set("0") }()
	for _, s := range seeds {
		_ = fl.Value.Set(s)
		f(t)
	}
}

// runInVirtualTime runs one schedule in its own virtual time, so that rapid's
// time limit counts real time. A panic by which rapid ends a schedule is raised
// again in the caller's goroutine.
func runInVirtualTime(t *testing.T, rt *rapid.T, bug injectedBug) error {
	var err error
	var panicked any
	synctest.Test(t, func(*testing.T) {
		defer func() { panicked = recover() }()
		err = schedule(rt, bug)
	})
	if panicked != nil {
		panic(panicked)
	}
	return err
}

func TestSchedules(t *testing.T) {
	eachSeed(t, func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			if err := runInVirtualTime(t, rt, noBug); err != nil {
				rt.Fatal(err)
			}
		})
	})
}

// The schedules must detect both injected bugs: a table that skips the claim
// check, and an attempt that may have run but is reported as not run.
func TestSchedulesFindAPlantedFault(t *testing.T) {
	for _, bug := range []injectedBug{skipChecks, falseNotRun} {
		eachSeed(t, func(t *testing.T) {
			found := 0
			rapid.Check(t, func(rt *rapid.T) {
				if runInVirtualTime(t, rt, bug) != nil {
					found++
				}
			})
			qt.Assert(t, found > 0, qt.IsTrue)
			t.Logf("bug %d: found by %d schedules", bug, found)
		})
	}
}
