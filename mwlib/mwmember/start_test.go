package mwmember_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcluster"
	"mustardwheel.example/mwlib/mwmemnet"
	"mustardwheel.example/mwlib/mwstore"
)

// slowStore delays each request and its answer, like a store that is accessed
// over a network while all processes start.
type slowStore struct{ mwstore.Store }

func (s *slowStore) wait() { advance(4*time.Millisecond + rand.N(100*time.Millisecond)) }

// Scan delays the request and the answer.
func (s *slowStore) Scan(ctx context.Context, prefix, after mwstore.Key, limit int) ([]mwstore.Row, error) {
	s.wait()
	defer s.wait()
	return s.Store.Scan(ctx, prefix, after, limit)
}

// Commit delays the request and the answer.
func (s *slowStore) Commit(ctx context.Context, t mwstore.Txn) (mwstore.Receipt, error) {
	s.wait()
	defer s.wait()
	return s.Store.Commit(ctx, t)
}

// TestNodesThatStartTogetherFindEachOther starts all nodes of a new system
// within 0.3 s, while the store has no entry row. It guards against groups of
// nodes that found only each other and stay separate.
func TestNodesThatStartTogetherFindEachOther(t *testing.T) {
	const zones, perZone, trials, settleLimit = 6, 4, 10, 6 * time.Second
	for trial := range trials {
		run(t, 0, 0, func(cl *cluster) {
			rnd := rand.New(rand.NewPCG(uint64(trial), 0))
			offsets := make([]time.Duration, 0, zones*perZone)
			for range zones * perZone {
				offsets = append(offsets, time.Duration(rnd.Int64N(int64(300*time.Millisecond))))
			}
			done := make(chan error, zones*perZone)
			for i, d := range offsets {
				go func() {
					advance(d)
					_, err := cl.Start(mwcluster.PlaceOf(i%zones, i/zones))
					done <- err
				}()
			}
			for range offsets {
				cl.c.Assert(<-done, qt.IsNil)
			}
			cl.waitSettled(settleLimit)
		}, mwcluster.WithSeed(uint64(trial)), mwcluster.WithStoreWrapper(func(s mwstore.Store, _ mwmemnet.Place) mwstore.Store {
			return &slowStore{Store: s}
		}))
	}
}
