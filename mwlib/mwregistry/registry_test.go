package mwregistry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwregistry"
)

func newInt(env int) (int, mwregistry.Cleanup, error) { return env + 1, func() {}, nil }

func TestMake(t *testing.T) {
	c := qt.New(t)
	r := mwregistry.New[int, int]("number")
	r.Register("one", newInt)
	v, _, err := r.Make("one", 41)
	c.Assert(err, qt.IsNil)
	c.Assert(v, qt.Equals, 42)
	_, _, err = r.Make("two", 0)
	c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.UnknownPlugin)
	c.Assert(err, qt.ErrorMatches, `UnknownPlugin \(3001\): number: expected one of \["one"\], not "two"`)
}

func TestRegisterTwicePanics(t *testing.T) {
	c := qt.New(t)
	r := mwregistry.New[int, int]("number")
	r.Register("one", newInt)
	c.Assert(func() { r.Register("one", newInt) }, qt.PanicMatches, `.*registered twice`)
}
