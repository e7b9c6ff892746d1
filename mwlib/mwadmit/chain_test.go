package mwadmit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwadmit"
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

// hop is one service of a call chain. Each of its calls makes calls to the next
// hop.
type hop struct {
	admit  mwkernel.Admission
	server *server
	took   time.Duration
	calls  int
}

// chain is the sequence of services that a request passes through. For each call
// of a request with the given root id, draw returns the id from which the hash of
// the call's priority is computed.
type chain struct {
	hops []hop
	draw func(root mwid.RootID) mwid.RootID
}

// call makes one call at hop n and all calls below it, and reports whether all
// of them were answered.
func (ch *chain) call(ctx context.Context, root mwid.RootID, n int) bool {
	h := ch.hops[n]
	c := newCall(orders, root)
	c.Class.Priority = mwcall.NewPriority(orders, n > 0, ch.draw(root))
	c.Deadline, _ = ctx.Deadline()
	release, err := h.admit.Admit(ctx, c)
	if err != nil {
		return false
	}
	start := time.Now()
	ok := h.server.work(ctx, h.took)
	for range h.calls {
		ok = ok && ch.call(ctx, root, n+1)
	}
	took := time.Since(start)
	release(mwcall.Sample{Took: took, First: took, Cancelled: ctx.Err() != nil, Failed: !ok})
	return ok
}

// wholeRequests returns the goodput under three times the demand that the chain
// can carry: the requests with all calls answered, as a ratio of the capacity
// of the last hop.
func wholeRequests(t *testing.T, seed uint64, sameHash bool) (ratio float64) {
	const (
		workers  = 10
		took     = 20 * time.Millisecond
		calls    = 2
		seconds  = 5
		capacity = workers * (time.Second / took) / (calls * calls)
	)
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var mu sync.Mutex
		ch := &chain{draw: func(r mwid.RootID) mwid.RootID {
			if sameHash {
				return r
			}
			mu.Lock()
			defer mu.Unlock()
			return mwid.RootID(fmt.Sprint(rng.Uint64()))
		}}
		for _, h := range []hop{{took: time.Millisecond, calls: calls}, {took: time.Millisecond, calls: calls}, {took: took}} {
			h.server = newServer(20 * workers)
			if h.calls == 0 {
				h.server = newServer(workers)
			}
			h.admit = makeAdmission(t, mwadmit.AdaptiveName, mwsetting.Admit{}, mwunit.Slots(cap(h.server.workers)))
			ch.hops = append(ch.hops, h)
		}
		var wg sync.WaitGroup
		good := 0
		for i := range int(3 * capacity * seconds) {
			time.Sleep(time.Second / (3 * capacity))
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if ch.call(ctx, mwid.RootID(fmt.Sprint(seed, "-", i)), 0) {
					mu.Lock()
					defer mu.Unlock()
					good++
				}
			})
		}
		wg.Wait()
		ratio = float64(good) / float64(capacity*seconds)
	})
	return ratio
}

func TestSameHashKeepsWholeRequests(t *testing.T) {
	c := qt.New(t)
	for seed := range seeds() {
		same, random := wholeRequests(t, seed, true), wholeRequests(t, seed, false)
		t.Logf("seed %d: goodput of whole requests as a ratio of the capacity: same hash %.3f, random per call %.3f", seed, same, random)
		c.Check(same > 2*random, qt.IsTrue)
		c.Check(same > 0.8, qt.IsTrue)
	}
}
