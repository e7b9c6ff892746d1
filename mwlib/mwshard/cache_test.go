package mwshard_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwshard"
)

func TestCacheKeepsWhatIsUsed(t *testing.T) {
	c := qt.New(t)
	const kept, others = -1, 100_000
	m := mwshard.NewCache[int, int](1024)
	m.Update(kept, func(v int) int { return v + 7 })
	for i := range others {
		m.Update(i, func(int) int { return i })
		v, ok := m.Get(kept)
		c.Assert(ok, qt.IsTrue)
		c.Assert(v, qt.Equals, 7)
	}
	found := 0
	for i := range others {
		if _, ok := m.Get(i); ok {
			found++
		}
	}
	c.Assert(found <= 1024, qt.IsTrue, qt.Commentf("%d of the other keys found", found))
}
