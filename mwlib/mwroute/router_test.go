package mwroute_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	_ "mustardwheel.example/mwlib/mwroute"
	"mustardwheel.example/mwlib/mwset"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

const (
	service = "auftrag"
	picks   = 2000
)

var regionOf = map[mwid.ZoneName]mwid.RegionName{
	"wien-a": "wien", "wien-b": "wien", "graz-a": "graz", "graz-b": "graz",
	"linz-a": "linz", "linz-b": "linz",
}

// routerTest is a router under test and its metrics.
type routerTest struct {
	*qt.C
	router  mwkernel.Router
	metrics *metrics.Set
}

func newTest(c *qt.C, name mwregistry.Name) *routerTest { return newTestIn(c, name, "wien-a") }

func newTestIn(c *qt.C, name mwregistry.Name, z mwid.ZoneName) *routerTest {
	set := &mwsetting.Node{Place: mwsetting.Place{Zone: z, Region: regionOf[z]}}
	set.Route = mwsetting.Route{EjectRatio: 0.34, FarRatio: 0.3, SlowFactor: 3, Warmup: 10 * time.Second}
	m := metrics.NewSet()
	r, end, err := mwkernel.Routers.Make(name, mwkernel.Env{Node: "here", Settings: set, Metrics: m})
	c.Assert(err, qt.IsNil)
	if end != nil {
		c.Cleanup(end)
	}
	return &routerTest{C: c, router: r, metrics: m}
}

// targets returns n targets in each of zones, all past their warm-up.
func targets(n int, zones ...mwid.ZoneName) []mwcall.Target {
	var ts []mwcall.Target
	for _, z := range zones {
		for i := range n {
			ts = append(ts, mwcall.Target{
				Node: mwid.NodeID(fmt.Sprintf("%s-%d", z, i)), Service: service,
				Zone: z, Region: regionOf[z], Slots: 90,
			})
		}
	}
	return ts
}

func call() *mwcall.Call {
	c := &mwcall.Call{Service: service}
	c.Class.Length = mwconfig.Short
	return c
}

func (b *routerTest) pick(c *mwcall.Call, ts []mwcall.Target) (mwcall.Target, error) {
	return b.router.Pick(c, ts, mwset.New[mwid.NodeID]())
}

// answer records one call that t answered with h after took.
func (b *routerTest) answer(t mwcall.Target, h mwcall.Head, took time.Duration) {
	b.router.Begin(call(), t)(h, mwcall.Sample{Took: took, First: took, Code: h.Code})
}

// shares makes many picks and returns the number of calls for each zone, or for
// each error code.
func (b *routerTest) shares(c *mwcall.Call, ts []mwcall.Target) map[mwid.ZoneName]int {
	got := make(map[mwid.ZoneName]int)
	for range picks {
		t, err := b.pick(c, ts)
		if err != nil {
			got[mwid.ZoneName(mwcode.CodeOf(err).String())]++
			continue
		}
		got[t.Zone]++
		b.answer(t, mwcall.Head{}, time.Millisecond)
	}
	return got
}

// setState sets the state of the targets of ts in zones to s.
func setState(ts []mwcall.Target, s mwcall.TargetState, zones ...mwid.ZoneName) []mwcall.Target {
	in := mwset.New(zones...)
	for i := range ts {
		if in.Has(ts[i].Zone) {
			ts[i].State = s
		}
	}
	return ts
}

func TestNearestThatCanServe(t *testing.T) {
	all := func() []mwcall.Target { return targets(3, "wien-a", "wien-b", "graz-a", "linz-a") }
	tests := []struct {
		name string
		ts   []mwcall.Target
		want []mwid.ZoneName
	}{
		{"own zone", all(), []mwid.ZoneName{"wien-a"}},
		{"own region", setState(all(), mwcall.Leaving, "wien-a"), []mwid.ZoneName{"wien-b"}},
		{"far", setState(all(), mwcall.Leaving, "wien-a", "wien-b"), []mwid.ZoneName{"graz-a", "linz-a"}},
		{"suspects before unreachable ones",
			setState(setState(all(), mwcall.Suspect, "linz-a"), mwcall.Unreachable, "wien-a", "wien-b", "graz-a"),
			[]mwid.ZoneName{"linz-a"}},
		{"unreachable ones as a last resort",
			setState(targets(2, "graz-a"), mwcall.Unreachable, "graz-a"), []mwid.ZoneName{"graz-a"}},
		{"never a leaving one", setState(targets(2, "wien-a"), mwcall.Leaving, "wien-a"), []mwid.ZoneName{"NoTarget"}},
		{"none", nil, []mwid.ZoneName{"NoTarget"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTest(qt.New(t), "cost")
				want := mwset.New(test.want...)
				for z := range b.shares(call(), test.ts) {
					b.Check(want.Has(z), qt.IsTrue, qt.Commentf("picked %s", z))
				}
			})
		})
	}
}

func TestTriedTargetsAreLeftOut(t *testing.T) {
	for _, name := range []mwregistry.Name{"cost", "random"} {
		t.Run(string(name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTest(qt.New(t), name)
				ts, tried := targets(2, "wien-a", "graz-a"), mwset.New[mwid.NodeID]()
				for range ts {
					got, err := b.router.Pick(call(), ts, tried)
					b.Assert(err, qt.IsNil)
					b.Assert(tried.Has(got.Node), qt.IsFalse)
					tried.Add(got.Node)
				}
				_, err := b.router.Pick(call(), ts, tried)
				b.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.NoTarget)
			})
		})
	}
}

func TestSpill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTest(qt.New(t), "cost")
		ts := targets(3, "wien-a", "graz-a")
		refuse := func() {
			for _, tg := range ts[:3] {
				b.answer(tg, mwcall.Head{Code: mwcode.Overloaded}, time.Millisecond)
			}
		}
		refuse()
		got := b.shares(call(), ts)
		b.Check(got["graz-a"] > 0, qt.IsTrue)
		b.Check(float64(got["graz-a"]) <= 20+0.3*picks, qt.IsTrue, qt.Commentf("spilled %d", got["graz-a"]))
		long := call()
		long.Class.Length = mwconfig.Long
		refuse()
		b.Check(b.shares(long, ts)["graz-a"], qt.Equals, 0)
		time.Sleep(time.Second)
		b.Check(b.shares(call(), ts)["wien-a"], qt.Equals, picks)
	})
}

func TestEarlyRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTest(qt.New(t), "cost")
		ts := targets(3, "wien-a")
		high := mwcall.NewPriority(90, false, "r")
		for _, tg := range ts {
			b.answer(tg, mwcall.Head{Code: mwcode.Overloaded, Threshold: high}, time.Millisecond)
		}
		low, orders, long, retired := call(), call(), call(), call()
		orders.Class.Priority = high
		long.Class.Length = mwconfig.Long
		retired.Class.Retired = "old"
		probes := 0
		for range picks {
			if _, err := b.pick(low, ts); err == nil {
				probes++
			} else {
				b.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.EarlyRefusal)
			}
			for _, c := range []*mwcall.Call{orders, long, retired} {
				_, err := b.pick(c, ts)
				b.Assert(err, qt.IsNil)
			}
		}
		b.Check(probes > 0 && probes < picks/20, qt.IsTrue, qt.Commentf("%d probes", probes))
		time.Sleep(2 * time.Second)
		_, err := b.pick(low, ts)
		b.Check(err, qt.IsNil, qt.Commentf("the threshold has expired"))
	})
}

func TestSlowTargetIsEjectedAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTest(qt.New(t), "cost")
		ts := targets(6, "wien-a")
		for range 20 {
			for i, tg := range ts {
				took := 5 * time.Millisecond
				if i == 0 {
					took *= 10
				}
				b.answer(tg, mwcall.Head{}, took)
			}
		}
		time.Sleep(150 * time.Millisecond)
		count := func() int {
			n := 0
			for range picks {
				if tg, _ := b.pick(call(), ts); tg.Node == ts[0].Node {
					n++
				}
			}
			return n
		}
		b.Check(count(), qt.Equals, 0)
		time.Sleep(30 * time.Second)
		b.Check(count() > 0, qt.IsTrue, qt.Commentf("the slow target is tried again after 30 s"))
	})
}

func TestNewTargetStartsSlowly(t *testing.T) {
	tests := []struct {
		name     string
		age      time.Duration
		min, max mwunit.Ratio
	}{
		{"new", 0, 0.005, 0.08},
		{"half warm", 5 * time.Second, 0.08, 0.2},
		{"warm", 10 * time.Second, 0.2, 0.3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTest(qt.New(t), "cost")
				ts := targets(4, "wien-a")
				ts[0].Since = time.Now().Add(-test.age)
				n := 0
				for range picks {
					if tg, _ := b.pick(call(), ts); tg.Node == ts[0].Node {
						n++
					}
				}
				share := mwunit.Ratio(n) / picks
				b.Check(share >= test.min && share <= test.max, qt.IsTrue, qt.Commentf("share %v", share))
			})
		})
	}
}

func TestVanishedTargetsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTest(qt.New(t), "cost")
		gauge := `mw_route_ejected{service="auftrag"}`
		b.shares(call(), targets(50, "wien-a"))
		b.Check(b.metrics.ListMetricNames(), qt.Contains, gauge)
		time.Sleep(2 * time.Minute)
		b.Check(slices.Contains(b.metrics.ListMetricNames(), gauge), qt.IsFalse)
		b.Check(b.router.(interface{ Len() int }).Len(), qt.Equals, 0)
	})
}

// TestOwnTargetComesFirst checks that this node's own target gets the calls
// until this node uses half of its slots.
func TestOwnTargetComesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTest(qt.New(t), "cost")
		ts := targets(3, "wien-a")
		ts[1].Node, ts[1].Slots = "here", 10
		own := 0
		for range 30 {
			tg, err := b.pick(call(), ts)
			b.Assert(err, qt.IsNil)
			b.router.Begin(call(), tg)
			if tg.Node == "here" {
				own++
			}
		}
		b.Check(own >= 5 && own < 10, qt.IsTrue, qt.Commentf("%d calls at the own target", own))
	})
}

func TestCapOfEjection(t *testing.T) {
	const n = 6
	tests := []struct {
		name string
		lost int
		want float64
	}{
		{"none", 0, 0}, {"one", 1, 1}, {"at the limit", 2, 2}, {"above the limit", 4, 2}, {"all", n, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTest(qt.New(t), "cost")
				ts := targets(n, "wien-a")
				for _, tg := range ts[:test.lost] {
					b.answer(tg, mwcall.Head{Code: mwcode.ConnectFailed}, time.Millisecond)
				}
				got := b.shares(call(), ts)
				b.Check(got["wien-a"], qt.Equals, picks)
				b.Check(b.metrics.GetOrCreateGauge(`mw_route_ejected{service="auftrag"}`, nil).Get(), qt.Equals, test.want)
			})
		})
	}
}

func TestBadSettings(t *testing.T) {
	tests := []struct {
		name string
		set  mwsetting.Route
	}{
		{"eject ratio above 1", mwsetting.Route{EjectRatio: 1.5, SlowFactor: 3}},
		{"far ratio below 0", mwsetting.Route{FarRatio: -1, SlowFactor: 3}},
		{"slow factor below 1", mwsetting.Route{SlowFactor: 0.5}},
		{"warm-up below 0", mwsetting.Route{SlowFactor: 3, Warmup: -time.Second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			env := mwkernel.Env{Settings: &mwsetting.Node{Route: test.set}, Metrics: metrics.NewSet()}
			_, _, err := mwkernel.Routers.Make("cost", env)
			qt.Check(t, mwcode.CodeOf(err), qt.Equals, mwcode.BadSetting)
		})
	}
}

func TestAllTargetsAreNewAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTest(qt.New(t), "cost")
		ts := targets(4, "wien-a")
		for i := range ts {
			ts[i].Since = time.Now()
		}
		got := make(map[mwid.NodeID]int)
		for range picks {
			tg, err := b.pick(call(), ts)
			b.Assert(err, qt.IsNil)
			got[tg.Node]++
		}
		for _, tg := range ts {
			b.Check(got[tg.Node] > picks/8, qt.IsTrue, qt.Commentf("%s: %d", tg.Node, got[tg.Node]))
		}
	})
}

func TestLongWorkPassesOverFullLanes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTest(qt.New(t), "cost")
		ts := targets(2, "wien-a")
		b.answer(ts[0], mwcall.Head{Code: mwcode.LaneFull, RetryAfter: time.Second}, time.Millisecond)
		long := call()
		long.Class.Length = mwconfig.Long
		short := make(map[mwid.NodeID]int)
		for range picks {
			tg, _ := b.pick(long, ts)
			b.Assert(tg.Node, qt.Equals, ts[1].Node)
			tg, _ = b.pick(call(), ts)
			short[tg.Node]++
		}
		b.Check(short[ts[0].Node] > 0, qt.IsTrue)
	})
}
