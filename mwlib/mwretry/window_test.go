package mwretry_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwretry"
	"mustardwheel.example/mwlib/mwunit"
)

func callOf(i mwunit.Importance) *mwcall.Call {
	c := &mwcall.Call{Service: "korrektur"}
	c.Class.Importance, c.Class.Retries = i, 1
	return c
}

// TestOrdersGetTheRepetitions replays a service that sheds 55 in 100 calls
// for 8 s: most of the calls come from browsing, and orders and proofs are
// still repeated, within a fifth of all first tries.
func TestOrdersGetTheRepetitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := policy(c, mwretry.WindowName, false)
		asked, allowed := make(map[mwunit.Importance]int), make(map[mwunit.Importance]int)
		firsts, rnd := 0, rand.New(rand.NewPCG(1, 0))
		shed := func(i mwunit.Importance) {
			p.Began(callOf(i))
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
			for n := range 20 { // 20 calls in 20 ms: 4 of orders, 2 proofs, 14 of browsing.
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
		c.Logf("repeated: orders %.2f, proofs %.2f, browsing %.2f", part(100), part(90), part(80))
		c.Check(part(100) >= 0.95, qt.IsTrue)
		c.Check(part(90) >= 0.5, qt.IsTrue)
		c.Check(part(80) < part(90), qt.IsTrue)
		c.Check(float64(allowed[100]+allowed[90]+allowed[80]) <= 0.2*float64(firsts)+10, qt.IsTrue)
	})
}

// Calls of a run that was itself a repetition count as repetitions.
func TestCallsOfARepeatedRunCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := policy(c, mwretry.WindowName, false)
		for range 100 {
			p.Began(callOf(100))
		}
		again := callOf(100)
		again.Repeated = true
		for range 30 {
			p.Began(again)
		}
		c.Check(p.Allow(callOf(100), mwcall.Head{}), qt.IsFalse)
	})
}

func TestChainBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := policy(c, mwretry.WindowName, false)
		n, err := p.Start(callOf(100))
		c.Assert(err, qt.IsNil)
		c.Check(n, qt.Equals, mwunit.Attempts(8))
		once := callOf(100)
		once.Class.Retries = 0
		n, err = p.Start(once)
		c.Assert(err, qt.IsNil)
		c.Check(n, qt.Equals, mwunit.Attempts(0))
	})
}
