package mwkernel_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	_ "mustardwheel.example/mwlib/mwretry"
	_ "mustardwheel.example/mwlib/mwroute"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

// handler stands in for a backend server that works on c at n.
type handler func(ctx context.Context, n *node, c *mwcall.Call) (mwcall.Head, error)

// cluster is a set of nodes in one process, with the fakes that they share and
// counters of deliveries, busy slots and faults.
type cluster struct {
	*qt.C
	handle handler
	lossy  func() bool // reports whether the next answer of another node is lost
	class  mwcall.Class
	claim  *claim
	slots  mwunit.Slots
	// admitting, unless nil, is called while a call is being admitted.
	admitting func()

	mu    sync.Mutex
	nodes map[mwid.NodeID]*node

	delivered atomic.Int64
	busy      atomic.Int64 // number of slots in use
	faults    atomic.Int64 // calls not answered exactly once, plus answers not ended exactly once
}

// clusters maps the region of a node to its cluster, so that plug-ins find it.
var clusters sync.Map

// node is one kernel of a cluster.
type node struct {
	*mwkernel.Kernel
	cl      *cluster
	metrics *metrics.Set
	stop    func()
}

func newCluster(c *qt.C, h handler) *cluster {
	cl := &cluster{C: c, handle: h, nodes: make(map[mwid.NodeID]*node), slots: 100}
	cl.class.Verdict = mwconfig.Verdict{
		Repeatable: true, Retries: 1, Deadline: 10 * time.Second, CallerRatio: 1,
	}
	return cl
}

// add starts a node, with a backend server of s unless s is empty.
func (cl *cluster) add(s mwid.ServiceName, change func(*mwsetting.Node)) *node {
	region := mwid.RegionName(mwid.NewRootID())
	clusters.Store(region, cl)
	set := &mwsetting.Node{
		Place:  mwsetting.Place{Zone: "wien-a", Region: region},
		Listen: mwsetting.Listen{Peer: mwid.Address(mwid.NewBootID())},
		Route:  mwsetting.Route{EjectRatio: 0.34, SlowFactor: 3},
		Retry:  mwsetting.Retry{TokenRatio: 0.1, TokenReserve: 1000, CallerReserve: 1000},
		Plugins: mwsetting.Plugins{
			Membership: "fake", Configuration: "fake", Classifier: "fake", Admission: "fake",
			Router: "random", Retry: "chain", Ledger: "fake",
		},
	}
	if change != nil {
		change(set)
	}
	n := &node{cl: cl, metrics: metrics.NewSet()}
	k, stop, err := mwkernel.New(set, mwkernel.WithMetrics(n.metrics),
		mwkernel.WithLog(slog.New(slog.NewJSONHandler(io.Discard, nil))))
	cl.Assert(err, qt.IsNil)
	n.Kernel, n.stop = k, stop
	cl.Cleanup(stop)
	cl.mu.Lock()
	cl.nodes[k.Self().Node] = n
	cl.mu.Unlock()
	if s != "" {
		cl.Assert(k.Announce(announcement(s)), qt.IsNil)
	}
	return n
}

func announcement(s mwid.ServiceName) mwcall.Announcement {
	return mwcall.Announcement{
		Service: s, Address: "127.0.0.1:1", Slots: 10, Connections: 10, TTL: mwkernel.MaxTTL,
	}
}

// count returns the sum of a counter over all nodes.
func (cl *cluster) count(name string) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	n := 0
	for _, nd := range cl.nodes {
		n += int(nd.metrics.GetOrCreateCounter(name).Get())
	}
	return n
}

// call makes one call at n and returns its exchange, which records the answer.
func (n *node) call(ctx context.Context, c mwcall.Call) *exchange {
	ex := &exchange{cl: n.cl, n: n, resendable: true}
	n.Serve(ctx, &c, ex)
	if ex.answers.Load() != 1 {
		n.cl.faults.Add(1)
	}
	return ex
}

// exchange is the exchange of a call between a caller and a node.
type exchange struct {
	cl         *cluster
	n          *node
	resendable bool
	answers    atomic.Int64
	head       mwcall.Head
	err        error
	// deliveredTo is the address to which the call was last delivered.
	deliveredTo mwid.Address
}

func (e *exchange) Resendable() bool { return e.resendable }

func (e *exchange) Held() bool { return e.resendable }

func (e *exchange) Refuse(err error, h mwcall.Head) {
	e.answers.Add(1)
	e.err, e.head = err, h
}

func (e *exchange) Replay(mwcall.EncodedAnswer) (mwkernel.Answer, error) {
	return e.answer(mwcall.Head{}), nil
}

func (e *exchange) Deliver(ctx context.Context, c *mwcall.Call, a mwcall.Announcement) (mwkernel.Answer, error) {
	e.cl.delivered.Add(1)
	e.deliveredTo = a.Address
	h, err := e.cl.handle(ctx, e.n, c)
	if err != nil {
		return nil, err
	}
	return e.answer(h), nil
}

func (e *exchange) answer(h mwcall.Head) *answer { return &answer{e: e, h: h} }

// Forward passes the call to another node of the cluster. The other node's Send
// returns when this answer is sent or dropped, as for a streamed body.
func (e *exchange) Forward(ctx context.Context, c *mwcall.Call, t mwcall.Target) (mwkernel.Answer, error) {
	e.cl.mu.Lock()
	n := e.cl.nodes[t.Node]
	e.cl.mu.Unlock()
	peer := *c
	peer.Origin = mwcall.Peer
	in := &peerExchange{exchange: exchange{cl: e.cl, n: n}, ready: make(chan struct{}), result: make(chan error, 1)}
	go func() {
		n.Serve(ctx, &peer, in)
		if in.answers.Load() != 1 {
			e.cl.faults.Add(1)
		}
	}()
	<-in.ready
	if in.err != nil {
		return nil, &mwkernel.Refusal{Head: in.head, Err: mwcode.New(in.head.Code)}
	}
	a := e.answer(in.head)
	a.result = in.result
	if e.cl.lossy != nil && e.cl.lossy() {
		a.Drop()
		return nil, mwcode.New(mwcode.ConnectionLost)
	}
	return a, nil
}

// peerExchange is the other node's side of a call between two nodes.
type peerExchange struct {
	exchange
	ready  chan struct{} // closed when the head is available
	result chan error
}

func (x *peerExchange) Refuse(err error, h mwcall.Head) {
	x.exchange.Refuse(err, h)
	close(x.ready)
}

func (x *peerExchange) Deliver(ctx context.Context, c *mwcall.Call, a mwcall.Announcement) (mwkernel.Answer, error) {
	ans, err := x.exchange.Deliver(ctx, c, a)
	if err == nil {
		ans.(*answer).peer = x
	}
	return ans, err
}

// answer is the answer of a backend server or of another node.
type answer struct {
	e      *exchange
	h      mwcall.Head
	done   atomic.Int64
	result chan error // receives nil after Send and errDropped after Drop, for the other node
	peer   *peerExchange
}

var errDropped = errors.New("dropped")

func (a *answer) Head() mwcall.Head { return a.h }

func (a *answer) Encoded() (mwcall.EncodedAnswer, bool) { return nil, true }

func (a *answer) Send(h mwcall.Head) error {
	a.finish(nil)
	a.e.answers.Add(1)
	a.e.head = h
	if a.peer == nil {
		return nil
	}
	close(a.peer.ready)
	return <-a.peer.result
}

func (a *answer) Drop() { a.finish(errDropped) }

func (a *answer) finish(err error) {
	if a.done.Add(1) != 1 {
		a.e.cl.faults.Add(1)
	}
	if a.result != nil {
		a.result <- err
	}
}

// fakes implements the membership, configuration and classifier of a cluster's
// node.
type fakes struct {
	mwkernel.Membership
	cl   *cluster
	snap *mwconfig.Snapshot
}

func (f *fakes) Targets(s mwid.ServiceName) []mwcall.Target {
	f.cl.mu.Lock()
	defer f.cl.mu.Unlock()
	var ts []mwcall.Target
	for _, n := range f.cl.nodes {
		for _, a := range n.Announced() {
			if a.Service == s {
				t := n.Self()
				t.Service, t.Slots = s, a.Slots
				ts = append(ts, t)
			}
		}
	}
	return ts
}

func (f *fakes) Announce(mwcall.Announcement) {}
func (f *fakes) Withdraw(mwid.ServiceName)    {}
func (f *fakes) Leave()                       {}

func (f *fakes) Snapshot() *mwconfig.Snapshot { return f.snap }

func (f *fakes) Classify(c *mwcall.Call, _ *mwconfig.Snapshot, _ mwconfig.Server) {
	c.Class = f.cl.class
}

func (f *fakes) Observe(*mwcall.Call, mwcall.Sample) {}

// admission admits up to cl.slots calls at a time and has no queue.
type admission struct{ cl *cluster }

func (a admission) Announce(mwcall.Announcement) {}

func (a admission) RefuseQueued(mwid.ServiceName) {}

func (a admission) Hold(*mwcall.Call) time.Duration { return 0 }

func (a admission) Load(mwid.ServiceName) mwkernel.Load { return mwkernel.Load{} }

func (a admission) Admit(context.Context, *mwcall.Call) (mwkernel.Release, error) {
	if a.cl.busy.Add(1) > int64(a.cl.slots) {
		a.cl.busy.Add(-1)
		return nil, mwcode.New(mwcode.BackendFull)
	}
	if a.cl.admitting != nil {
		a.cl.admitting()
	}
	return func(mwcall.Sample) { a.cl.busy.Add(-1) }, nil
}

// claim is the ledger of a cluster and the only claim that it issues.
type claim struct {
	err                      error  // returned by Begin
	claiming                 func() // called by Claim, unless nil
	begins, notRun, finished atomic.Int64
}

func (l *claim) Claim(context.Context, *mwcall.Call) (mwkernel.Claim, error) {
	if l.claiming != nil {
		l.claiming()
	}
	return l, nil
}

func (l *claim) StoredAnswer() (mwcall.EncodedAnswer, bool) { return nil, false }

func (l *claim) Begin() error {
	l.begins.Add(1)
	return l.err
}

func (l *claim) RecordNotRun(context.Context) error {
	l.notRun.Add(1)
	return nil
}

func (l *claim) Finish(context.Context, mwcall.EncodedAnswer) error {
	l.finished.Add(1)
	return nil
}

// hedger is the retry policy "chain" with a hedge for each call.
type hedger struct{ mwkernel.RetryPolicy }

// hedgeAfter is the delay before a hedge starts.
const hedgeAfter = 2 * time.Millisecond

func (hedger) HedgeAfter(*mwcall.Call) (time.Duration, bool) { return hedgeAfter, true }

func newHedger(env mwkernel.Env) (mwkernel.RetryPolicy, mwregistry.Cleanup, error) {
	p, cleanup, err := mwkernel.RetryPolicies.Make("chain", env)
	return hedger{p}, cleanup, err
}

func init() {
	mwkernel.RetryPolicies.Register("hedger", newHedger)
	mwkernel.Memberships.Register("fake", fake(func(f *fakes) mwkernel.Membership { return f }))
	mwkernel.Configurations.Register("fake", fake(func(f *fakes) mwkernel.Configuration { return f }))
	mwkernel.Classifiers.Register("fake", fake(func(f *fakes) mwkernel.Classifier { return f }))
	mwkernel.Admissions.Register("fake", fake(func(f *fakes) mwkernel.Admission { return admission{f.cl} }))
	mwkernel.Ledgers.Register("fake", fake(func(f *fakes) mwkernel.Ledger { return f.cl.claim }))
}

// fake returns a factory of the plug-in that pick takes from the fakes of the
// node's cluster.
func fake[T any](pick func(*fakes) T) mwkernel.Factory[T] {
	return func(env mwkernel.Env) (T, mwregistry.Cleanup, error) {
		cl, _ := clusters.Load(env.Settings.Place.Region)
		snap, err := mwconfig.Compile(1, nil)
		return pick(&fakes{cl: cl.(*cluster), snap: snap}), nil, err
	}
}

func (a *answer) Whole() bool { return false }
