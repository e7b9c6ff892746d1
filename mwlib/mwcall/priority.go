package mwcall

import (
	"github.com/cespare/xxhash/v2"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// Priority orders calls for shedding: the greater stays longer. It has, from
// the top, the importance, a bit for work that an admitted root has begun,
// and a hash of the root's id. The hash is the same at every node, so that
// the calls of one request are kept or shed together.
type Priority uint64

const (
	importanceShift = 33
	begunBit        = Priority(1) << 32
)

// NewPriority returns the Priority of a call of root r. Begun tells that the
// root was admitted before.
func NewPriority(i mwunit.Importance, begun bool, r mwid.RootID) Priority {
	p := Priority(i) << importanceShift
	if begun {
		p |= begunBit
	}
	return p | Priority(uint32(xxhash.Sum64String(string(r))))
}

// Spread returns where p stands among the calls of its importance, from 0 for
// those that are kept longest up to 1. All calls of one request have the same.
func (p Priority) Spread() float64 {
	return 1 - float64(uint32(p))/(1<<32)
}

// Importance returns the importance that p was made from.
func (p Priority) Importance() mwunit.Importance {
	return mwunit.Importance(p >> importanceShift)
}
