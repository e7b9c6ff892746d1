package mwclaim_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwclaim"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwstore"
)

// link is a node's connection to the store. It can be cut, and an injected bug
// can remove the claim check.
type link struct {
	mwstore.Store
	cut        atomic.Bool
	skipChecks bool
}

func (l *link) Get(ctx context.Context, k mwstore.Key) (mwstore.Row, error) {
	if l.cut.Load() {
		return mwstore.Row{}, mwcode.New(mwcode.StoreAway)
	}
	return l.Store.Get(ctx, k)
}

func (l *link) Commit(ctx context.Context, t mwstore.Txn) (mwstore.Receipt, error) {
	if l.cut.Load() {
		return mwstore.Receipt{}, mwcode.New(mwcode.StoreAway)
	}
	if l.skipChecks {
		t.Checks = nil
	}
	r, err := l.Store.Commit(ctx, t)
	if l.cut.Load() {
		return mwstore.Receipt{}, mwcode.New(mwcode.StoreUnknown)
	}
	return r, err
}

// injectedBug is a bug that the tests must find.
type injectedBug int

const (
	noBug       injectedBug = iota
	skipChecks              // The table skips the claim check.
	falseNotRun             // An attempt that may have run is reported as not run.
)

// nodeProcess is one run of a node.
type nodeProcess struct {
	ledger  *mwclaim.Ledger
	stop    func()
	stopped atomic.Bool
}

// keyState is the actual state of one key.
type keyState struct {
	runs            int
	submitted       int
	notRun          int  // number of attempts whose callers were told that they did not run
	tainted         bool // whether the key may legitimately be stuck
	history         []porcupine.Operation
	unknownAcquires []porcupine.Operation // acquisitions with an unknown outcome, each followed by a release
}

// script determines the course of one attempt.
type script struct {
	Timeout time.Duration // timeout of the caller
	Pause   time.Duration // time between claim and hand-over
	Refused bool          // whether the hand-over fails
	Cut     bool          // whether no complete answer comes back
}

// cluster is a set of nodes that share a store, and their callers, in virtual
// time.
type cluster struct {
	opts  []mwclaim.Option
	bug   injectedBug
	group bool
	store *mwfakestore.Store
	wire  *wire
	links []*link
	nodes []*nodeProcess
	wg    sync.WaitGroup
	clock atomic.Int64

	mu   sync.Mutex
	keys map[mwid.CallKey]*keyState
	err  error
}

// quiet discards the log lines of the ledgers.
var quiet = slog.New(slog.DiscardHandler)

func newCluster(nodes int, seed uint64, bug injectedBug, group bool, opts ...mwclaim.Option) (*cluster, func()) {
	s, stop := mwfakestore.New(mwfakestore.WithSeed(seed))
	w := &cluster{
		opts: append(opts, mwclaim.WithLog(quiet)), bug: bug, group: group, wire: newWire(seed),
		store: s, keys: make(map[mwid.CallKey]*keyState),
	}
	for range nodes {
		w.links = append(w.links, &link{Store: s, skipChecks: bug == skipChecks})
		w.nodes = append(w.nodes, nil)
		w.startNode(len(w.nodes) - 1)
	}
	return w, func() {
		w.wg.Wait()
		for _, n := range w.nodes {
			n.stop()
		}
		stop()
	}
}

func (w *cluster) startNode(i int) {
	opts := slices.Clone(w.opts)
	if w.group {
		opts = append(opts, w.wire.withGroup(i))
	}
	l, stop, err := mwclaim.New(w.links[i], opts...)
	if err != nil {
		panic(err)
	}
	w.nodes[i] = &nodeProcess{ledger: l, stop: stop}
}

// quiesce waits until every goroutine is blocked.
func (w *cluster) quiesce() { synctest.Wait() }

// restart stops a node, which then writes nothing more, and starts a new one.
func (w *cluster) restart(i int) {
	w.nodes[i].stopped.Store(true)
	old := w.links[i]
	old.cut.Store(true)
	w.nodes[i].stop()
	w.links[i] = &link{Store: w.store, skipChecks: old.skipChecks}
	w.mu.Lock()
	for _, k := range w.keys {
		k.tainted = true
	}
	w.mu.Unlock()
	w.startNode(i)
}

// submit starts one attempt of k at node i. It is declared as the first if all
// earlier attempts were reported as not run, as a caller would do.
func (w *cluster) submit(k mwid.CallKey, i int, sc script) {
	w.mu.Lock()
	st := w.keys[k]
	if st == nil {
		st = &keyState{}
		w.keys[k] = st
	}
	first := st.submitted == st.notRun
	st.submitted++
	a := &attempt{w: w, st: st, node: w.nodes[i], sc: sc, nth: st.submitted, c: newCall(k, first)}
	w.mu.Unlock()
	w.wg.Go(a.run)
}

// attempt is one attempt by a caller.
type attempt struct {
	w    *cluster
	st   *keyState
	node *nodeProcess
	sc   script
	nth  int
	c    *mwcall.Call
}

func (a *attempt) run() {
	ctx, cancel := context.WithTimeout(context.Background(), a.sc.Timeout)
	defer cancel()
	a.c.Deadline, _ = ctx.Deadline()
	call := a.w.clock.Add(1)
	cl, err := a.node.ledger.Claim(ctx, a.c)
	a.record(call, acquire, outcomeOf(cl, err))
	if err != nil {
		a.checkReported(ctx, mwcode.CodeOf(err))
		return
	}
	if _, ok := cl.StoredAnswer(); ok {
		return
	}
	time.Sleep(a.sc.Pause)
	if a.node.stopped.Load() {
		return
	}
	if err := cl.Begin(); err != nil {
		a.record(a.w.clock.Add(1), release, output{result: unknown})
		a.checkReported(ctx, mwcode.CodeOf(err))
		return
	}
	a.handOver(ctx, cl)
}

func (a *attempt) handOver(ctx context.Context, cl claimant) {
	later := context.WithoutCancel(ctx)
	call := a.w.clock.Add(1)
	if a.sc.Refused {
		err := cl.RecordNotRun(later)
		a.record(call, release, outcomeOf(nil, err))
		a.checkReported(ctx, mwcode.ConnectFailed)
		return
	}
	a.w.mu.Lock()
	a.st.runs++
	if a.st.runs > 1 {
		a.w.err = fmt.Errorf("key %q ran %d times", a.c.Key, a.st.runs)
	}
	a.st.tainted = a.st.tainted || a.sc.Cut
	a.w.mu.Unlock()
	if a.sc.Cut {
		return
	}
	err := cl.Finish(later, mwcall.EncodedAnswer(a.c.Attempt))
	a.record(call, finish, outcomeOf(nil, err))
}

// checkReported checks the code reported to the caller, if the caller still waits
// and has not sent another attempt. If the caller still waits and the code says
// that the call did not run, checkReported also counts the attempt in notRun.
func (a *attempt) checkReported(ctx context.Context, c mwcode.Code) {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	if a.w.bug == falseNotRun && c == mwcode.ClaimUnknown {
		c = mwcode.ClaimsAway
	}
	if !c.NotRun() {
		return
	}
	if ctx.Err() == nil && a.st.submitted == a.nth && a.st.runs > 0 {
		a.w.err = fmt.Errorf("key %q: caller was told %v, but the call ran", a.c.Key, c)
	}
	if ctx.Err() == nil {
		a.st.notRun++
	}
}

// violation returns the last violation found, if any.
func (w *cluster) violation() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}
