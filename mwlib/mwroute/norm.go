package mwroute

import "time"

// norm is the usual latency of a service's targets in one region; all fields
// are 0 if it is not known yet.
type norm struct {
	typical time.Duration
	// passOver is the latency above which a pick prefers other targets.
	passOver time.Duration
	// eject is the mean latency above which a target is ejected.
	eject time.Duration
}

// A target is passed over if its latency exceeds the typical one by
// passOverSpreads times the spread and by the factor passOverFactor, or if it
// exceeds norm.eject.
const (
	passOverSpreads = 6
	passOverFactor  = 1.5
)

// minSlowLatency is the latency below which no target counts as slow.
const minSlowLatency = 2 * time.Millisecond

func (n norm) known() bool { return n.typical > 0 }
