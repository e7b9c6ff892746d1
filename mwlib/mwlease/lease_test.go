package mwlease_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwlease"
	"mustardwheel.example/mwlib/mwstore"
)

const key mwstore.Key = "Lease/sweeper"

// inStore runs f in virtual time with a fake store.
func inStore(t *testing.T, f func(*qt.C, *mwfakestore.Store)) {
	synctest.Test(t, func(t *testing.T) {
		s, stop := mwfakestore.New()
		defer stop()
		f(qt.New(t), s)
	})
}

func acquire(c *qt.C, s mwstore.Table) (*mwlease.Lease, func()) {
	l, release, err := mwlease.Acquire(context.Background(), s, key)
	c.Assert(err, qt.IsNil)
	return l, release
}

func TestOneHolderAfterTheOther(t *testing.T) {
	inStore(t, func(c *qt.C, s *mwfakestore.Store) {
		a, releaseA := acquire(c, s)
		got := make(chan *mwlease.Lease)
		go func() {
			b, releaseB := acquire(c, s)
			got <- b
			<-got
			releaseB()
		}()
		time.Sleep(time.Hour)
		c.Assert(a.Held(), qt.IsNil)
		releaseA()
		c.Assert(mwcode.CodeOf(a.Held()), qt.Equals, mwcode.LeaseLost)
		b := <-got
		c.Assert(b.Held(), qt.IsNil)
		c.Assert(b.Token() > a.Token(), qt.IsTrue)
		close(got)
	})
}

// pausedTable is a table that can block commits until their context is done,
// like those of a paused holder.
type pausedTable struct {
	mwstore.Table
	blocked atomic.Bool
}

func (p *pausedTable) Commit(ctx context.Context, t mwstore.Txn) (mwstore.Receipt, error) {
	if p.blocked.Load() {
		<-ctx.Done()
		return mwstore.Receipt{}, mwcode.New(mwcode.StoreAway)
	}
	return p.Table.Commit(ctx, t)
}

// A holder that was paused must detect the expiry of its lease before another
// process can acquire it, and its fenced writes must fail.
func TestLapseAfterAPause(t *testing.T) {
	inStore(t, func(c *qt.C, s *mwfakestore.Store) {
		p := &pausedTable{Table: s}
		a, releaseA := acquire(c, p)
		defer releaseA()
		time.Sleep(time.Minute)
		c.Assert(a.Held(), qt.IsNil)
		p.blocked.Store(true)
		b, releaseB := acquire(c, s)
		defer releaseB()
		c.Assert(mwcode.CodeOf(a.Held()), qt.Equals, mwcode.LeaseLost)
		<-a.Lost()
		w := []mwstore.Write{{Key: "work", Value: []byte("done")}}
		_, err := s.Commit(context.Background(), mwstore.Txn{Checks: []mwstore.Check{a.Fence()}, Writes: w})
		c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.Conflict)
		time.Sleep(time.Minute) // A renewal does not change the fence.
		_, err = s.Commit(context.Background(), mwstore.Txn{Checks: []mwstore.Check{b.Fence()}, Writes: w})
		c.Assert(err, qt.IsNil)
	})
}

func TestFaultsOfTheStore(t *testing.T) {
	tests := []struct {
		name   string
		faults mwfakestore.Faults
		d      time.Duration
		held   bool
	}{
		{"short outage", mwfakestore.Faults{Unavailable: true}, 4 * time.Second, true},
		{"long outage", mwfakestore.Faults{Unavailable: true}, 20 * time.Second, false},
		{"answers lost for long", mwfakestore.Faults{Lost: 1}, 20 * time.Second, false},
		{"one answer lost", mwfakestore.Faults{Lost: 1}, 4 * time.Second, true},
		{"stale reads", mwfakestore.Faults{Stale: 1}, time.Hour, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inStore(t, func(c *qt.C, s *mwfakestore.Store) {
				l, release := acquire(c, s)
				defer release()
				s.SetFaults(test.faults)
				time.Sleep(test.d)
				s.SetFaults(mwfakestore.Faults{})
				c.Assert(l.Held() == nil, qt.Equals, test.held)
				time.Sleep(time.Minute)
				c.Assert(l.Held() == nil, qt.Equals, test.held)
			})
		})
	}
}

func TestLostAnswerOfTheFirstWrite(t *testing.T) {
	inStore(t, func(c *qt.C, s *mwfakestore.Store) {
		s.LoseAnswers(mwfakestore.Commit, 1)
		l, release := acquire(c, s)
		defer release()
		_, err := s.Commit(context.Background(), mwstore.Txn{Checks: []mwstore.Check{l.Fence()}})
		c.Assert(err, qt.IsNil)
	})
}

// A stale read after a renewal without an answer must not cost the next renewal.
func TestStaleReadAfterADroppedRenewal(t *testing.T) {
	inStore(t, func(c *qt.C, s *mwfakestore.Store) {
		l, release := acquire(c, s)
		defer release()
		time.Sleep(4 * time.Second) // One renewal takes effect.
		s.SetFaults(mwfakestore.Faults{Dropped: 1, Stale: 1})
		time.Sleep(4 * time.Second) // One is dropped.
		s.SetFaults(mwfakestore.Faults{})
		time.Sleep(time.Minute)
		c.Assert(l.Held(), qt.IsNil)
	})
}
