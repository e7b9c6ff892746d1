package mwroute

import "time"

// norm is what is ordinary for the latency of one service at one distance;
// all is 0 where that is not known yet.
type norm struct {
	typical time.Duration
	// tardy is the latency from which on a target is passed over now.
	tardy time.Duration
	// slow is the mean latency from which on a target is ejected.
	slow time.Duration
}

// A target is tardy some spreads above what is typical, at least by a factor.
const (
	tardySpreads = 6
	tardyFactor  = 1.5
)

// slowFloor is the latency below which nothing is slow.
const slowFloor = 2 * time.Millisecond

func (n norm) known() bool { return n.typical > 0 }
