package mwretry_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwretry"
	"mustardwheel.example/mwlib/mwunit"
)

// callOf returns a call of importance i with a new root.
func callOf(i mwunit.Importance) *mwcall.Call {
	c := &mwcall.Call{Service: "korrektur", Root: mwid.RootID(strconv.Itoa(rand.Int()))}
	c.Class.Importance, c.Class.Retries = i, 1
	c.Class.Priority = mwcall.NewPriority(i, true, c.Root)
	return c
}

// TestOrdersGetTheRepetitions simulates a service that sheds 55 in 100 calls
// for 8 s. Most calls come from browsing; orders and proofs must still be
// retried, and retries must stay within a fifth of all first attempts.
func TestOrdersGetTheRepetitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := policy(c, mwretry.WindowName, false)
		asked, allowed := make(map[mwunit.Importance]int), make(map[mwunit.Importance]int)
		firsts, rnd := 0, rand.New(rand.NewPCG(1, 0))
		shed := func(i mwunit.Importance) {
			p.FirstAttempt(callOf(i))
			firsts++
			if rnd.Float64() >= 0.55 {
				return
			}
			asked[i]++
			if p.Allow(callOf(i), mwcall.Head{}) {
				allowed[i]++
			}
		}
		for range 8 * 50 {
			for n := range 20 { // 20 calls in 20 ms: 4 of orders, 2 of proofs, 14 of browsing.
				switch n % 10 {
				case 0, 5:
					shed(100)
				case 3:
					shed(90)
				default:
					shed(80)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		part := func(i mwunit.Importance) float64 { return float64(allowed[i]) / float64(asked[i]) }
		c.Logf("retried: orders %.2f, proofs %.2f, browsing %.2f", part(100), part(90), part(80))
		c.Check(part(100) >= 0.95, qt.IsTrue)
		c.Check(part(90) >= 0.5, qt.IsTrue)
		c.Check(part(80) < part(90), qt.IsTrue)
		c.Check(float64(allowed[100]+allowed[90]+allowed[80]) <= 0.2*float64(firsts)+10, qt.IsTrue)
	})
}

// request needs several sequential calls of one service.
type request struct {
	call      *mwcall.Call
	remaining int // remaining is the number of calls not answered yet.
	sent      bool
}

// step makes one attempt of the current call, which the service sheds or
// answers, and reports whether the request continues.
func (r *request) step(p mwkernel.RetryPolicy, shed bool) bool {
	if !r.sent {
		p.FirstAttempt(r.call)
		r.sent = true
	}
	if shed {
		return p.Allow(r.call, mwcall.Head{})
	}
	r.remaining--
	r.sent = false
	return r.remaining > 0
}

// TestWholeRequestsGetTheRepetitions simulates a service that sheds 55 in 100
// calls for 8 s, with requests that need four calls each. With one retry per
// call, a fifth of the requests succeed, and with none a twenty-fifth; the
// retries allowed suffice for three fifths of the orders.
func TestWholeRequestsGetTheRepetitions(t *testing.T) {
	const (
		tick            = 20 * time.Millisecond
		shed            = 0.55
		callsPerRequest = 4
		orders          = 2 // Order requests per tick.
		browse          = 4 // Browsing requests per tick.
		ticksPerSecond  = int(time.Second / tick)
		calm            = 10 // In seconds.
		outage          = 8  // In seconds.
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := policy(c, mwretry.WindowName, false)
		rnd := rand.New(rand.NewPCG(1, 0))
		var open []*request
		completed := make(map[mwunit.Importance]int) // completed is the number of requests whose calls were all answered.
		run := func(seconds int, shed float64) {
			for range seconds * ticksPerSecond {
				for n := range orders + browse {
					i := mwunit.Importance(80)
					if n < orders {
						i = 100
					}
					open = append(open, &request{call: callOf(i), remaining: callsPerRequest})
				}
				open = slices.DeleteFunc(open, func(r *request) bool {
					continues := r.step(p, rnd.Float64() < shed)
					if r.remaining == 0 {
						completed[r.call.Class.Importance]++
					}
					return !continues
				})
				time.Sleep(tick)
			}
		}
		run(calm, 0)
		clear(completed)
		run(outage/2, shed)
		early := completed[100]
		run(outage/2, shed)
		late := completed[100] - early
		c.Logf("completed: orders %d and %d of %d, browsing %d of %d",
			early, late, orders*ticksPerSecond*outage, completed[80], browse*ticksPerSecond*outage)
		// An order needs shed/(1-shed) retries for each of its calls.
		allowed := 0.2 * calm * float64(ticksPerSecond*(orders+browse)*callsPerRequest)
		retriable := allowed / (callsPerRequest * shed / (1 - shed))
		c.Check(float64(completed[100]) >= retriable*2/3, qt.IsTrue, qt.Commentf("allowed retries suffice for %.0f orders", retriable))
		c.Check(late*2 >= early, qt.IsTrue, qt.Commentf("the second half must complete at least half as many orders as the first"))
	})
}

// Calls of a repeated run count as retries.
func TestCallsOfARepeatedRunCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := policy(c, mwretry.WindowName, false)
		for range 100 {
			p.FirstAttempt(callOf(100))
		}
		again := callOf(100)
		again.Repeated = true
		for range 30 {
			p.FirstAttempt(again)
		}
		c.Check(p.Allow(callOf(100), mwcall.Head{}), qt.IsFalse)
	})
}

func TestChainBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := policy(c, mwretry.WindowName, false)
		n, err := p.RootBudget(callOf(100))
		c.Assert(err, qt.IsNil)
		c.Check(n, qt.Equals, mwunit.Attempts(8))
		once := callOf(100)
		once.Class.Retries = 0
		n, err = p.RootBudget(once)
		c.Assert(err, qt.IsNil)
		c.Check(n, qt.Equals, mwunit.Attempts(0))
	})
}
