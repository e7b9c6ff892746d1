package mwturn_test

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwturn"
)

// TestSharesOfNodes replays a split of calls that come to 24 nodes at random:
// in each span of 300 calls, each part has its share within a tenth.
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
			var ts [nodes]*mwturn.Turns[string]
			for i := range ts {
				ts[i] = mwturn.New[string]()
			}
			in, worst := make([]int, calls+1), 0.0 // in[i] are the calls to the part before call i.
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
			c.Logf("off by %.3f at the most", worst)
			c.Check(worst <= allowed, qt.IsTrue, qt.Commentf("off by %.3f", worst))
		})
	}
}
