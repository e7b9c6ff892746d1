package mwlane_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwlane"
	"mustardwheel.example/mwlib/mwunit"
)

func TestLongerWorkLeavesRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := mwunit.Slots(rapid.IntRange(2, 100).Draw(t, "limit"))
		s := mwlane.New(limit, 0.7, 0.4)
		for range 500 {
			l := mwlane.Lane(rapid.IntRange(int(mwlane.Medium), int(mwlane.Long)).Draw(t, "lane"))
			if s.Free(l) {
				s.Acquire(l)
			}
		}
		if !s.Free(mwlane.Short) {
			t.Fatalf("no slot for short work: %d of %d in use", s.Used(), limit)
		}
		for s.Free(mwlane.Short) {
			s.Acquire(mwlane.Short)
		}
		if s.Used() != limit {
			t.Fatalf("%d of %d slots in use after short work took all free ones", s.Used(), limit)
		}
	})
}

func TestUnusedSlotsAreLentToShorterWork(t *testing.T) {
	tests := []struct {
		name string
		lane mwlane.Lane
		want mwunit.Slots
	}{
		{name: "short", lane: mwlane.Short, want: 10},
		{name: "medium", lane: mwlane.Medium, want: 7},
		{name: "long", lane: mwlane.Long, want: 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := mwlane.New(10, 0.7, 0.4)
			for s.Free(test.lane) {
				s.Acquire(test.lane)
			}
			qt.Assert(t, s.UsedBy(test.lane), qt.Equals, test.want)
			s.Release(test.lane)
			qt.Assert(t, s.Free(test.lane), qt.IsTrue)
		})
	}
}

func TestOf(t *testing.T) {
	c := qt.New(t)
	for _, l := range []mwconfig.Length{mwconfig.Short, mwconfig.Medium, mwconfig.Long} {
		c.Check(mwlane.ForLength(l).String(), qt.Equals, string(l))
	}
	c.Check(mwlane.ForLength(mwconfig.LengthUnset), qt.Equals, mwlane.Short)
}
