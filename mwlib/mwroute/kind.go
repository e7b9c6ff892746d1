package mwroute

import (
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
)

// kindKey identifies the calls of one kind: those of one route of a service.
type kindKey struct {
	service mwid.ServiceName
	route   mwid.Route
}

func kindOf(c *mwcall.Call) kindKey { return kindKey{c.Service, c.Class.Route} }

// kind holds moving averages over the calls of one kind.
type kind struct {
	size float64 // size is the size of answers, in bytes.
	// hold is the time for which such a call holds a slot, relative to the mean
	// of all calls at the target; 0 if it is not known.
	hold float64
}

// maxKinds is the number of kinds of calls that are stored.
const maxKinds = 512

// kindWeight is the weight of one answer in the averages of its kind.
const kindWeight = 0.1

// update returns k updated with the answer h.
func (k kind) update(h mwcall.Head) kind {
	if h.Size > 0 {
		k.size += kindWeight * (float64(h.Size) - k.size)
	}
	if r := h.Report; r.Hold > 0 && r.Route > 0 {
		k.hold += kindWeight * (float64(r.Route)/float64(r.Hold) - k.hold)
	}
	return k
}
