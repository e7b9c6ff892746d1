package mwmemory_test

import (
	"math/rand/v2"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwmemory"
	"mustardwheel.example/mwlib/mwunit"
)

const kB mwunit.Bytes = 1 << 10

// fixture is a budget of 100 kB.
type fixture struct {
	b       *mwmemory.Budget
	evicted []string
}

func newFixture() *fixture { return &fixture{b: mwmemory.NewBudget(100 * kB)} }

// open opens an account that holds n bytes beyond its allowance.
func (f *fixture) open(c *qt.C, name string, n mwunit.Bytes) *mwmemory.Account {
	a := f.b.Open(func() { f.evicted = append(f.evicted, name) })
	c.Assert(a.Charge(mwmemory.Allowance+n), qt.IsNil)
	return a
}

func TestAllowanceIsNotShared(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	for range 1000 {
		f.open(c, "ordinary", 0)
	}
	c.Check(f.b.Stats(), qt.Equals, mwmemory.Stats{})
	c.Check(f.evicted, qt.HasLen, 0)
}

func TestLoneAccountMayExceedTheLimit(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	a := f.open(c, "lone", 500*kB)
	c.Check(f.b.Stats().Held, qt.Equals, 500*kB)
	b := f.b.Open(func() {})
	c.Check(b.Charge(mwmemory.Allowance), qt.IsNil)
	a.Close()
	c.Check(f.b.Stats().Held, qt.Equals, mwunit.Bytes(0))
}

func TestLargestPays(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.open(c, "small", 10*kB)
	large := f.open(c, "large", 60*kB)
	f.open(c, "medium", 30*kB)
	c.Check(f.open(c, "new", 20*kB).Evicted(), qt.IsFalse)
	c.Check(f.evicted, qt.DeepEquals, []string{"large"})
	c.Check(large.Evicted(), qt.IsTrue)
	c.Check(large.Charge(1), qt.Equals, mwmemory.ErrFull)
	c.Check(large.Evict(), qt.IsFalse)
	c.Check(f.b.Stats().Held, qt.Equals, 60*kB)
}

func TestAccountThatHoldsTheMostIsRefused(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	a := f.open(c, "first", 50*kB)
	b := f.open(c, "second", 50*kB)
	c.Check(a.Charge(kB), qt.Equals, mwmemory.ErrFull)
	c.Check(f.evicted, qt.HasLen, 0)
	c.Check(a.Evicted(), qt.IsFalse)
	b.Close()
	c.Check(a.Charge(kB), qt.IsNil)
}

func TestPinnedAccountsStay(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	pinned := f.open(c, "pinned", 60*kB)
	c.Assert(pinned.Pin(), qt.IsTrue)
	f.open(c, "other", 40*kB)
	f.open(c, "new", 20*kB)
	c.Check(f.evicted, qt.DeepEquals, []string{"other"})
	a := f.b.Open(func() {})
	c.Check(a.Charge(mwmemory.Allowance+30*kB), qt.Equals, mwmemory.ErrFull)
	pinned.Unpin()
	c.Check(a.Charge(mwmemory.Allowance+30*kB), qt.IsNil)
	c.Check(f.evicted, qt.DeepEquals, []string{"other", "pinned"})
	c.Check(pinned.Pin(), qt.IsFalse)
}

func TestForcedCharges(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	a := f.open(c, "a", 90*kB)
	a.Pin()
	b := f.open(c, "b", 0)
	b.Add(50 * kB)
	c.Check(f.b.Stats().Held, qt.Equals, 140*kB)
	b.Reset(kB)
	c.Check(f.b.Stats(), qt.Equals, mwmemory.Stats{Held: 90 * kB, Holders: 1})
}

func TestNilAccount(t *testing.T) {
	c := qt.New(t)
	a := mwmemory.FromContext(t.Context())
	c.Assert(a, qt.IsNil)
	c.Check(a.Charge(1<<40), qt.IsNil)
	a.Add(1)
	a.Reset(0)
	a.Unpin()
	c.Check(a.Pin(), qt.IsTrue)
	c.Check(a.Evicted(), qt.IsFalse)
}

// Whatever accounts do at the same time, the budget must stay within its limit, and
// nothing must remain charged at the end.
func TestConcurrentAccounts(t *testing.T) {
	c := qt.New(t)
	f := mwmemory.NewBudget(100 * kB)
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(1, uint64(i)))
			for range 200 {
				a := f.Open(func() {})
				for range r.IntN(20) {
					switch r.IntN(4) {
					case 0:
						a.Pin()
					case 1:
						a.Unpin()
					default:
						_ = a.Charge(mwunit.Bytes(r.IntN(16)) * kB) // Refusals are expected.
					}
					// One account alone may exceed the limit: 20 charges of 16 kB.
					c.Check(f.Stats().Held <= 100*kB+20*16*kB, qt.IsTrue)
				}
				a.Close()
				a.Add(kB)
			}
		})
	}
	wg.Wait()
	c.Check(f.Stats().Held, qt.Equals, mwunit.Bytes(0))
	c.Check(f.Stats().Holders, qt.Equals, 0)
}
