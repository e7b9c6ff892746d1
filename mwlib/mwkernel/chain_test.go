package mwkernel_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

// depth is the number of services in a chain.
const depth = 17

func level(i int) mwid.ServiceName { return mwid.ServiceName(fmt.Sprintf("s%d", i)) }

// conditions determine how backend servers behave in one run of a chain.
type conditions struct {
	seed     uint64
	budget   mwunit.Attempts
	replicas int
	fanOut   int     // number of concurrent calls that levels 3 and 8 make
	failing  float64 // fraction of the calls that fail
	bottom   bool    // only calls at the last level fail
	hedge    bool
}

// chain runs requests through a chain of services under the given conditions.
type chain struct {
	conditions
	mu       sync.Mutex
	rnd      *rand.Rand
	arrivals map[mwid.ServiceName]int
}

// draw counts a call at s. It returns a random delay, a random code, and whether
// the call fails.
func (ch *chain) draw(s mwid.ServiceName) (time.Duration, mwcode.Code, bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.arrivals[s]++
	d := time.Duration(ch.rnd.IntN(5)) * time.Millisecond
	codes := []mwcode.Code{mwcode.OK, mwcode.BackendFull, mwcode.ConnectionLost, mwcode.BackendUnavailable}
	code := codes[ch.rnd.IntN(len(codes))]
	return d, code, ch.rnd.Float64() < ch.failing && (!ch.bottom || s == level(depth-1))
}

// handle acts as the backend server of every level: it calls the next level,
// fanOut times at levels 3 and 8 and once at all others, and answers c.
func (ch *chain) handle(ctx context.Context, n *node, c *mwcall.Call) (mwcall.Head, error) {
	d, code, wrong := ch.draw(c.Service)
	time.Sleep(d)
	var i int
	fmt.Sscanf(string(c.Service), "s%d", &i)
	calls := 1
	if i == 3 || i == 8 {
		calls = ch.fanOut
	}
	failed := false
	if i+1 < depth {
		failed = ch.callNext(ctx, n, c, i+1, calls)
	}
	if wrong && code != mwcode.OK {
		return mwcall.Head{}, mwcode.New(code)
	}
	failed = failed || wrong
	return mwcall.Head{Failed: failed, RetryElsewhere: failed}, nil
}

// callNext makes concurrent calls to level i and reports whether any failed.
func (ch *chain) callNext(ctx context.Context, n *node, c *mwcall.Call, i, calls int) bool {
	var wg sync.WaitGroup
	bad := make([]bool, calls)
	for j := range calls {
		wg.Go(func() {
			ex := n.call(ctx, mwcall.Call{Service: level(i), Origin: mwcall.Local, Parent: c.Attempt})
			bad[j] = ex.err != nil || ex.head.Failed
		})
	}
	wg.Wait()
	for _, b := range bad {
		if b {
			return true
		}
	}
	return false
}

// start creates the nodes of a chain and returns the entry node.
func (ch *chain) start(t *testing.T, policy func(*mwsetting.Node)) *node {
	cl := newCluster(qt.New(t), ch.handle)
	cl.class.Retries = ch.budget
	for i := range depth {
		for range ch.replicas {
			cl.add(level(i), policy)
		}
	}
	return cl.add("", policy)
}

// run sends one request through a chain and returns the nodes and the answer.
func (ch *chain) run(t *testing.T, policy func(*mwsetting.Node)) (*cluster, *exchange) {
	entry := ch.start(t, policy)
	cl := entry.cl
	ex := entry.call(context.Background(), mwcall.Call{Service: level(0)})
	time.Sleep(cl.class.Deadline) // Lets the cancelled attempts end, too.
	synctest.Wait()
	return cl, ex
}

func newChain(cond conditions) *chain {
	return &chain{
		conditions: cond, rnd: rand.New(rand.NewPCG(cond.seed, 0)), arrivals: make(map[mwid.ServiceName]int),
	}
}

func TestRetriesStayWithinTheRootsBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cond := conditions{
			seed:     rapid.Uint64().Draw(rt, "seed"),
			budget:   mwunit.Attempts(rapid.IntRange(0, 6).Draw(rt, "budget")),
			replicas: rapid.IntRange(1, 3).Draw(rt, "replicas"),
			fanOut:   rapid.IntRange(1, 3).Draw(rt, "fan-out"),
			failing:  rapid.Float64Range(0, 1).Draw(rt, "failing"),
			bottom:   rapid.Bool().Draw(rt, "bottom"),
			hedge:    rapid.Bool().Draw(rt, "hedge"),
		}
		synctest.Test(t, func(t *testing.T) {
			ch := newChain(cond)
			cl, _ := ch.run(t, func(s *mwsetting.Node) {
				if cond.hedge {
					s.Plugins.Retry = "hedger"
				}
			})
			if n := cl.count("mw_retries_total") + cl.count("mw_hedges_total"); n > int(cond.budget) {
				rt.Errorf("%d retries and hedges with a budget of %d", n, cond.budget)
			}
			maxArrivals := (1 + int(cond.budget)) * cond.fanOut * cond.fanOut
			if n := ch.arrivals[level(depth-1)]; n > maxArrivals {
				rt.Errorf("%d attempts at the last level, want at most %d", n, maxArrivals)
			}
			if n := cl.faults.Load(); n > 0 {
				rt.Errorf("%d calls or answers not ended exactly once", n)
			}
			if n := cl.busy.Load(); n != 0 {
				rt.Errorf("%d slots still taken", n)
			}
		})
	})
}

func TestBottomOfAFailingChain(t *testing.T) {
	tests := []struct {
		name        string
		policy      func(*mwsetting.Node)
		budget      mwunit.Attempts
		maxArrivals int
	}{
		{"chain, budget 3", func(s *mwsetting.Node) { s.Plugins.Retry = "chain" }, 3, 4},
		{"chain, no budget", func(s *mwsetting.Node) { s.Plugins.Retry = "chain" }, 0, 1},
		{"off", func(s *mwsetting.Node) { s.Plugins.Retry = "off" }, 3, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ch := newChain(conditions{budget: test.budget, replicas: 3, fanOut: 1, failing: 1, bottom: true})
				_, ex := ch.run(t, test.policy)
				c := qt.New(t)
				c.Check(ch.arrivals[level(depth-1)] <= test.maxArrivals, qt.IsTrue)
				c.Check(ex.err != nil || ex.head.Failed, qt.IsTrue)
			})
		})
	}
}

// TestGoodputOfAChain compares how retry policies spend a budget of 3 on
// requests through 17 services when some calls fail and some answers are lost
// in transit.
func TestGoodputOfAChain(t *testing.T) {
	const requests, budget = 300, 3
	tests := []struct {
		policy  mwregistry.Name
		lost    float64
		minGood float64 // minimum fraction of the requests that must succeed
	}{
		{"chain", 0, 0.95}, {"chainhalf", 0, 0}, {"perhop", 0, 0}, {"off", 0, 0},
		{"chain", 0.02, 0.8}, {"chainhalf", 0.02, 0}, {"perhop", 0.02, 0}, {"off", 0.02, 0},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%s, %v lost", test.policy, test.lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ch := newChain(conditions{budget: budget, replicas: 3, fanOut: 1, failing: 0.02})
				entry := ch.start(t, func(s *mwsetting.Node) { s.Plugins.Retry = test.policy })
				loss := rand.New(rand.NewPCG(1, 0))
				entry.cl.lossy = func() bool { return loss.Float64() < test.lost }
				good := 0
				for range requests {
					ex := entry.call(context.Background(), mwcall.Call{Service: level(0)})
					if ex.err == nil && !ex.head.Failed {
						good++
					}
				}
				retries := entry.cl.count("mw_retries_total")
				t.Logf("good %.3f, retries per request %.3f, attempts at the last level %d",
					float64(good)/requests, float64(retries)/requests, ch.arrivals[level(depth-1)])
				c := qt.New(t)
				c.Check(float64(good)/requests >= test.minGood, qt.IsTrue)
				c.Check(test.policy == "perhop" || retries <= budget*requests, qt.IsTrue)
			})
		})
	}
}
