package mwfigure

// Point is a Value measured at a size.
type Point struct {
	Size  Value
	Value Value
}

// Line is a straight line through points.
type Line struct {
	Base  Value // Base is the Value at size 0.
	Slope Value // Slope is the growth of the Value with each unit of size.
}

// Fit returns the Line with the least squares of the distances to ps. It is
// level where all points have one size.
func Fit(ps ...Point) Line {
	var n, x, y Value
	for _, p := range ps {
		n++
		x += p.Size
		y += p.Value
	}
	if n == 0 {
		return Line{}
	}
	x, y = x/n, y/n
	var xx, xy Value
	for _, p := range ps {
		xx += (p.Size - x) * (p.Size - x)
		xy += (p.Size - x) * (p.Value - y)
	}
	if xx == 0 {
		return Line{Base: y}
	}
	return Line{Base: y - xy/xx*x, Slope: xy / xx}
}

// At returns the Value of l at size n.
func (l Line) At(n Value) Value { return l.Base + l.Slope*n }

// Extrapolate returns what ps let expect at size n, which is beyond them all: the
// greatest value, and the growth from its size on where the Value grows with
// the size. A cost that falls with the size is not taken to fall on.
func Extrapolate(n Value, ps ...Point) Value {
	var top Point
	for _, p := range ps {
		if p.Value > top.Value {
			top = p
		}
	}
	return top.Value + max(0, Fit(ps...).Slope)*(n-top.Size)
}
