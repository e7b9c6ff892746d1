package mwlease_test

import (
	"context"
	"sync"
	"sync/atomic"
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

// forgetHolder acquires the lease and, after d, brings back the state of s before that.
func forgetHolder(c *qt.C, s *mwfakestore.Store, d time.Duration) (*mwlease.Lease, func()) {
	before := s.Copy()
	l, release := acquire(c, s)
	time.Sleep(d)
	s.Restore(before)
	return l, release
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
		a, releaseA := forgetHolder(c, s, 0)
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

// A waiter must not take a lease over because another holder's row has the revision that
// the waiter watched before the store came back from a copy.
func TestWaiterThatWatchedAnEarlierHolder(t *testing.T) {
	inStore(t, func(c *qt.C, s *mwfakestore.Store) {
		empty := s.Copy()
		p := &pausedTable{Table: s}
		_, releaseA := acquire(c, p)
		defer releaseA()
		p.blocked.Store(true)
		wait := acquireInBackground(c, s, 2*time.Minute)
		time.Sleep(11 * time.Second) // The waiter has one more look before it takes over.
		s.Restore(empty)
		l, release := acquire(c, s)
		defer release()
		time.Sleep(time.Minute)
		c.Check(l.Held(), qt.IsNil)
		c.Check(wait(), qt.Equals, mwcode.LeaseLost)
	})
}

// acquireInBackground waits for the lease for up to d. The returned function returns the
// result.
func acquireInBackground(c *qt.C, s mwstore.Table, d time.Duration) func() mwcode.Code {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	result := make(chan error, 1)
	go func() {
		_, release, err := mwlease.Acquire(ctx, s, key)
		if err == nil {
			c.Cleanup(release)
		}
		result <- err
	}()
	return func() mwcode.Code { defer cancel(); return mwcode.CodeOf(<-result) }
}

// A waiter that could not read the row while its holder renewed it must not take the lease
// over because the store came back from a copy with the row that the waiter had watched.
func TestWaiterThatSawNoRenewal(t *testing.T) {
	inStore(t, func(c *qt.C, s *mwfakestore.Store) {
		l, release := acquire(c, s)
		defer release()
		w := &link{Table: s}
		wait := acquireInBackground(c, w, 2*time.Minute)
		time.Sleep(time.Second)
		old := s.Copy()
		w.cut.Store(true)
		time.Sleep(12 * time.Second)
		s.Restore(old)
		w.cut.Store(false)
		time.Sleep(500 * time.Millisecond)
		c.Check(l.Held(), qt.IsNil)
		time.Sleep(time.Minute)
		c.Check(l.Held(), qt.IsNil)
		c.Check(wait(), qt.Equals, mwcode.LeaseLost)
	})
}

// link is a table whose reads fail while it is cut.
type link struct {
	mwstore.Table
	cut atomic.Bool
}

func (l *link) Get(ctx context.Context, k mwstore.Key) (mwstore.Row, error) {
	if l.cut.Load() {
		return mwstore.Row{}, mwcode.New(mwcode.StoreAway)
	}
	return l.Table.Get(ctx, k)
}

// Nobody must get a lease that the copy shows as free while its holder counts it as held.
func TestHolderThatTheCopyDoesNotKnow(t *testing.T) {
	inStore(t, func(c *qt.C, s *mwfakestore.Store) {
		a, releaseA := forgetHolder(c, s, time.Second)
		defer releaseA()
		_, releaseB := acquire(c, s)
		defer releaseB()
		c.Check(mwcode.CodeOf(a.Held()), qt.Equals, mwcode.LeaseLost)
	})
}

// Tokens increase with each holder, also if the store came back from a copy.
func TestTokenOfALaterHistory(t *testing.T) {
	inStore(t, func(c *qt.C, s *mwfakestore.Store) {
		a, releaseA := forgetHolder(c, s, 0)
		defer releaseA()
		time.Sleep(time.Minute)
		b, releaseB := acquire(c, s)
		defer releaseB()
		c.Check(b.Token() > a.Token(), qt.IsTrue, qt.Commentf("%d after %d", b.Token(), a.Token()))
	})
}

// A waiter must not take over a lease that another got, at the revision that the waiter
// read, because the store came back from a copy before the waiter's write.
func TestRestoreDuringATakeover(t *testing.T) {
	inStore(t, func(c *qt.C, s *mwfakestore.Store) {
		empty := s.Copy()
		_, releaseA := acquire(c, s)
		releaseA()
		var l *mwlease.Lease
		w := &hookedTable{Table: s, before: func() {
			s.Restore(empty)
			_, err := s.Commit(context.Background(), mwstore.Txn{})
			c.Assert(err, qt.IsNil)
			var release func()
			l, release = acquire(c, s)
			c.Cleanup(release)
		}}
		wait := acquireInBackground(c, w, time.Minute)
		c.Check(wait(), qt.Equals, mwcode.LeaseLost)
		c.Check(l.Held(), qt.IsNil)
	})
}

// hookedTable is a table that calls before once, before its first commit.
type hookedTable struct {
	mwstore.Table
	once   sync.Once
	before func()
}

func (h *hookedTable) Commit(ctx context.Context, t mwstore.Txn) (mwstore.Receipt, error) {
	h.once.Do(h.before)
	return h.Table.Commit(ctx, t)
}
