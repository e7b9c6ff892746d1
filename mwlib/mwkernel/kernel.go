// Package mwkernel implements the path of a call through a node. It routes
// calls to targets, retries and hedges them within a budget, and serves the
// calls that other nodes forward to this one. It also defines the extension
// points with which plug-ins register themselves, and drains the node before
// shutdown. It imports no plug-in and no encoding, so that both can be replaced
// without a change to the decisions.
package mwkernel

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwpanic"
	"mustardwheel.example/mwlib/mwset"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwturn"
	"mustardwheel.example/mwlib/mwunit"
)

// Kernel processes the calls that arrive at one node. For a call by a caller or
// by this VM's own backend server, it picks a target and sends the call to the
// target's node, which may be this node. For a call that another node forwarded,
// this node is the target's node, and the Kernel alone decides whether the
// backend server gets the call.
//
// The target's node decides because it alone sees every call that its
// backend server gets. Concurrency limits, shedding, drain and at-most-once
// execution therefore need no agreement between nodes, and hold during a
// network partition. What a node knows about other targets only lets it avoid
// sending a call to a target that would refuse it.
//
// Kernel works on mwcall types only. A front end translates its messages to an
// Exchange, so that another encoding can use the same decisions.
type Kernel struct {
	set  *mwsetting.Node
	env  Env
	log  *slog.Logger
	stat *stats
	self mwcall.Target
	// started is the time at which New was called.
	started time.Time
	// panics contains the panics of goroutines that the kernel starts.
	panics *mwpanic.Recorder

	store  mwstore.Store
	member Membership
	config Configuration
	class  Classifier
	admit  Admission
	router Router
	retry  RetryPolicy
	ledger Ledger

	backends      *backends
	accounts      *accounts
	parents       *parents
	splitSequence *mwturn.Sequence[routeKey]
	lifecycle     *lifecycle
}

// routeKey identifies a route by what it matches.
type routeKey struct{ host, prefix string }

// options are the arguments of New that are not settings of the node.
type options struct {
	log     *slog.Logger
	metrics *metrics.Set
	peers   Peers
	store   mwstore.Store
}

// Option sets an optional argument of New.
type Option = mwoption.Option[options]

// WithLog sets the logger of the Kernel; the default is slog.Default.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithMetrics sets the metrics set of the Kernel; the default is a new set.
func WithMetrics(m *metrics.Set) Option { return func(o *options) { o.metrics = m } }

// WithPeers sets the transport of control messages to other nodes.
func WithPeers(p Peers) Option { return func(o *options) { o.peers = p } }

// WithStore sets a store that replaces the plug-in named by the settings.
func WithStore(s mwstore.Store) Option { return func(o *options) { o.store = s } }

// New returns a Kernel with the settings set and the plug-ins that they name.
// The returned function stops the Kernel and its plug-ins.
func New(set *mwsetting.Node, opts ...Option) (*Kernel, func(), error) {
	o := options{log: slog.Default(), metrics: metrics.NewSet()}
	mwoption.Apply(&o, opts...)
	boot := mwid.NewBootID()
	env := Env{
		Node: mwid.NewNodeID(set.Listen.PeerAddress(), boot), Boot: boot, Settings: set,
		Log: o.log, Metrics: o.metrics, Panics: mwpanic.New(o.log, o.metrics), Peers: o.peers, Store: o.store,
	}
	k := &Kernel{
		set: set, log: o.log, panics: env.Panics, stat: newStats(o.metrics), started: time.Now(),
		self: mwcall.Target{
			Node: env.Node, Peer: set.Listen.PeerAddress(), Zone: set.Place.Zone, Region: set.Place.Region,
		},
		accounts: newAccounts(), parents: newParents(), splitSequence: mwturn.New[routeKey](), lifecycle: newLifecycle(),
	}
	var undo cleanups
	if err := k.makePlugins(env, &undo); err != nil {
		undo.run()
		return nil, nil, err
	}
	env.Store, env.Membership, env.Configuration = k.store, k.member, k.config
	k.env = env
	var stop func()
	k.backends, stop = newBackends(k)
	undo.add(stop)
	return k, undo.run, nil
}

// cleanups are clean-up functions, run in reverse order.
type cleanups []func()

func (e *cleanups) add(f func()) {
	if f != nil {
		*e = append(*e, f)
	}
}

func (e *cleanups) run() {
	for i := len(*e) - 1; i >= 0; i-- {
		(*e)[i]()
	}
	*e = nil
}

// Log returns the logger of this node.
func (k *Kernel) Log() *slog.Logger { return k.log }

// Env returns the environment of this node's plug-ins. It includes the parts
// that were still nil when the first plug-ins were created.
func (k *Kernel) Env() Env { return k.env }

// Self returns this node as a Target without a service.
func (k *Kernel) Self() mwcall.Target { return k.self }

// Membership returns the membership plug-in.
func (k *Kernel) Membership() Membership { return k.member }

// Configuration returns the configuration plug-in.
func (k *Kernel) Configuration() Configuration { return k.config }

// Admission returns the admission plug-in.
func (k *Kernel) Admission() Admission { return k.admit }

// Store returns the store client, or nil if the node has none.
func (k *Kernel) Store() mwstore.Store { return k.store }

// Targets returns the known targets of s, or of all services if s is empty.
func (k *Kernel) Targets(s mwid.ServiceName) []mwcall.Target {
	if s != "" {
		return k.member.Targets(s)
	}
	var ts []mwcall.Target
	for _, s := range k.member.Services() {
		ts = append(ts, k.member.Targets(s)...)
	}
	return ts
}

// Classify classifies c without serving it. It sets c.Class. It also sets
// c.Service if c names none, and c.Deadline if c has none or the timeout of its
// route ends earlier. It returns the configuration that it used. The error has the
// code mwcode.NoRoute if no route matches c, and mwcode.NoConfiguration if c
// names no service and the node has no configuration yet.
func (k *Kernel) Classify(c *mwcall.Call) (*mwconfig.Snapshot, error) {
	s, ok := k.snapshot()
	if err := k.resolve(c, s, ok); err != nil {
		return s, err
	}
	k.classify(c, s, ok)
	return s, nil
}

// emptySnapshot is used until the node has a configuration.
var emptySnapshot = func() *mwconfig.Snapshot {
	s, err := mwconfig.Compile(0, nil)
	if err != nil {
		panic(err)
	}
	return s
}()

// snapshot returns the configuration in force and true, or an empty one and
// false if the node has none yet.
func (k *Kernel) snapshot() (*mwconfig.Snapshot, bool) {
	if s := k.config.Snapshot(); s != nil {
		return s, true
	}
	return emptySnapshot, false
}

// Serve processes c and answers it through ex exactly once. It returns after
// the answer was sent.
func (k *Kernel) Serve(ctx context.Context, c *mwcall.Call, ex Exchange) {
	k.lifecycle.enter()
	defer k.lifecycle.exit()
	if k.lifecycle.closed.Load() {
		k.refuseClosed(c, ex)
		return
	}
	if c.Depth > mwunit.MaxDepth {
		ex.Refuse(mwcode.New(mwcode.TooDeep), mwcall.Head{Unused: c.Budget})
		return
	}
	if c.Origin == mwcall.Peer {
		k.serveHere(ctx, c, ex)
		return
	}
	k.route(ctx, c, ex)
}

// classify sets c.Class, and c.Deadline if c has none. Without a configuration
// (ok is false) a call gets no retries.
func (k *Kernel) classify(c *mwcall.Call, s *mwconfig.Snapshot, ok bool) {
	k.class.Classify(c, s, k.serverOf(c))
	c.Class.Version = s.Version()
	if !ok {
		c.Class.Retries = 0
	}
	if c.Deadline.IsZero() {
		c.Deadline = time.Now().Add(c.Class.Deadline)
	}
}

// resolve sets the service of a call that names none from the route of its
// host and path, and limits its deadline by the timeout of that route.
func (k *Kernel) resolve(c *mwcall.Call, s *mwconfig.Snapshot, ok bool) error {
	if c.Service != "" {
		return nil
	}
	if !ok {
		return mwcode.New(mwcode.NoConfiguration)
	}
	r, found := s.RouteOf(c.Host, c.Path)
	if !found {
		return mwcode.New(mwcode.NoRoute)
	}
	c.Service = r.Pick(k.splitPosition(r))
	if r.Timeout == 0 {
		return nil
	}
	if deadline := time.Now().Add(time.Duration(r.Timeout)); c.Deadline.IsZero() || deadline.Before(c.Deadline) {
		c.Deadline = deadline
	}
	return nil
}

// splitPosition returns the position in the split of r for the next call. The
// position does not matter for a route with a single service.
func (k *Kernel) splitPosition(r *mwconfig.Route) float64 {
	if len(r.Split) < 2 {
		return 0
	}
	return k.splitSequence.Next(routeKey{r.Host, r.PathPrefix})
}

// Ready reports whether this node should get calls: it has a configuration and
// is not draining.
func (k *Kernel) Ready() bool {
	_, ok := k.snapshot()
	return ok && !k.Draining()
}

// serverOf returns the backend server that selectors match c against. For a call
// from another node, it is this VM's own; otherwise only its service is known.
func (k *Kernel) serverOf(c *mwcall.Call) mwconfig.Server {
	v := mwconfig.Server{Service: c.Service}
	if c.Origin != mwcall.Peer {
		return v
	}
	v.Zone = k.self.Zone
	if a, ok := k.backends.get(c.Service); ok {
		v.Address, v.Labels = a.Address, a.Labels
	}
	return v
}

// contextError returns the error for a call whose ctx ended before the call
// was handed over to the backend server.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return mwcode.New(mwcode.DeadlinePassed)
	}
	return mwcode.New(mwcode.CallerGone)
}

// nodeSet is a set of nodes.
type nodeSet = mwset.Set[mwid.NodeID]
