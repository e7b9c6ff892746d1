package mwturn_test

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwturn"
)

// TestSharesOfNodes splits calls that arrive at 24 nodes at random. In each
// span of 300 successive calls, the share of a part must be within 0.1 of its
// weight.
func TestSharesOfNodes(t *testing.T) {
	const (
		nodes   = 24
		calls   = 50_000
		span    = 300
		allowed = 0.1
	)
	tests := []struct {
		name   string
		weight float64
	}{{"half", 0.5}, {"nine tenths", 0.9}, {"a third", 1.0 / 3}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			rnd := rand.New(rand.NewPCG(1, 0))
			var ts [nodes]*mwturn.Sequence[string]
			for i := range ts {
				ts[i] = mwturn.New[string]()
			}
			in, worst := make([]int, calls+1), 0.0 // in[i] is the number of calls before call i that went to the part.
			for i := range calls {
				in[i+1] = in[i]
				if ts[rnd.IntN(nodes)].Next("route") < test.weight {
					in[i+1]++
				}
				if from := i + 1 - span; from >= 0 {
					share := float64(in[i+1]-in[from]) / span
					worst = max(worst, math.Abs(share-test.weight))
				}
			}
			c.Logf("maximum deviation %.3f", worst)
			c.Check(worst <= allowed, qt.IsTrue, qt.Commentf("maximum deviation %.3f", worst))
		})
	}
}
