package mwretry

import (
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwunit"
)

// perHopRetries is how often each hop tries again under PerHop.
const perHopRetries mwunit.Attempts = 2

// PerHop is the baseline: each hop makes up to three tries of its own, with
// no regard to the other hops.
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

// Hop returns the retries of each hop.
func (PerHop) Hop() mwunit.Attempts { return perHopRetries }

// Allow always allows.
func (PerHop) Allow(*mwcall.Call, mwcall.Head) bool { return true }

// Start gives no budget.
func (off) Start(*mwcall.Call) (mwunit.Attempts, error) { return 0, nil }

// Share gives nothing down.
func (off) Share(*mwcall.Call, mwunit.Attempts) mwunit.Attempts { return 0 }

// Allow never allows.
func (off) Allow(*mwcall.Call, mwcall.Head) bool { return false }

// Succeeded does nothing.
func (off) Succeeded(*mwcall.Call) {}

// HedgeAfter never hedges.
func (off) HedgeAfter(*mwcall.Call) (time.Duration, bool) { return 0, false }

// Observe does nothing.
func (off) Observe(*mwcall.Call, mwcall.Sample) {}

// Began does nothing.
func (off) Began(*mwcall.Call) {}
