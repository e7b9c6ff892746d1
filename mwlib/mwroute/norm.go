package mwroute

import "time"

// norm is the usual latency of a service's targets in one region; all fields
// are 0 if it is not known yet.
type norm struct {
	typical time.Duration
	// tardy is the latency above which a target is passed over for the moment.
	tardy time.Duration
	// slow is the mean latency above which a target is ejected.
	slow time.Duration
}

// A target is tardy if its latency exceeds the typical one by tardySpreads
// times the spread and by the factor tardyFactor.
const (
	tardySpreads = 6
	tardyFactor  = 1.5
)

// slowFloor is the latency below which no target counts as slow.
const slowFloor = 2 * time.Millisecond

func (n norm) known() bool { return n.typical > 0 }
