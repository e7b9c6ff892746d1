package mwload_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwbench/internal/mwload"
)

// stepped returns a stream whose rate changes twice, with no arrivals in the
// middle step.
func stepped(k mwload.Kind) mwload.Stream {
	return mwload.Stream{Kind: k, Steps: []mwload.Step{
		{Duration: 10 * time.Second, Rate: 100}, {Duration: 10 * time.Second}, {Duration: 10 * time.Second, Rate: 300},
	}}
}

func TestShotsFollowTheRates(t *testing.T) {
	c := qt.New(t)
	arrivals := mwload.Arrivals(1, stepped("a"))
	var counts [3]int
	for _, s := range arrivals {
		counts[s.At/(10*time.Second)]++
	}
	c.Assert(counts[0] > 900 && counts[0] < 1100, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(counts[1], qt.Equals, 0)
	c.Assert(counts[2] > 2800 && counts[2] < 3200, qt.IsTrue, qt.Commentf("%v", counts))
}

func TestShotsDependOnSeedAndKindAlone(t *testing.T) {
	c := qt.New(t)
	alone := mwload.Arrivals(1, stepped("a"))
	var among []mwload.Arrival
	for _, s := range mwload.Arrivals(1, stepped("b"), stepped("a")) {
		if s.Kind == "a" {
			among = append(among, s)
		}
	}
	c.Assert(among, qt.DeepEquals, alone)
	c.Assert(mwload.Arrivals(2, stepped("a")), qt.Not(qt.DeepEquals), alone)
}

// TestRunIsOpenLoop uses a server that handles one request at a time, and takes
// longer for each than the time between arrivals. A closed loop would send
// fewer requests and hide the time that they wait.
func TestRunIsOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		arrivals := []mwload.Arrival{{At: 0, Kind: "a"}, {At: time.Second, Kind: "a"}, {At: 2 * time.Second, Kind: "a"}}
		slot := make(chan struct{}, 1)
		do := func(context.Context, mwload.Arrival) mwload.Outcome {
			slot <- struct{}{}
			defer func() { <-slot }()
			time.Sleep(3 * time.Second)
			return mwload.Outcome{OK: true, Work: 3 * time.Second}
		}
		tally := mwload.NewTally(time.Second)
		start := time.Now()
		mwload.Run(t.Context(), arrivals, do, tally.Add)
		c.Assert(time.Since(start), qt.Equals, 9*time.Second)
		took := func(from time.Duration) time.Duration {
			return tally.Sum(mwload.Span{From: from, To: from + time.Second}, "a").Took(100).Round(10 * time.Millisecond)
		}
		c.Assert(took(0), qt.Equals, 3*time.Second)
		c.Assert(took(time.Second), qt.Equals, 5*time.Second)
		c.Assert(took(2*time.Second), qt.Equals, 7*time.Second)
		all := tally.Sum(mwload.Span{To: time.Minute}, "a")
		c.Assert(all.OK, qt.Equals, 3)
		c.Assert(tally.Sum(mwload.Span{From: 3 * time.Second, To: 6 * time.Second}, "a").Completed, qt.Equals, 1)
		c.Assert(all.Wait(100).Round(10*time.Millisecond), qt.Equals, 4*time.Second)
	})
}

func TestRunStopsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		tally := mwload.NewTally(time.Second)
		mwload.Run(ctx, mwload.Arrivals(1, stepped("a")), func(context.Context, mwload.Arrival) mwload.Outcome {
			return mwload.Outcome{OK: true}
		}, tally.Add)
		n := tally.Sum(mwload.Span{To: time.Minute}, "a").Sent
		c.Assert(n > 400 && n < 600, qt.IsTrue, qt.Commentf("%d", n))
	})
}

func TestRecovery(t *testing.T) {
	tests := []struct {
		name string
		bad  int
		want time.Duration
	}{
		{name: "at once", bad: 0, want: 0},
		{name: "after three windows", bad: 3, want: 3 * time.Second},
		{name: "never", bad: 10, want: 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			tally := mwload.NewTally(time.Second)
			for i := range 10 {
				s := mwload.Arrival{At: time.Duration(5+i) * time.Second, Kind: "a"}
				tally.Add(mwload.Result{Arrival: s, Outcome: mwload.Outcome{OK: i >= test.bad}})
			}
			sp := mwload.Span{From: 5 * time.Second, To: 15 * time.Second}
			c.Assert(tally.Recovery(sp, 0.99, "a"), qt.Equals, test.want)
		})
	}
}
