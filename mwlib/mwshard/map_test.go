package mwshard_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwshard"
)

func TestUpdateIsAtomic(t *testing.T) {
	c := qt.New(t)
	const workers, rounds = 8, 1000
	m := mwshard.New[string, int](4)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range rounds {
				m.Update("k", func(v int, _ bool) (int, bool) { return v + 1, true })
			}
		})
	}
	wg.Wait()
	v, ok := m.Get("k")
	c.Assert(ok, qt.IsTrue)
	c.Assert(v, qt.Equals, workers*rounds)
}

func TestRangeMayUseTheMap(t *testing.T) {
	c := qt.New(t)
	m := mwshard.New[int, int](2)
	for i := range 10 {
		m.Set(i, i)
	}
	m.Range(func(k, _ int) bool {
		m.Delete(k)
		return true
	})
	c.Assert(m.Len(), qt.Equals, 0)
}

func BenchmarkUpdate(b *testing.B) {
	m := mwshard.New[int, int](mwshard.DefaultShards)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for k := 0; pb.Next(); k++ {
			m.Update(k&1023, func(v int, _ bool) (int, bool) { return v + 1, true })
		}
	})
}
