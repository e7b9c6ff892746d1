package mwoperator

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"mustardwheel.example/mwlib/mwconfig"
)

// LineOp is the role of a line in a difference.
type LineOp byte

// Roles of a line: present in both documents, only in the first, or only in the
// second.
const (
	Same    LineOp = ' '
	Removed LineOp = '-'
	Added   LineOp = '+'
)

// Line is one line of a difference between documents.
type Line struct {
	Op   LineOp
	Text string
}

// String returns the text of the line, prefixed with its Op and a space.
func (l Line) String() string { return string(l.Op) + " " + l.Text }

// Diff compares the indented JSON of documents a and b line by line. It returns
// the lines of both, common lines once. A nil document has no lines.
func Diff(a, b *mwconfig.Document) []Line {
	x, y := lines(a), lines(b)
	lcs := lcsLengths(x, y)
	var out []Line
	i, j := 0, 0
	for i < len(x) || j < len(y) {
		switch {
		case i < len(x) && j < len(y) && x[i] == y[j]:
			out = append(out, Line{Same, x[i]})
			i++
			j++
		case j == len(y) || (i < len(x) && lcs[i+1][j] >= lcs[i][j+1]):
			out = append(out, Line{Removed, x[i]})
			i++
		default:
			out = append(out, Line{Added, y[j]})
			j++
		}
	}
	return out
}

// lines returns the lines of the indented JSON of d.
func lines(d *mwconfig.Document) []string {
	if d == nil {
		return nil
	}
	raw, err := json.Marshal(d)
	if err != nil {
		return strings.Split(string(d.Spec), "\n")
	}
	var b bytes.Buffer
	if err := json.Indent(&b, raw, "", "  "); err != nil {
		return []string{string(raw)}
	}
	return slices.Collect(strings.SplitSeq(b.String(), "\n"))
}

// lcsLengths returns, for each pair of suffixes of x and y, the length of
// their longest common subsequence.
func lcsLengths(x, y []string) [][]int {
	t := make([][]int, len(x)+1)
	for i := range t {
		t[i] = make([]int, len(y)+1)
	}
	for i := len(x) - 1; i >= 0; i-- {
		for j := len(y) - 1; j >= 0; j-- {
			if x[i] == y[j] {
				t[i][j] = t[i+1][j+1] + 1
				continue
			}
			t[i][j] = max(t[i+1][j], t[i][j+1])
		}
	}
	return t
}

// SpecsDiffer reports whether two documents of the same kind and name have
// different specs.
func SpecsDiffer(a, b *mwconfig.Document) bool { return !sameSpec(a.Spec, b.Spec) }
