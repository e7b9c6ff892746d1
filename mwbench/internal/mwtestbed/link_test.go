package mwtestbed_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwbench/internal/mwtestbed"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwstore"
)

func TestLink(t *testing.T) {
	c := qt.New(t)
	store, stop := mwfakestore.New()
	defer stop()
	l := mwtestbed.NewLink(store)
	put := mwstore.Txn{Writes: []mwstore.Write{{Key: "k", Value: []byte("v")}}}
	ctx := t.Context()

	l.SetPartitioned(true)
	_, err := l.Commit(ctx, put)
	c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.StoreAway)
	c.Assert(mwcode.CodeOf(l.PutObject(ctx, "o", nil)), qt.Equals, mwcode.StoreAway)
	_, err = store.Get(ctx, "k")
	c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.NotFound)

	l.SetPartitioned(false)
	_, err = l.Commit(ctx, put)
	c.Assert(err, qt.IsNil)
	r, err := l.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(string(r.Value), qt.Equals, "v")

	l.SetPartitioned(true)
	_, err = l.Get(ctx, "k")
	c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.StoreAway)
}
