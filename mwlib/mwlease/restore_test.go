package mwlease_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwlease"
	"mustardwheel.example/mwlib/mwstore"
)

// commitFenced commits a write with the fence of l.
func commitFenced(s mwstore.Table, l *mwlease.Lease) mwcode.Code {
	_, err := s.Commit(context.Background(), mwstore.Txn{
		Checks: []mwstore.Check{l.Fence()},
		Writes: []mwstore.Write{{Key: "work", Value: []byte("done")}},
	})
	return mwcode.CodeOf(err)
}

// A holder must not lose its lease because the store no longer has its last renewals.
func TestHolderWhoseRenewalsWereLost(t *testing.T) {
	inStore(t, func(c *qt.C, s *mwfakestore.Store) {
		l, release := acquire(c, s)
		defer release()
		old := s.Copy()
		time.Sleep(time.Minute)
		s.Restore(old)
		time.Sleep(time.Minute)
		c.Assert(l.Held(), qt.IsNil)
		c.Assert(commitFenced(s, l), qt.Equals, mwcode.OK)
	})
}

// A holder whose lease was lost with the store's writes must not write over that of a
// later holder, which got the same revisions.
func TestHolderWhoseRevisionsWereGivenOutAgain(t *testing.T) {
	inStore(t, func(c *qt.C, s *mwfakestore.Store) {
		empty := s.Copy()
		a, releaseA := acquire(c, s)
		s.Restore(empty)
		b, releaseB := acquire(c, s)
		defer releaseB()
		c.Check(commitFenced(s, a), qt.Equals, mwcode.Conflict)
		time.Sleep(4 * time.Second) // Each holder renews its lease once.
		c.Check(mwcode.CodeOf(a.Held()), qt.Equals, mwcode.LeaseLost)
		c.Check(b.Held(), qt.IsNil)
		releaseA()
		time.Sleep(time.Minute)
		c.Check(b.Held(), qt.IsNil)
		c.Check(commitFenced(s, b), qt.Equals, mwcode.OK)
	})
}
