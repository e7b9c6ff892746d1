package mwretry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	_ "mustardwheel.example/mwlib/mwretry"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

const reserve = 10

func policy(c *qt.C, name mwregistry.Name, hedge bool) mwkernel.RetryPolicy {
	set := &mwsetting.Node{Retry: mwsetting.Retry{
		TokenRatio: 0.1, TokenReserve: reserve, CallerReserve: reserve, Hedge: hedge,
		Chain: 8, Window: 10 * time.Second, WindowRatio: 0.2, WindowShare: 1,
	}}
	p, end, err := mwkernel.RetryPolicies.Make(name, mwkernel.Env{Settings: set, Metrics: metrics.NewSet()})
	c.Assert(err, qt.IsNil)
	if end != nil {
		c.Cleanup(end)
	}
	return p
}

func call() *mwcall.Call {
	c := &mwcall.Call{Service: "auftrag", Caller: "shop"}
	c.Class.Verdict = mwconfig.Verdict{Repeatable: true, Retries: 3, CallerRatio: 0.2, Length: mwconfig.Short}
	return c
}

// count returns how often f returns true in n calls.
func count(n int, f func() bool) int {
	yes := 0
	for range n {
		if f() {
			yes++
		}
	}
	return yes
}

func TestRetriesAreAPartOfTheSuccesses(t *testing.T) {
	tests := []struct {
		name      string
		code      mwcode.Code
		successes int
		want      int
	}{
		{"none succeeds", mwcode.Overloaded, 0, reserve},
		{"a full bucket takes no more", mwcode.Overloaded, 500, reserve},
		{"a draining target costs no token", mwcode.Draining, 0, 1000},
		{"a target without a backend server costs no token", mwcode.NoBackend, 0, 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := policy(qt.New(t), "chain", false)
			for range test.successes {
				p.Succeeded(call())
			}
			got := count(1000, func() bool { return p.Allow(call(), mwcall.Head{Code: test.code}) })
			qt.Check(t, got, qt.Equals, test.want)
		})
	}
}

func TestTokensOfOneServiceDoNotServeAnother(t *testing.T) {
	c := qt.New(t)
	p := policy(c, "chain", false)
	h := mwcall.Head{Code: mwcode.Overloaded}
	c.Check(count(100, func() bool { return p.Allow(call(), h) }), qt.Equals, reserve)
	other := call()
	other.Service = "katalog"
	c.Check(p.Allow(other, h), qt.IsTrue)
	for range 10 {
		p.Succeeded(call())
	}
	c.Check(count(100, func() bool { return p.Allow(call(), h) }), qt.Equals, 1)
}

func TestCallerRatio(t *testing.T) {
	c := qt.New(t)
	p := policy(c, "chain", false)
	again := call()
	again.Resubmitted = true
	start := func(cl *mwcall.Call) bool {
		n, err := p.RootBudget(cl)
		c.Check(err == nil || mwcode.CodeOf(err) == mwcode.CallerRatio, qt.IsTrue)
		c.Check(err != nil || n == 3, qt.IsTrue)
		return err == nil
	}
	c.Check(count(100, func() bool { return start(again) }), qt.Equals, reserve)
	c.Check(count(10, func() bool { return start(call()) }), qt.Equals, 10)
	c.Check(count(100, func() bool { return start(again) }), qt.Equals, 2)
}

func TestBudget(t *testing.T) {
	tests := []struct {
		policy       mwregistry.Name
		start, share mwunit.Attempts
	}{
		{"chain", 3, 5},
		{"chainhalf", 3, 3},
		{"perhop", 0, 0},
		{"off", 0, 0},
	}
	for _, test := range tests {
		t.Run(string(test.policy), func(t *testing.T) {
			c := qt.New(t)
			p := policy(c, test.policy, true)
			n, err := p.RootBudget(call())
			c.Check(err, qt.IsNil)
			c.Check(n, qt.Equals, test.start)
			c.Check(p.Share(call(), 5), qt.Equals, test.share)
		})
	}
}

func TestHedgeAfter(t *testing.T) {
	long, once := call(), call()
	long.Class.Length = mwconfig.Long
	once.Class.Repeatable = false
	tests := []struct {
		name  string
		hedge bool
		call  *mwcall.Call
		seen  int
		spent int // spent is the number of the service's tokens spent before the call.
		ok    bool
	}{
		{"known", true, call(), 1000, 0, true},
		{"not known yet", true, call(), 10, 0, false},
		{"switched off", false, call(), 1000, 0, false},
		{"long work", true, long, 1000, 0, false},
		{"must not repeat", true, once, 1000, 0, false},
		{"the service fails", true, call(), 1000, 8, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := policy(c, "chain", test.hedge)
				observe(p, test.seen)
				for range test.spent {
					p.Allow(call(), mwcall.Head{Code: mwcode.Overloaded})
				}
				d, ok := p.HedgeAfter(test.call)
				c.Check(ok, qt.Equals, test.ok)
				if ok {
					c.Check(d > 80*time.Millisecond && d < 110*time.Millisecond, qt.IsTrue, qt.Commentf("%v", d))
				}
			})
		})
	}
}

// observe gives p n answers, with latencies evenly distributed from 1 to 100
// ms, and as many fast refusals.
func observe(p mwkernel.RetryPolicy, n int) {
	for i := range n {
		d := time.Duration(1+i*37%100) * time.Millisecond
		p.Observe(call(), mwcall.Sample{First: d})
		p.Observe(call(), mwcall.Sample{First: time.Microsecond, Code: mwcode.Overloaded})
	}
}

// TestHedgingDoesNotFeedItself cancels each slow answer at the hedge delay. If
// cancelled attempts were ignored, the delay would shrink until every call is
// hedged.
func TestHedgingDoesNotFeedItself(t *testing.T) {
	c := qt.New(t)
	p := policy(c, "chain", true)
	observe(p, 1000)
	cut, total := 0, 0
	for i := range 10000 {
		d := time.Duration(1+i*37%100) * time.Millisecond
		after, ok := p.HedgeAfter(call())
		c.Assert(ok, qt.IsTrue)
		s := mwcall.Sample{First: d}
		if d > after {
			s = mwcall.Sample{First: after + time.Microsecond, Code: mwcode.Silent, Cancelled: true}
			cut++
		}
		total++
		p.Observe(call(), s)
	}
	c.Check(float64(cut)/float64(total) < 0.1, qt.IsTrue, qt.Commentf("%d of %d", cut, total))
}
