package mwadmit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwadmit"
	"mustardwheel.example/mwlib/mwclass"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
)

// seconds is the length of a run in seconds.
const seconds = 10

// rest returns a demand of ordinary short calls beside those that a test
// examines. They use the fraction busy of a backend server's 20 slots.
func rest(busy float64) demand {
	const slots, took = 20, 20 * time.Millisecond
	return demand{
		importance: browsing, length: mwconfig.Short, took: took,
		rate: steady(busy * slots * float64(time.Second/took)), timeout: time.Second,
	}
}

// runWithRest runs rest(busy) together with ds. The first report is that of
// the rest.
func runWithRest(t *testing.T, p mwregistry.Name, busy float64, seed uint64, ds ...demand) []*report {
	l := load{plugin: p, slots: 20, workers: 20, length: seconds * time.Second, demands: append([]demand{rest(busy)}, ds...)}
	return run(t, l, seed)
}

// Floor and ceiling of the retired interface in slots, and the calls per second
// that its floor can serve.
const (
	retiredFloor     = 2
	retiredCeiling   = 3
	retiredFloorRate = float64(retiredFloor) * float64(time.Second/(20*time.Millisecond))
)

// retired returns a demand of rate calls per second on the retired interface.
func retired(rate float64) demand {
	d := rest(0)
	d.rate, d.importance = steady(rate), orders
	d.retired = mwconfig.Verdict{Retired: "retired", Floor: retiredFloor, Ceiling: retiredCeiling}
	return d
}

func TestRetiredIsServedWithinItsShare(t *testing.T) {
	for _, busy := range []float64{0.5, 2} {
		t.Run(fmt.Sprintf("rest at %v", busy), func(t *testing.T) {
			for seed := range seeds() {
				r := runWithRest(t, mwadmit.AdaptiveName, busy, seed, retired(0.7*retiredFloorRate))
				t.Logf("seed %d: answered %.3f of the calls on the retired interface", seed, r[1].ratio(0, seconds))
				qt.Check(t, r[1].ratio(0, seconds) >= 0.99, qt.IsTrue)
			}
		})
	}
}

// checkIsolation checks that overload of the retired interface does not affect
// the rest: it compares a run in which the floor of the retired interface can
// serve its calls to one in which the interface gets ten times as many calls.
func checkIsolation(t *testing.T, busy float64) {
	const maxP99Ratio = 1.02 // maxP99Ratio is the maximum p99 of the rest, relative to the undisturbed run.
	for seed := range seeds() {
		alone := runWithRest(t, mwadmit.AdaptiveName, busy, seed, retired(0.7*retiredFloorRate))[0]
		r := runWithRest(t, mwadmit.AdaptiveName, busy, seed, retired(7*retiredFloorRate))
		aloneP99, p99 := alone.quantile(0.99, 0, seconds), r[0].quantile(0.99, 0, seconds)
		t.Logf("seed %d: answered %.4f of the rest, undisturbed %.4f; p99 of the rest %v, undisturbed %v; answered %.3f of the calls on the retired interface",
			seed, r[0].ratio(0, seconds), alone.ratio(0, seconds), p99, aloneP99, r[1].ratio(0, seconds))
		qt.Check(t, r[1].ratio(0, seconds) >= 0.1*0.99, qt.IsTrue)
		qt.Check(t, r[0].ratio(0, seconds) >= 0.98*alone.ratio(0, seconds), qt.IsTrue)
		qt.Check(t, float64(p99) <= maxP99Ratio*float64(aloneP99), qt.IsTrue)
	}
}

func TestRetiredOverloadDoesNotSpread(t *testing.T) { checkIsolation(t, 0.5) }

func TestRetiredOverloadBesideABusyRest(t *testing.T) { checkIsolation(t, 0.7) }

// TestFloodOfOneCallerSparesTheOthers guards against one caller of a retired
// interface crowding out the others: one of its two callers stays within the
// floor, and the other sends ten times what the floor can serve.
func TestFloodOfOneCallerSparesTheOthers(t *testing.T) {
	for _, length := range []mwconfig.Length{mwconfig.Short, mwconfig.Medium} {
		t.Run(string(length), func(t *testing.T) {
			c := qt.New(t)
			old := rest(0.05)
			old.retired = mwconfig.Verdict{Retired: "retired", Floor: 2, Ceiling: 3}
			old.caller = "shop-1"
			flood := old
			flood.caller, flood.rate, flood.length = "shop-2", steady(1000), length
			for seed := range seeds() {
				r := runWithRest(t, mwadmit.AdaptiveName, 0.7, seed, old, flood)
				t.Logf("seed %d: answered %.4f of the caller within the floor, %.4f of the flood; p99 %v and %v", seed,
					r[1].ratio(0, seconds), r[2].ratio(0, seconds), r[1].quantile(0.99, 0, seconds), r[2].quantile(0.99, 0, seconds))
				c.Check(r[1].ratio(0, seconds) >= 0.99, qt.IsTrue)
				c.Check(r[0].ratio(0, seconds) >= 0.99, qt.IsTrue)
			}
		})
	}
}

func TestShortWorkBesideDownloads(t *testing.T) {
	const warm = seconds // warm is the end of the warm-up, in seconds; only later calls are measured.
	labels := func() mwkernel.Classifier { return mwclass.Labels{} }
	history := func() mwkernel.Classifier { return mwclass.NewHistory() }
	tests := []struct {
		name        string
		plugin      mwregistry.Name
		class       func() mwkernel.Classifier // class is nil if downloads are labelled Long.
		maxP99Ratio float64                    // maxP99Ratio is the maximum p99 of short work, relative to a run without downloads; 0 means none.
		minAnswered float64                    // minAnswered is the minimum ratio of answered short calls.
	}{
		{name: "labelled", plugin: mwadmit.AdaptiveName, maxP99Ratio: 1.2, minAnswered: 0.999},
		{name: "not labelled, history", plugin: mwadmit.AdaptiveName, class: history, minAnswered: 0.9},
		{name: "not labelled, labels alone", plugin: mwadmit.AdaptiveName, class: labels},
		{name: "fixed", plugin: mwadmit.FixedName},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			download := demand{
				importance: browsing + 10, length: mwconfig.Long, path: "/artwork/1",
				took: 4 * time.Second, rate: steady(5), timeout: 30 * time.Second,
			}
			for seed := range seeds() {
				l := load{plugin: test.plugin, slots: 20, workers: 20, length: 2 * seconds * time.Second, demands: []demand{rest(0.4)}}
				alone := run(t, l, seed)[0]
				l.demands = append(l.demands, download)
				if test.class != nil {
					l.class = test.class()
				}
				r := run(t, l, seed)
				ratio := float64(r[0].quantile(0.99, warm, 2*seconds)) / float64(alone.quantile(0.99, warm, 2*seconds))
				t.Logf("seed %d: p99 of short work %.2f of that without downloads, answered %.4f; downloads answered %.3f",
					seed, ratio, r[0].ratio(warm, 2*seconds), r[1].ratio(warm, 2*seconds))
				qt.Check(t, test.maxP99Ratio == 0 || ratio <= test.maxP99Ratio, qt.IsTrue)
				qt.Check(t, r[0].ratio(warm, 2*seconds) >= test.minAnswered, qt.IsTrue)
			}
		})
	}
}
