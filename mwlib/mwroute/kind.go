package mwroute

import (
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
)

// kindKey is what the calls of one kind have in common.
type kindKey struct {
	service mwid.ServiceName
	route   mwid.Route
}

func kindOf(c *mwcall.Call) kindKey { return kindKey{c.Service, c.Class.Route} }

// kind has the moving averages of what is seen of the calls of one kind.
type kind struct {
	size float64 // size is that of answers, in bytes.
	// hold is the time that such a call holds a slot, as a part of that of all
	// calls of the target; 0 where it is not known.
	hold float64
}

// rememberedKinds is the number of kinds of calls that are remembered.
const rememberedKinds = 512

// kindWeight is the weight of one answer in what is known of its kind.
const kindWeight = 0.1

// learn returns k after an answer with h.
func (k kind) learn(h mwcall.Head) kind {
	if h.Size > 0 {
		k.size += kindWeight * (float64(h.Size) - k.size)
	}
	if r := h.Report; r.Hold > 0 && r.Route > 0 {
		k.hold += kindWeight * (float64(r.Route)/float64(r.Hold) - k.hold)
	}
	return k
}
