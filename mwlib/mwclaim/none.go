package mwclaim

import (
	"context"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
)

// NoneName is the name of the ledger that keeps no claims.
const NoneName mwregistry.Name = "none"

func init() {
	mwkernel.Ledgers.Register(NoneName, func(mwkernel.Env) (mwkernel.Ledger, mwregistry.Cleanup, error) {
		return None{}, nil, nil
	})
}

// None is a ledger for platforms whose callers send no keys. A call that must not
// be repeated is then sent once, and again only if it provably did not run, so it
// runs at most once. None refuses calls with a key.
type None struct{}

// Claim refuses c with mwcode.ClaimsAway.
func (None) Claim(context.Context, *mwcall.Call) (mwkernel.Claim, error) {
	return nil, mwcode.New(mwcode.ClaimsAway)
}
