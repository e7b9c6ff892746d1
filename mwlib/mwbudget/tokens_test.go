package mwbudget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"mustardwheel.example/mwlib/mwbudget"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func TestSpentIsWithinReserveAndEarned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const reserve, ratio = 5, 0.25
		tokens := mwbudget.NewTokens[string](mwbudget.WithReserve(reserve))
		earned, spent := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"earn": func(*rapid.T) {
				tokens.Earn("k", ratio, start)
				earned++
			},
			"spend": func(*rapid.T) {
				if tokens.Spend("k", start) {
					spent++
				}
			},
			"": func(t *rapid.T) {
				if float64(spent) > reserve+ratio*float64(earned) {
					t.Fatalf("spent %d tokens after %d calls of Earn", spent, earned)
				}
			},
		})
	})
}

func TestTokensBoundKeys(t *testing.T) {
	c := qt.New(t)
	const keys = 100
	tokens := mwbudget.NewTokens[int](mwbudget.WithMaxKeys(keys), mwbudget.WithReserve(1))
	for k := range 10 * keys {
		tokens.Spend(k+1, start)
	}
	c.Assert(tokens.Len(), qt.Equals, keys+1)
	c.Assert(tokens.Spend(5, start), qt.IsFalse, qt.Commentf("a known key keeps its bucket"))
	c.Assert(tokens.Spend(10*keys+1, start), qt.IsFalse, qt.Commentf("keys beyond the limit share one bucket"))
}

func TestIdleBucketsGoAway(t *testing.T) {
	c := qt.New(t)
	tokens := mwbudget.NewTokens[string](mwbudget.WithIdleTimeout(time.Minute))
	tokens.Earn("old", 1, start)
	tokens.Earn("new", 1, start.Add(59*time.Second))
	tokens.Earn("new", 1, start.Add(90*time.Second))
	c.Assert(tokens.Len(), qt.Equals, 1)
	c.Assert(float64(tokens.Left("old")), qt.Equals, 1.0)
}
