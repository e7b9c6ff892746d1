package mwscene

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwsoak/internal/mwplan"
)

// Parameters of a restore of the store. Those with a minimum and a maximum, and those
// that are only a maximum, are drawn from the seed of the event.
const (
	// minCopyAge and maxCopyAge bound the age of the copy when the store goes away.
	minCopyAge = 500 * time.Millisecond
	maxCopyAge = 4 * time.Second
	maxAway    = 1500 * time.Millisecond
	// restoreAgainRatio is the fraction of the restores that are followed by another.
	restoreAgainRatio = 0.25
	// maxSeries is the maximum number of changes of the configuration in a series, and
	// maxChangeGap the maximum time between two of them.
	maxSeries    = 4
	maxChangeGap = 10 * time.Millisecond
	// maxOtherWrites is the maximum number of rows that other writers write after the
	// copy, and otherRows the number of their keys.
	maxOtherWrites = 40
	otherRows      = 4
	// maxRewriteGap is the maximum time between two of their writes after the restore.
	maxRewriteGap = 5 * time.Millisecond
	// otherTable is a table that nodes do not read.
	otherTable = "servers"
)

func init() {
	// Not a fault as a whole: the store works until it goes away.
	registerPlanned("store-restore", func(s *Scene, e mwplan.Event) {
		if !s.restoring.TryLock() {
			return // A copy from before another restore is not one of the present store.
		}
		defer s.restoring.Unlock()
		r := rand.New(rand.NewPCG(e.Seed, 0))
		s.restoreStore(r)
		if r.Float64() < restoreAgainRatio {
			s.restoreStore(r)
		}
	})
}

// restoreStore lets the store go away and come back from a copy some seconds old. The
// operator writes a series of changes just before, during and after the outage. Other
// writers repeat what was lost and go on, so that the version of the store passes the
// one that the nodes have read.
func (s *Scene) restoreStore(r *rand.Rand) {
	old := s.store.Copy()
	writes := 1 + r.IntN(maxOtherWrites)
	age := minCopyAge + randN(r, maxCopyAge-minCopyAge)
	s.writeOthers(writes, age/time.Duration(writes))
	lost := s.changeSeries(r, randN(r, maxChangeGap))

	end := s.checker.Fault()
	s.store.SetAway(true)
	mwtimer.Sleep(s.ctx, randN(r, maxAway))
	s.store.Restore(old)
	s.changeSeries(r, 0) // The operator waited for the store.
	s.store.SetAway(false)
	end()

	gap := randN(r, maxRewriteGap)
	var wg sync.WaitGroup
	wg.Go(func() { s.writeOthers(writes+lost, gap) })
	s.changeSeries(r, randN(r, maxChangeGap))
	wg.Wait()
}

// changeSeries writes 1 to maxSeries changes of the configuration with the given time
// after each, and returns their number.
func (s *Scene) changeSeries(r *rand.Rand, gap time.Duration) int {
	n := 1 + r.IntN(maxSeries)
	for range n {
		s.change()
		mwtimer.Sleep(s.ctx, gap)
	}
	return n
}

// writeOthers writes n rows of other writers with the given time after each.
func (s *Scene) writeOthers(n int, gap time.Duration) {
	for i := range n {
		s.store.Put(otherTable, fmt.Sprint("i-", i%otherRows), nil)
		mwtimer.Sleep(s.ctx, gap)
	}
}

func randN(r *rand.Rand, n time.Duration) time.Duration { return time.Duration(r.Int64N(int64(n))) }
