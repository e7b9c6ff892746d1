package mwadmit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwadmit"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwregistry"
)

// TestSlownessBelowCostsNoCalls guards against refusing calls because a deeper
// service is slow. From second 3 to 8, calls that wait for a deeper service
// take six times as long; other calls do not depend on it. There are enough
// slots for all of them, so that a lower limit would only lose calls.
func TestSlownessBelowCostsNoCalls(t *testing.T) {
	tests := []struct {
		limiter     mwregistry.Name
		minAnswered float64 // minAnswered is the minimum ratio of answered calls.
	}{
		{limiter: mwadmit.GradientName, minAnswered: 0.999},
		{limiter: mwadmit.AIMDName, minAnswered: 0.94},
	}
	for _, test := range tests {
		t.Run(string(test.limiter), func(t *testing.T) {
			c := qt.New(t)
			deep := demand{importance: browsing, length: mwconfig.Short, took: 15 * time.Millisecond, rate: steady(120), timeout: time.Second}
			deep.slow = func(at time.Duration) float64 {
				if at >= 3*time.Second && at < 8*time.Second {
					return 6
				}
				return 1
			}
			own := rest(0.05)
			for seed := range seeds() {
				l := surgeLoad(mwadmit.AdaptiveName, test.limiter)
				l.demands = []demand{deep, own}
				r := run(t, l, seed)
				t.Logf("seed %d: answered %.4f of the calls that wait for the deeper service, %.4f of the others", seed, r[0].ratio(3, 8), r[1].ratio(3, 8))
				c.Check(r[0].ratio(3, 8) >= test.minAnswered, qt.IsTrue)
				c.Check(r[1].ratio(3, 8) >= test.minAnswered, qt.IsTrue)
			}
		})
	}
}
