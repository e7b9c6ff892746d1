package mwoperator_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwoperator"
)

// newForgetfulOperator returns an Operator and a function that brings its store back from
// an empty copy.
func newForgetfulOperator(t *testing.T) (o *mwoperator.Operator, forget func()) {
	s := newStore(t)
	empty := s.Copy()
	return mwoperator.New(s), func() { s.Restore(empty) }
}

// An operator must not replace a document that they did not see because the store came
// back from a copy and gave the expected revision to it.
func TestExpectedRevisionThatWasGivenOutAgain(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	o, forget := newForgetfulOperator(t)
	_, err := o.Apply(ctx, "op-1", "eva", edit("p", 1, 0))
	c.Assert(err, qt.IsNil)
	seen, err := o.Get(ctx, mwconfig.KindPolicy, "p")
	c.Assert(err, qt.IsNil)
	forget()
	_, err = o.Apply(ctx, "op-2", "ole", edit("p", 2, 0))
	c.Assert(err, qt.IsNil)
	_, err = o.Apply(ctx, "op-3", "eva", edit("p", 3, seen.Revision))
	c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.Conflict)
}

// A repeated operation is made again if the store lost it, and only then.
func TestOperationThatTheCopyDoesNotKnow(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	o, forget := newForgetfulOperator(t)
	want, err := o.Apply(ctx, "op-1", "eva", edit("p", 1, 0))
	c.Assert(err, qt.IsNil)
	forget()
	for range 2 {
		got, err := o.Apply(ctx, "op-1", "eva", edit("p", 1, 0))
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, want)
	}
}
