package mwfigure

// Point is a Value measured at a size.
type Point struct {
	Size  Value
	Value Value
}

// Line is a straight line, Value as a function of size.
type Line struct {
	Base  Value // at size 0
	Slope Value // per unit of size
}

// Fit returns the least-squares Line through ps. It is level if all points have
// the same size.
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

// Extrapolate returns the Value expected at size n, which must be above all
// sizes of ps: the greatest Value, plus the fitted growth from its size to n. A
// negative slope counts as 0, since a cost that falls over the measured sizes
// need not keep falling.
func Extrapolate(n Value, ps ...Point) Value {
	var top Point
	for _, p := range ps {
		if p.Value > top.Value {
			top = p
		}
	}
	return top.Value + max(0, Fit(ps...).Slope)*(n-top.Size)
}
