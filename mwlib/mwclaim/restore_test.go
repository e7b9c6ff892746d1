package mwclaim_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
)

// A claimant whose row was lost with the store's writes must not write NotRun over the
// row of a running claimant that got the same revision.
func TestNotRunOverARevisionThatWasGivenOutAgain(t *testing.T) {
	withLedgerPair(t, func(w ledgerPair) {
		empty := w.store.Copy()
		lost, err := w.a.Claim(callerContext(w), newCall("k", true))
		w.Assert(err, qt.IsNil)
		w.store.Restore(empty)
		running, err := w.b.Claim(callerContext(w), newCall("k", false))
		w.Assert(err, qt.IsNil)
		w.Assert(running.Begin(), qt.IsNil)
		w.Check(mwcode.CodeOf(lost.RecordNotRun(callerContext(w))), qt.Equals, mwcode.Conflict)
		w.Check(w.code(w.a, newCall("k", false)), qt.Equals, mwcode.Held)
	})
}

// A key whose claimant ran must not be granted again because the store lost its row.
func TestClaimThatTheCopyDoesNotKnow(t *testing.T) {
	withLedgerPair(t, func(w ledgerPair) {
		empty := w.store.Copy()
		cl, err := w.a.Claim(callerContext(w), newCall("k", true))
		w.Assert(err, qt.IsNil)
		w.Assert(cl.Begin(), qt.IsNil)
		w.store.Restore(empty)
		w.Check(w.code(w.b, newCall("k", false)), qt.Not(qt.Equals), mwcode.OK)
	})
}
