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
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwmemstore"
	"mustardwheel.example/mwlib/mwoperator"
	"mustardwheel.example/mwlib/mwstore"
)

// policy returns a policy that gives importance n.
func policy(name mwconfig.DocumentName, n int) mwconfig.Document {
	return mwconfig.Document{
		Kind: mwconfig.KindPolicy, Name: name,
		Spec: json.RawMessage(fmt.Sprintf(`{"Importance":%d}`, n)),
	}
}

func edit(name mwconfig.DocumentName, n int, expected mwid.Revision) []mwoperator.Edit {
	return []mwoperator.Edit{{Document: policy(name, n), Expected: expected}}
}

func TestApplyAndRead(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	o := mwoperator.New(mwmemstore.New())
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
		{"already there", "op-2", edit("p", 2, 0), mwcode.Conflict, ".*expected revision 0, found 1"},
		{"not there", "op-2", edit("q", 2, 1), mwcode.Conflict, ".*expected revision 1, found 0"},
		{"operation id of another change", "op-1", edit("p", 2, 1), mwcode.Conflict, ".*Operation: expected an unused id.*"},
		{"value outside its bounds", "op-2", edit("q", 101, 0), mwcode.BadValue, ".*Importance.*"},
		{"no documents", "op-2", nil, mwcode.BadCommand, ".*at least one document"},
		{"removal of nothing", "op-2", []mwoperator.Edit{{Document: policy("q", 0), Delete: true}}, mwcode.NotFound, ".*Policy/q"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			o := mwoperator.New(mwmemstore.New())
			_, err := o.Apply(t.Context(), "op-1", "eva", edit("p", 1, 0))
			c.Assert(err, qt.IsNil)
			_, err = o.Apply(t.Context(), test.op, "eva", test.edits)
			c.Assert(mwcode.Of(err), qt.Equals, test.code)
			c.Assert(err, qt.ErrorMatches, test.want)
			v, err := o.Version(t.Context())
			c.Assert(err, qt.IsNil)
			c.Assert(v, qt.Equals, mwid.Version(1))
		})
	}
}

// commits returns a Fault that gives the first commits the outcomes of os.
func commits(os ...mwmemstore.Outcome) mwmemstore.Fault {
	n := 0
	return func(_ context.Context, op mwmemstore.Op, _ mwstore.Key) mwmemstore.Outcome {
		if op != mwmemstore.Commit || n >= len(os) {
			return mwmemstore.Done
		}
		n++
		return os[n-1]
	}
}

func TestLostAnswers(t *testing.T) {
	tests := []struct {
		name  string
		fault mwmemstore.Fault
	}{
		{"lost once", commits(mwmemstore.Lost)},
		{"lost on the second change", commits(mwmemstore.Done, mwmemstore.Lost)},
		{"lost on both", commits(mwmemstore.Lost, mwmemstore.Lost)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := mwmemstore.New(mwmemstore.WithFault(test.fault))
				o := mwoperator.New(s)
				first, err := o.Apply(t.Context(), "op-1", "eva", edit("p", 1, 0))
				c.Assert(err, qt.IsNil)
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

func TestUnknownIsNotDenied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lost := false
		s := mwmemstore.New(mwmemstore.WithFault(func(_ context.Context, op mwmemstore.Op, _ mwstore.Key) mwmemstore.Outcome {
			if lost {
				return mwmemstore.Away
			}
			if op == mwmemstore.Commit {
				lost = true
				return mwmemstore.Lost
			}
			return mwmemstore.Done
		}))
		o := mwoperator.New(s)
		_, err := o.Apply(t.Context(), "op-1", "eva", edit("p", 1, 0))
		c.Assert(mwcode.Of(err), qt.Equals, mwcode.StoreUnknown)
		s.SetFault(nil)
		r, err := o.Apply(t.Context(), "op-1", "eva", edit("p", 1, 0))
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
				o := mwoperator.New(mwmemstore.New())
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
	s := mwmemstore.New()
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
