// Package mwadmit has the admissions: they decide at a target's node which
// calls start at its backend server, and when.
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
	// AdaptiveName picks the admission by adaptive limit, priority and lane.
	AdaptiveName mwregistry.Name = "adaptive"
	// FixedName picks the admission by announced slots, first come first
	// served.
	FixedName mwregistry.Name = "fixed"
	// NoneName picks the admission that admits all.
	NoneName mwregistry.Name = "none"
)

// Names of the limiters of AdaptiveName.
const (
	// GradientName picks mwlimit.Gradient.
	GradientName mwregistry.Name = "gradient"
	// AIMDName picks mwlimit.AIMD.
	AIMDName mwregistry.Name = "aimd"
	// SlotsName picks mwlimit.Slots.
	SlotsName mwregistry.Name = "slots"
)

// Limiters are the limiters that AdaptiveName can use: each makes an Adaptive
// whose gates have a mwlimit.Limiter of one policy.
var Limiters = mwregistry.New[mwkernel.Env, mwkernel.Admission]("limiter")

func init() {
	Limiters.Register(GradientName, adaptiveBy(func(*config) mwlimit.Gradient { return mwlimit.NewGradient() }))
	Limiters.Register(AIMDName, adaptiveBy(func(*config) mwlimit.AIMD { return mwlimit.NewAIMD() }))
	Limiters.Register(SlotsName, adaptiveBy(func(cfg *config) mwlimit.Slots { return mwlimit.NewSlots(cfg.slotShare) }))
	mwkernel.Admissions.Register(AdaptiveName, makeAdaptive)
	mwkernel.Admissions.Register(FixedName, makeFixed)
	mwkernel.Admissions.Register(NoneName, makeNone)
}

// adaptiveBy returns a factory of an Adaptive whose policies newPolicy makes.
func adaptiveBy[P mwlimit.Policy](newPolicy func(*config) P) mwkernel.Factory[mwkernel.Admission] {
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

// config is what the settings say.
type config struct {
	queue       mwunit.Slots
	wait        time.Duration
	slotShare   mwunit.Ratio // slotShare is for the limiter slots.
	mediumShare mwunit.Ratio
	longShare   mwunit.Ratio
}

// Values for settings that are not set.
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
