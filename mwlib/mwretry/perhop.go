package mwretry

import (
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwunit"
)

// perHopRetries is the number of retries of each hop.
const perHopRetries mwunit.Attempts = 2

// PerHop is a baseline: each hop makes up to three attempts, independently of
// the other hops.
type PerHop struct{ off }

// off neither retries nor hedges.
type off struct{}

func init() {
	mwkernel.RetryPolicies.Register("perhop", newPerHop)
	mwkernel.RetryPolicies.Register("off", newOff)
}

func newPerHop(mwkernel.Env) (mwkernel.RetryPolicy, mwregistry.Cleanup, error) {
	return PerHop{}, nil, nil
}

func newOff(mwkernel.Env) (mwkernel.RetryPolicy, mwregistry.Cleanup, error) {
	return off{}, nil, nil
}

// RetriesPerHop returns the number of retries of each hop.
func (PerHop) RetriesPerHop() mwunit.Attempts { return perHopRetries }

// Allow returns true.
func (PerHop) Allow(*mwcall.Call, mwcall.Head) bool { return true }

// RootBudget returns no budget.
func (off) RootBudget(*mwcall.Call) (mwunit.Attempts, error) { return 0, nil }

// Share returns 0.
func (off) Share(*mwcall.Call, mwunit.Attempts) mwunit.Attempts { return 0 }

// Allow returns false.
func (off) Allow(*mwcall.Call, mwcall.Head) bool { return false }

// Succeeded does nothing.
func (off) Succeeded(*mwcall.Call) {}

// HedgeAfter returns false: nothing is hedged.
func (off) HedgeAfter(*mwcall.Call) (time.Duration, bool) { return 0, false }

// Observe does nothing.
func (off) Observe(*mwcall.Call, mwcall.Sample) {}

// FirstAttempt does nothing.
func (off) FirstAttempt(*mwcall.Call) {}
