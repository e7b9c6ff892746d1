// Package mwadmit implements admission control at a target's node. A
// mwkernel.Admission decides which calls start at the backend server, and when.
// Calls that cannot start yet are queued. Calls that a full queue sheds, or that
// are not expected to finish by their deadline, are refused without being run.
//
// The package registers three admissions with mwkernel.Admissions. Adaptive has
// a concurrency limit that a policy adapts, and queues calls by priority and
// lane. Fixed uses the announced slots as its limit and a first-in, first-out
// queue. None admits every call.
package mwadmit

import (
	"cmp"
	"time"

	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwlimit"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

// Names of the plug-ins.
const (
	// AdaptiveName selects Adaptive.
	AdaptiveName mwregistry.Name = "adaptive"
	// FixedName selects Fixed.
	FixedName mwregistry.Name = "fixed"
	// NoneName selects None.
	NoneName mwregistry.Name = "none"
)

// Names of the limiters of Adaptive.
const (
	// GradientName selects mwlimit.Gradient.
	GradientName mwregistry.Name = "gradient"
	// AIMDName selects mwlimit.AIMD.
	AIMDName mwregistry.Name = "aimd"
	// SlotsName selects mwlimit.Slots.
	SlotsName mwregistry.Name = "slots"
)

// Limiters holds the limiters that Adaptive can use. Each factory makes an
// Adaptive whose gates use a mwlimit.Limiter with the policy of that name.
var Limiters = mwregistry.New[mwkernel.Env, mwkernel.Admission]("limiter")

func init() {
	Limiters.Register(GradientName, adaptiveFactory(func(*config) mwlimit.Gradient { return mwlimit.NewGradient() }))
	Limiters.Register(AIMDName, adaptiveFactory(func(*config) mwlimit.AIMD { return mwlimit.NewAIMD() }))
	Limiters.Register(SlotsName, adaptiveFactory(func(cfg *config) mwlimit.Slots { return mwlimit.NewSlots(cfg.slotShare) }))
	mwkernel.Admissions.Register(AdaptiveName, makeAdaptive)
	mwkernel.Admissions.Register(FixedName, makeFixed)
	mwkernel.Admissions.Register(NoneName, makeNone)
}

// adaptiveFactory returns a factory for an Adaptive that gets the policy of
// each gate from newPolicy.
func adaptiveFactory[P mwlimit.Policy](newPolicy func(*config) P) mwkernel.Factory[mwkernel.Admission] {
	return func(env mwkernel.Env) (mwkernel.Admission, mwregistry.Cleanup, error) {
		st := &stats{set: env.Metrics}
		cfg := newConfig(env.Settings.Admit)
		return newAdaptive(cfg, st, func() P { return newPolicy(cfg) }), func() {}, nil
	}
}

func makeAdaptive(env mwkernel.Env) (mwkernel.Admission, mwregistry.Cleanup, error) {
	return Limiters.Make(cmp.Or(env.Settings.Admit.Limiter, GradientName), env)
}

func makeFixed(env mwkernel.Env) (mwkernel.Admission, mwregistry.Cleanup, error) {
	return newFixed(newConfig(env.Settings.Admit)), func() {}, nil
}

func makeNone(mwkernel.Env) (mwkernel.Admission, mwregistry.Cleanup, error) {
	return None{}, func() {}, nil
}

// config holds the settings of an admission, with defaults for those not set.
type config struct {
	queue       mwunit.Slots  // queue is the maximum capacity of a queue.
	wait        time.Duration // wait is the maximum expected wait in a queue.
	slotShare   mwunit.Ratio  // slotShare is the part of the announced slots that mwlimit.Slots uses.
	mediumShare mwunit.Ratio
	longShare   mwunit.Ratio
}

// Defaults of settings that are not set.
const (
	defaultWait                     = 50 * time.Millisecond
	defaultQueue       mwunit.Slots = 256
	defaultSlotShare   mwunit.Ratio = 0.95
	defaultMediumShare mwunit.Ratio = 0.7
	defaultLongShare   mwunit.Ratio = 0.4
)

func newConfig(s mwsetting.Admit) *config {
	return &config{
		wait:        cmp.Or(s.Wait, defaultWait),
		queue:       cmp.Or(s.Queue, defaultQueue),
		mediumShare: cmp.Or(s.MediumShare, defaultMediumShare),
		longShare:   cmp.Or(s.LongShare, defaultLongShare),
		slotShare:   cmp.Or(s.SlotShare, defaultSlotShare),
	}
}
