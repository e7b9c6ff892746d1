package mwfigure_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwbench/internal/mwfigure"
)

func TestBeyond(t *testing.T) {
	tests := []struct {
		name   string
		points []mwfigure.Point
		want   mwfigure.Value
	}{
		{name: "grows", points: []mwfigure.Point{{10, 1}, {20, 2}}, want: 10},
		{name: "falls", points: []mwfigure.Point{{10, 3}, {20, 2}}, want: 3},
		{name: "one size", points: []mwfigure.Point{{10, 3}}, want: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Assert(mwfigure.Extrapolate(100, test.points...), qt.Equals, test.want)
		})
	}
}

func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		points []mwfigure.Point
		want   mwfigure.Line
	}{
		{name: "nothing"},
		{name: "one size", points: []mwfigure.Point{{8, 1}, {8, 3}}, want: mwfigure.Line{Base: 2}},
		{name: "a line", points: []mwfigure.Point{{8, 17}, {16, 33}, {32, 65}}, want: mwfigure.Line{Base: 1, Slope: 2}},
		{name: "noise", points: []mwfigure.Point{{0, 1}, {0, 3}, {10, 11}, {10, 13}}, want: mwfigure.Line{Base: 2, Slope: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := mwfigure.Fit(test.points...)
			c.Assert(got, qt.Equals, test.want)
			c.Assert(got.At(100), qt.Equals, test.want.Base+100*test.want.Slope)
		})
	}
}
