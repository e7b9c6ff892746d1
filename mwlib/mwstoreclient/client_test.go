package mwstoreclient_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwstoreclient"
)

// runWithClient runs f in virtual time with a client of a fake store.
func runWithClient(t *testing.T, f func(*qt.C, *mwfakestore.Store, *mwstoreclient.Client), opts ...mwstoreclient.Option) {
	synctest.Test(t, func(t *testing.T) {
		s, stop := mwfakestore.New()
		defer stop()
		cl, stopClient := mwstoreclient.New(s, opts...)
		defer stopClient()
		f(qt.New(t), s, cl)
	})
}

func TestDeadline(t *testing.T) {
	runWithClient(t, func(c *qt.C, s *mwfakestore.Store, cl *mwstoreclient.Client) {
		s.SetFaults(mwfakestore.Faults{Delay: time.Hour})
		start := time.Now()
		_, err := cl.Commit(context.Background(), mwstore.Txn{})
		c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.StoreUnknown)
		c.Assert(time.Since(start), qt.Equals, time.Second)
	}, mwstoreclient.WithTimeout(time.Second))
}

// A write whose outcome is unknown must not be sent a second time: it may have
// taken effect.
func TestWritesAreNotRepeated(t *testing.T) {
	tests := []struct {
		name   string
		faults mwfakestore.Faults
		want   int
	}{
		{"answer lost", mwfakestore.Faults{Lost: 1}, 1},
		{"request lost", mwfakestore.Faults{Dropped: 1}, 1},
		{"unavailable", mwfakestore.Faults{Unavailable: true}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithClient(t, func(c *qt.C, s *mwfakestore.Store, cl *mwstoreclient.Client) {
				s.SetFaults(test.faults)
				_, err := cl.Commit(context.Background(), mwstore.Txn{})
				c.Assert(err, qt.IsNotNil)
				c.Assert(cl.PutObject(context.Background(), "o", nil), qt.IsNotNil)
				u := s.Usage()
				c.Assert(u.Transactions, qt.Equals, test.want)
				c.Assert(u.Puts, qt.Equals, test.want)
			})
		})
	}
}

func TestBreaker(t *testing.T) {
	runWithClient(t, func(c *qt.C, s *mwfakestore.Store, cl *mwstoreclient.Client) {
		s.SetFaults(mwfakestore.Faults{Unavailable: true})
		for range 1000 {
			_, err := cl.Get(context.Background(), "a")
			c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.StoreAway)
			time.Sleep(100 * time.Millisecond)
		}
		// The store is unavailable for 100 s, and few requests reach it.
		c.Assert(s.Usage().Refused < 40, qt.IsTrue, qt.Commentf("%d", s.Usage().Refused))
		s.SetFaults(mwfakestore.Faults{})
		time.Sleep(16 * time.Second)
		_, err := cl.Get(context.Background(), "a")
		c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.NotFound)
	})
}

func TestRetriesAreBounded(t *testing.T) {
	runWithClient(t, func(c *qt.C, s *mwfakestore.Store, cl *mwstoreclient.Client) {
		s.SetFaults(mwfakestore.Faults{RateExceeded: true})
		const reads = 100
		for range reads {
			_, _ = cl.Get(context.Background(), "a")
		}
		c.Assert(s.Usage().Refused <= reads+10, qt.IsTrue)
	})
}

// While the rate is used up, claims are served before polls, and polls before
// snapshots.
func TestPriorities(t *testing.T) {
	runWithClient(t, func(c *qt.C, _ *mwfakestore.Store, cl *mwstoreclient.Client) {
		for range 2 { // uses up the burst
			_, err := cl.Commit(context.Background(), mwstore.Txn{})
			c.Assert(err, qt.IsNil)
		}
		var mu sync.Mutex
		var order []mwstoreclient.Use
		var wg sync.WaitGroup
		for _, u := range []mwstoreclient.Use{mwstoreclient.Snapshots, mwstoreclient.Polls, mwstoreclient.Claims} {
			wg.Go(func() {
				ctx := mwstoreclient.WithUse(context.Background(), u)
				_, err := cl.Commit(ctx, mwstore.Txn{})
				mu.Lock()
				defer mu.Unlock()
				c.Check(err, qt.IsNil)
				order = append(order, u)
			})
		}
		wg.Wait()
		c.Assert(order, qt.DeepEquals, []mwstoreclient.Use{
			mwstoreclient.Claims, mwstoreclient.Polls, mwstoreclient.Snapshots,
		})
	}, mwstoreclient.WithWrites(1))
}

// Clients that do not know of each other must converge to rates that use most
// of the store's rate with few refusals, whatever the number of clients.
func TestManyClientsShareTheRate(t *testing.T) {
	const storeRate, clientRate, warmup, measured = 300, 100, 20 * time.Second, 20 * time.Second
	for _, clients := range []int{4, 40, 400} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s, stop := mwfakestore.New(mwfakestore.WithWrites(storeRate))
			defer stop()
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			for range clients {
				cl, stopClient := mwstoreclient.New(s, mwstoreclient.WithWrites(clientRate))
				defer stopClient()
				wg.Go(func() {
					for ctx.Err() == nil {
						_, _ = cl.Commit(ctx, mwstore.Txn{})
					}
				})
			}
			time.Sleep(warmup)
			before := s.Usage()
			time.Sleep(measured)
			after := s.Usage()
			cancel()
			wg.Wait()
			done := float64(after.Transactions-before.Transactions) / measured.Seconds()
			refused := float64(after.Refused-before.Refused) / measured.Seconds()
			t.Logf("%d clients: %.0f writes per second completed, %.0f refused", clients, done, refused)
			c.Check(done > 0.75*storeRate, qt.IsTrue)
			c.Check(refused < 0.25*storeRate, qt.IsTrue)
		})
	}
}
