package mwoperator

import (
	"context"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
)

// LookUp returns the receipt of operation op; ok is false if no change has been
// made under op yet.
func (o *Operator) LookUp(ctx context.Context, op mwid.OperationID) (r Receipt, ok bool, err error) {
	v, rev, err := readRow[mwconfig.VersionRow](ctx, o.store, mwconfig.OperationKey(op))
	if err != nil || rev == 0 {
		return Receipt{}, false, err
	}
	return Receipt{Version: v.Version, Revision: rev}, true, nil
}
