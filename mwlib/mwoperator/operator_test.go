package mwoperator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoperator"
	"mustardwheel.example/mwlib/mwstore"
)

// policy returns a policy that sets importance n.
func policy(name mwconfig.DocumentName, n int) mwconfig.Document {
	return mwconfig.Document{
		Kind: mwconfig.KindPolicy, Name: name,
		Spec: json.RawMessage(fmt.Sprintf(`{"Importance":%d}`, n)),
	}
}

// newStore returns an empty store that is closed at the end of the test.
func newStore(t *testing.T) *mwfakestore.Store {
	s, stop := mwfakestore.New()
	t.Cleanup(stop)
	return s
}

func edit(name mwconfig.DocumentName, n int, expected mwid.Revision) []mwoperator.Edit {
	return []mwoperator.Edit{{Document: policy(name, n), Expected: expected}}
}

func TestApplyAndRead(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	o := mwoperator.New(newStore(t))
	r, err := o.Apply(ctx, "op-1", "eva", edit("p", 1, 0))
	c.Assert(err, qt.IsNil)
	c.Assert(r.Version, qt.Equals, mwid.Version(1))
	got, err := o.Get(ctx, mwconfig.KindPolicy, "p")
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, mwoperator.Stored{Document: policy("p", 1), Revision: r.Revision})
	r, err = o.Apply(ctx, "op-2", "eva", edit("p", 2, r.Revision))
	c.Assert(err, qt.IsNil)
	_, err = o.Delete(ctx, "op-3", "ole", mwconfig.KindPolicy, "p", r.Revision)
	c.Assert(err, qt.IsNil)
	list, err := o.List(ctx, "")
	c.Assert(err, qt.IsNil)
	c.Assert(list, qt.HasLen, 0)
	changes, err := o.History(ctx, 1, 10)
	c.Assert(err, qt.IsNil)
	c.Assert(changes, qt.HasLen, 2)
	c.Assert(changes[0].Operator, qt.Equals, mwid.OperatorName("eva"))
	c.Assert(changes[1].Items[0].Before.Name, qt.Equals, mwconfig.DocumentName("p"))
	v, err := o.Version(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(v, qt.Equals, mwid.Version(3))
}

func TestApplyRefuses(t *testing.T) {
	tests := []struct {
		name  string
		op    mwid.OperationID
		edits []mwoperator.Edit
		code  mwcode.Code
		want  string
	}{
		{"old revision", "op-2", edit("p", 2, 7), mwcode.Conflict, ".*Policy/p: expected revision 7, found 1"},
		{"document exists", "op-2", edit("p", 2, 0), mwcode.Conflict, ".*expected revision 0, found 1"},
		{"document does not exist", "op-2", edit("q", 2, 1), mwcode.Conflict, ".*expected revision 1, found 0"},
		{"operation id of another change", "op-1", edit("p", 2, 1), mwcode.Conflict, ".*Operation: expected an unused id.*"},
		{"value outside its bounds", "op-2", edit("q", 101, 0), mwcode.BadValue, ".*Importance.*"},
		{"no documents", "op-2", nil, mwcode.BadCommand, ".*at least one document"},
		{"deletion of a missing document", "op-2", []mwoperator.Edit{{Document: policy("q", 0), Delete: true}}, mwcode.NotFound, ".*Policy/q"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			o := mwoperator.New(newStore(t))
			_, err := o.Apply(t.Context(), "op-1", "eva", edit("p", 1, 0))
			c.Assert(err, qt.IsNil)
			_, err = o.Apply(t.Context(), test.op, "eva", test.edits)
			c.Assert(mwcode.CodeOf(err), qt.Equals, test.code)
			c.Assert(err, qt.ErrorMatches, test.want)
			v, err := o.Version(t.Context())
			c.Assert(err, qt.IsNil)
			c.Assert(v, qt.Equals, mwid.Version(1))
		})
	}
}

func TestLostAnswers(t *testing.T) {
	tests := []struct {
		name string
		lost []int // number of replies lost during each of the two changes
	}{
		{"lost once", []int{1, 0}},
		{"lost on the second change", []int{0, 1}},
		{"lost on both", []int{1, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newStore(t)
				o := mwoperator.New(s)
				s.LoseAnswers(mwfakestore.Commit, test.lost[0])
				first, err := o.Apply(t.Context(), "op-1", "eva", edit("p", 1, 0))
				c.Assert(err, qt.IsNil)
				s.LoseAnswers(mwfakestore.Commit, test.lost[1])
				second, err := o.Apply(t.Context(), "op-2", "eva", edit("p", 2, first.Revision))
				c.Assert(err, qt.IsNil)
				c.Assert(second.Version, qt.Equals, mwid.Version(2))
				again, err := o.Apply(t.Context(), "op-2", "eva", edit("p", 2, first.Revision))
				c.Assert(err, qt.IsNil)
				c.Assert(again, qt.Equals, second)
			})
		})
	}
}

// unavailableAfterCommit is a store that becomes unavailable after the first
// commit.
type unavailableAfterCommit struct {
	*mwfakestore.Store
}

// Commit commits t and makes the store unavailable.
func (s unavailableAfterCommit) Commit(ctx context.Context, t mwstore.Txn) (mwstore.Receipt, error) {
	r, err := s.Store.Commit(ctx, t)
	s.SetFaults(mwfakestore.Faults{Unavailable: true})
	return r, err
}

func TestUnknownIsNotDenied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStore(t)
		s.LoseAnswers(mwfakestore.Commit, 1)
		_, err := mwoperator.New(unavailableAfterCommit{s}).Apply(t.Context(), "op-1", "eva", edit("p", 1, 0))
		c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.StoreUnknown)
		s.SetFaults(mwfakestore.Faults{})
		r, err := mwoperator.New(s).Apply(t.Context(), "op-1", "eva", edit("p", 1, 0))
		c.Assert(err, qt.IsNil)
		c.Assert(r.Version, qt.Equals, mwid.Version(1))
	})
}

func TestRacingOperators(t *testing.T) {
	tests := []struct {
		name string
		doc  func(i int) mwconfig.DocumentName
		wins int
	}{
		{"one document", func(int) mwconfig.DocumentName { return "p" }, 1},
		{"a document each", func(i int) mwconfig.DocumentName {
			return mwconfig.DocumentName(fmt.Sprint("p", i))
		}, 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				o := mwoperator.New(newStore(t))
				errs := make([]error, 6)
				var g errgroup.Group
				for i := range errs {
					g.Go(func() error {
						op := mwid.OperationID(fmt.Sprint("op-", i))
						_, errs[i] = o.Apply(t.Context(), op, "eva", edit(test.doc(i), i, 0))
						return nil
					})
				}
				c.Assert(g.Wait(), qt.IsNil)
				wins := 0
				for _, err := range errs {
					if err == nil {
						wins++
						continue
					}
					ce, ok := mwoperator.AsConflict(err)
					c.Assert(ok, qt.IsTrue, qt.Commentf("%v", err))
					c.Assert(ce.Found, qt.Not(qt.Equals), ce.Expected)
					c.Assert(ce.Present, qt.IsNotNil)
				}
				c.Assert(wins, qt.Equals, test.wins)
				v, err := o.Version(t.Context())
				c.Assert(err, qt.IsNil)
				c.Assert(int(v), qt.Equals, test.wins)
			})
		})
	}
}

func TestSnapshotObject(t *testing.T) {
	c := qt.New(t)
	s := newStore(t)
	o := mwoperator.New(s, mwoperator.WithSnapshotEvery(2))
	for i, name := range []mwconfig.DocumentName{"a", "b", "c"} {
		_, err := o.Apply(t.Context(), mwid.NewOperationID(), "eva", edit(name, i, 0))
		c.Assert(err, qt.IsNil)
	}
	b, err := s.GetObject(t.Context(), mwconfig.SnapshotKey)
	c.Assert(err, qt.IsNil)
	var w mwconfig.Whole
	c.Assert(json.Unmarshal(b, &w), qt.IsNil)
	c.Assert(w.Version, qt.Equals, mwid.Version(2))
	c.Assert(w.Documents, qt.HasLen, 2)
}

func TestDiff(t *testing.T) {
	c := qt.New(t)
	a, b := policy("p", 1), policy("p", 2)
	var changed []string
	for _, l := range mwoperator.Diff(&a, &b) {
		if l.Op != mwoperator.Same {
			changed = append(changed, l.String())
		}
	}
	c.Assert(changed, qt.DeepEquals, []string{`-     "Importance": 1`, `+     "Importance": 2`})
	c.Assert(mwoperator.Diff(nil, &a)[0].Op, qt.Equals, mwoperator.Added)
}
