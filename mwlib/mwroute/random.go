package mwroute

import (
	"math/rand/v2"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwset"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwunit"
)

// Random is the baseline: of two random targets, it picks the one with fewer
// calls in flight from this node. It ignores zones, latencies and refusals.
type Random struct {
	inFlight *mwshard.Map[targetKey, mwunit.Slots]
}

func init() {
	mwkernel.Routers.Register("random", newRandom)
}

func newRandom(mwkernel.Env) (mwkernel.Router, mwregistry.Cleanup, error) {
	return &Random{inFlight: mwshard.New[targetKey, mwunit.Slots](mwshard.DefaultShards)}, nil, nil
}

// Pick returns the target for a call.
func (r *Random) Pick(_ *mwcall.Call, ts []mwcall.Target, tried mwset.Set[mwid.NodeID]) (mwcall.Target, error) {
	free := make([]mwcall.Target, 0, len(ts))
	for _, t := range ts {
		if t.State != mwcall.Leaving && !tried.Has(t.Node) {
			free = append(free, t)
		}
	}
	if len(free) == 0 {
		return mwcall.Target{}, mwcode.New(mwcode.NoTarget)
	}
	a, b := free[rand.IntN(len(free))], free[rand.IntN(len(free))]
	na, _ := r.inFlight.Get(keyOf(a))
	nb, _ := r.inFlight.Get(keyOf(b))
	if nb < na {
		return b, nil
	}
	return a, nil
}

// Begin counts a call in flight at t.
func (r *Random) Begin(_ *mwcall.Call, t mwcall.Target) func(mwcall.Head, mwcall.Sample) {
	k := keyOf(t)
	r.add(k, 1)
	return func(mwcall.Head, mwcall.Sample) { r.add(k, -1) }
}

// add adds d to the count of k and deletes the entry if it becomes 0.
func (r *Random) add(k targetKey, d mwunit.Slots) {
	r.inFlight.Update(k, func(n mwunit.Slots, _ bool) (mwunit.Slots, bool) {
		n += d
		return n, n > 0
	})
}
