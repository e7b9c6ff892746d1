package mwadmit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwadmit"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

// TestLastSlots guards against using all slots of a backend server that slows
// down when it is full. The demand is 1.3 times its highest throughput, and work
// that starts while its last slots are in use takes 1.3 times as long. Its
// throughput is highest with these slots left free, and at least 95% of that must
// be reached. If work does not slow down while the last slots are in use, they
// may stay free as well, but all other slots must be used.
func TestLastSlots(t *testing.T) {
	const took = 22 * time.Millisecond
	tests := []struct {
		name       string
		slots      mwunit.Slots
		fullFactor float64      // fullFactor is the factor by which work takes longer while the last slots are in use.
		free       mwunit.Slots // free is the number of slots that are best left free.
	}{
		{"few slots", 15, 1.3, 1},
		{"some slots", 30, 1.3, 2},
		{"many slots", 146, 1.3, 8},
		{"last slots like the others", 30, 1, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			best := float64(test.slots-test.free) / took.Seconds()
			for seed := range seeds() {
				r := run(t, load{
					plugin: mwadmit.AdaptiveName, set: mwsetting.Admit{Limiter: mwadmit.SlotsName},
					slots: test.slots, workers: int(test.slots), fullFactor: test.fullFactor, length: 4 * time.Second,
					demands: []demand{{
						importance: browsing, length: mwconfig.Short, took: took, timeout: 300 * time.Millisecond,
						rate: steady(1.3 * best),
					}},
				}, seed)
				got := r[0].rate(1, 4) / best
				t.Logf("seed %d: %.3f of the highest throughput", seed, got)
				c.Check(got >= 0.95, qt.IsTrue, qt.Commentf("%.3f of the highest throughput", got))
			}
		})
	}
}
