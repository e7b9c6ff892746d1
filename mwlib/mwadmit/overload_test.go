package mwadmit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwadmit"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

// surgeLoad returns a load for a backend server that can serve 1000 calls per
// second with its 20 slots. The demand is 700 calls per second, and three times
// as much from second 3 to 6; callers make up to three attempts.
func surgeLoad(p, limiter mwregistry.Name) load {
	const from, to = 3 * time.Second, 6 * time.Second
	work := demand{length: mwconfig.Short, took: 20 * time.Millisecond, timeout: 500 * time.Millisecond, attempts: 3}
	order, browse := work, work
	order.importance, order.rate = orders, surge(200, 3, from, to)
	browse.importance, browse.rate = browsing, surge(500, 3, from, to)
	return load{
		plugin: p, set: mwsetting.Admit{Limiter: limiter}, slots: 20, workers: 20,
		length: 12 * time.Second, demands: []demand{order, browse},
	}
}

// slowSpell makes work take ten times as long from second 8 to 9.
func slowSpell(at time.Duration) float64 {
	if at >= 8*time.Second && at < 9*time.Second {
		return 10
	}
	return 1
}

func TestOverloadDoesNotOutliveItsTrigger(t *testing.T) {
	tests := []struct {
		name    string
		limiter mwregistry.Name
		slots   mwunit.Slots // slots is the announced number; the backend server has 20.
		slow    func(time.Duration) float64
		// after is the minimum ratio of browsing calls answered from second 9
		// to 11, right after the slow spell if the case has one.
		after float64
	}{
		{name: "gradient", limiter: mwadmit.GradientName, slots: 20, after: 0.99},
		{name: "AIMD", limiter: mwadmit.AIMDName, slots: 20, after: 0.99},
		{name: "gradient, twice the slots announced", limiter: mwadmit.GradientName, slots: 40, after: 0.99},
		{name: "AIMD, twice the slots announced", limiter: mwadmit.AIMDName, slots: 40, after: 0.99},
		{name: "gradient, slow spell", limiter: mwadmit.GradientName, slots: 20, slow: slowSpell, after: 0.9},
		{name: "AIMD, slow spell", limiter: mwadmit.AIMDName, slots: 20, slow: slowSpell, after: 0.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range seeds() {
				l := surgeLoad(mwadmit.AdaptiveName, test.limiter)
				l.slots, l.slow = test.slots, test.slow
				r := run(t, l, seed)
				goodput := (r[0].rate(3, 6) + r[1].rate(3, 6)) / 1000
				t.Logf("seed %d: goodput %.3f of capacity, orders %.3f; browsing after the surge %.3f, from 9 to 11 s %.3f; p99 of orders %v, of browsing %v",
					seed, goodput, r[0].ratio(3, 6), r[1].ratio(6, 8), r[1].ratio(9, 11),
					r[0].quantile(0.99, 0, 12).Round(time.Millisecond), r[1].quantile(0.99, 0, 12).Round(time.Millisecond))
				c.Check(goodput >= 0.95, qt.IsTrue)
				c.Check(r[0].ratio(3, 6) >= 0.999, qt.IsTrue)
				c.Check(r[1].ratio(6, 8) >= 0.99, qt.IsTrue)
				c.Check(r[1].ratio(9, 11) >= test.after, qt.IsTrue)
			}
		})
	}
}
