package mwfakestore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwstore"
)

// txn returns a transaction that writes value over revision r of k.
func txn(k mwstore.Key, r mwid.Revision, value string) mwstore.Txn {
	return mwstore.Txn{
		Checks: []mwstore.Check{{Key: k, Revision: r}},
		Writes: []mwstore.Write{{Key: k, Value: []byte(value)}},
	}
}

func TestCommit(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s, stop := mwfakestore.New()
	defer stop()
	r, err := s.Commit(ctx, txn("a", 0, "1"))
	c.Assert(err, qt.IsNil)
	_, err = s.Commit(ctx, txn("a", 0, "2"))
	c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.Conflict)
	row, err := s.Get(ctx, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(row, qt.DeepEquals, mwstore.Row{Key: "a", Value: []byte("1"), Revision: r.Revision})
	_, err = s.Commit(ctx, mwstore.Txn{Writes: []mwstore.Write{{Key: "a", Delete: true}}})
	c.Assert(err, qt.IsNil)
	_, err = s.Get(ctx, "a")
	c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.NotFound)
	again, err := s.Commit(ctx, txn("a", 0, "3"))
	c.Assert(err, qt.IsNil)
	c.Assert(again.Revision > r.Revision, qt.IsTrue)
}

func TestScan(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s, stop := mwfakestore.New()
	defer stop()
	for _, k := range []mwstore.Key{"b/2", "a/1", "b/1", "c/1", "b/3"} {
		_, err := s.Commit(ctx, txn(k, 0, "v"))
		c.Assert(err, qt.IsNil)
	}
	tests := []struct {
		name  string
		after mwstore.Key
		limit int
		want  []mwstore.Key
	}{
		{"whole prefix", "", 9, []mwstore.Key{"b/1", "b/2", "b/3"}},
		{"after a key", "b/1", 9, []mwstore.Key{"b/2", "b/3"}},
		{"limited", "", 1, []mwstore.Key{"b/1"}},
		{"after the last", "b/3", 9, nil},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			rows, err := s.Scan(ctx, "b/", test.after, test.limit)
			c.Assert(err, qt.IsNil)
			var keys []mwstore.Key
			for _, r := range rows {
				keys = append(keys, r.Key)
			}
			c.Assert(keys, qt.DeepEquals, test.want)
		})
	}
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  mwfakestore.Faults
		want    mwcode.Code
		written bool
	}{
		{"unavailable", mwfakestore.Faults{Unavailable: true}, mwcode.StoreAway, false},
		{"rate exceeded", mwfakestore.Faults{RateExceeded: true}, mwcode.StoreSlow, false},
		{"answer lost", mwfakestore.Faults{Lost: 1}, mwcode.StoreUnknown, true},
		{"request lost", mwfakestore.Faults{Dropped: 1}, mwcode.StoreUnknown, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, stop := mwfakestore.New(mwfakestore.WithFaults(test.faults))
			defer stop()
			_, err := s.Commit(context.Background(), txn("a", 0, "1"))
			c.Assert(mwcode.CodeOf(err), qt.Equals, test.want)
			err = s.PutObject(context.Background(), "a", []byte("1"))
			c.Assert(mwcode.CodeOf(err), qt.Equals, test.want)
			s.SetFaults(mwfakestore.Faults{})
			_, err = s.Get(context.Background(), "a")
			c.Assert(err == nil, qt.Equals, test.written)
			_, err = s.GetObject(context.Background(), "a")
			c.Assert(err == nil, qt.Equals, test.written)
		})
	}
}

func TestLateWriteAndStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, stop := mwfakestore.New(mwfakestore.WithFaults(mwfakestore.Faults{Delay: time.Second, Late: 1}))
		defer stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, err := s.Commit(ctx, txn("a", 0, "1"))
		c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.StoreUnknown)
		s.SetFaults(mwfakestore.Faults{})
		_, err = s.Get(context.Background(), "a")
		c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.NotFound)
		time.Sleep(2 * time.Second)
		_, err = s.Get(context.Background(), "a")
		c.Assert(err, qt.IsNil)
		s.SetFaults(mwfakestore.Faults{Stale: 1})
		_, err = s.Get(context.Background(), "a")
		c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.NotFound)
	})
}

// A copy can be restored more than once, whatever is written in between.
func TestRestore(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s, stop := mwfakestore.New()
	defer stop()
	first, err := s.Commit(ctx, txn("a", 0, "1"))
	c.Assert(err, qt.IsNil)
	c.Assert(s.PutObject(ctx, "o", []byte("1")), qt.IsNil)
	old := s.Copy()
	for range 2 {
		_, err = s.Commit(ctx, txn("a", first.Revision, "2"))
		c.Assert(err, qt.IsNil)
		lost, err := s.Commit(ctx, txn("b", 0, "lost"))
		c.Assert(err, qt.IsNil)
		c.Assert(s.PutObject(ctx, "o", []byte("2")), qt.IsNil)
		s.Restore(old)
		rows, err := s.Scan(ctx, "", "", 9)
		c.Assert(err, qt.IsNil)
		c.Assert(rows, qt.DeepEquals, []mwstore.Row{{Key: "a", Value: []byte("1"), Revision: first.Revision}})
		o, err := s.GetObject(ctx, "o")
		c.Assert(err, qt.IsNil)
		c.Assert(string(o), qt.Equals, "1")
		again, err := s.Commit(ctx, txn("c", 0, "other"))
		c.Assert(err, qt.IsNil)
		c.Assert(again.Revision < lost.Revision, qt.IsTrue)
	}
}

func TestRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, stop := mwfakestore.New(mwfakestore.WithWrites(300), mwfakestore.WithReads(2000))
		defer stop()
		for range 1000 {
			_, _ = s.Commit(context.Background(), mwstore.Txn{})
			_, _ = s.Get(context.Background(), "a")
			time.Sleep(time.Millisecond)
		}
		u := s.Usage()
		c.Assert(u.Transactions > 300 && u.Transactions <= 330, qt.IsTrue, qt.Commentf("%+v", u))
		c.Assert(u.Reads, qt.Equals, 1000)
	})
}
