package mwcall

import (
	"github.com/cespare/xxhash/v2"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// Priority orders calls for shedding: calls with a lower Priority are shed
// first. From the most significant bits down, it consists of the importance, a
// bit that is set for work of a root call that was already admitted, and a hash
// of the root's id. The hash is the same at every node, so that the calls of
// one request are admitted or shed together.
type Priority uint64

const (
	importanceShift = 33
	admittedBit     = Priority(1) << 32
)

// NewPriority returns the Priority of a call of root r; admitted means that the
// root call was already admitted.
func NewPriority(i mwunit.Importance, admitted bool, r mwid.RootID) Priority {
	p := Priority(i) << importanceShift
	if admitted {
		p |= admittedBit
	}
	return p | Priority(uint32(xxhash.Sum64String(string(r))))
}

// Spread returns the position of p among the calls of its importance, from 0
// for those shed last up to 1. All calls of one request have the same position.
func (p Priority) Spread() float64 {
	return 1 - float64(uint32(p))/(1<<32)
}

// Importance returns the importance contained in p.
func (p Priority) Importance() mwunit.Importance {
	return mwunit.Importance(p >> importanceShift)
}
