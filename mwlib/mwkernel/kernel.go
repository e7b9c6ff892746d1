// Package mwkernel holds the path of a call, the extension points that
// plug-ins register themselves with, and the life of a node. It imports no
// plug-in and no encoding.
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
	"mustardwheel.example/mwlib/mwset"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwturn"
	"mustardwheel.example/mwlib/mwunit"
)

// Kernel leads each call along its path. A call by a caller or by this VM's
// own backend server is routed: a target is picked and the call goes to the
// target's node, which may be this one. A call from another node is served:
// this node alone decides whether its backend server gets it.
//
// The target's node decides because it alone sees every call that its
// backend server gets. Limits, shedding, drain and at-most-once need no
// agreement between nodes that way and hold while nodes can't hear each
// other. What a node knows of other targets only saves a wasted hop.
//
// The Kernel works on mwcall types alone. A front end turns messages into an
// Exchange, so that another encoding can use the same decisions.
type Kernel struct {
	set   *mwsetting.Node
	env   Env
	log   *slog.Logger
	stat  *stats
	place mwcall.Target

	store  mwstore.Store
	member Membership
	config Configuration
	class  Classifier
	admit  Admission
	router Router
	retry  RetryPolicy
	ledger Ledger

	backends *backends
	accounts *accounts
	parents  *parents
	turns    *mwturn.Turns[pathOf]
	life     *life
}

// pathOf is what a route is for.
type pathOf struct{ host, prefix string }

// options are the settings of New that are not a node's settings.
type options struct {
	log     *slog.Logger
	metrics *metrics.Set
	peers   Peers
	store   mwstore.Store
}

// Option changes how New makes a Kernel.
type Option = mwoption.Option[options]

// WithLog sets where the Kernel logs.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithMetrics sets where the Kernel counts.
func WithMetrics(m *metrics.Set) Option { return func(o *options) { o.metrics = m } }

// WithPeers sets how control messages reach other nodes.
func WithPeers(p Peers) Option { return func(o *options) { o.peers = p } }

// WithStore sets a store in place of the plug-in that the settings name.
func WithStore(s mwstore.Store) Option { return func(o *options) { o.store = s } }

// New makes a Kernel from the plug-ins that set names. The returned function
// ends what New started.
func New(set *mwsetting.Node, opts ...Option) (*Kernel, func(), error) {
	o := options{log: slog.Default(), metrics: metrics.NewSet()}
	mwoption.Apply(&o, opts...)
	boot := mwid.NewBootID()
	env := Env{
		Node: mwid.NewNodeID(set.Listen.PeerAddress(), boot), Boot: boot, Settings: set,
		Log: o.log, Metrics: o.metrics, Peers: o.peers, Store: o.store,
	}
	k := &Kernel{
		set: set, log: o.log, stat: newStats(o.metrics),
		place: mwcall.Target{
			Node: env.Node, Peer: set.Listen.PeerAddress(), Zone: set.Place.Zone, Region: set.Place.Region,
		},
		accounts: newAccounts(), parents: newParents(), turns: mwturn.New[pathOf](), life: newLife(),
	}
	var ends ends
	if err := k.makePlugins(env, &ends); err != nil {
		ends.run()
		return nil, nil, err
	}
	env.Store, env.Membership, env.Configuration = k.store, k.member, k.config
	k.env = env
	var end func()
	k.backends, end = newBackends(k)
	ends.add(end)
	return k, ends.run, nil
}

// ends are clean-up functions, run in reverse order.
type ends []func()

func (e *ends) add(f func()) {
	if f != nil {
		*e = append(*e, f)
	}
}

func (e *ends) run() {
	for i := len(*e) - 1; i >= 0; i-- {
		(*e)[i]()
	}
	*e = nil
}

// Log returns where this node logs.
func (k *Kernel) Log() *slog.Logger { return k.log }

// Env returns what the plug-ins of this node got, with all that it lacks for
// those that are made first.
func (k *Kernel) Env() Env { return k.env }

// Self returns this node as a target without a service.
func (k *Kernel) Self() mwcall.Target { return k.place }

// Membership returns the membership in use.
func (k *Kernel) Membership() Membership { return k.member }

// Configuration returns the configuration in use.
func (k *Kernel) Configuration() Configuration { return k.config }

// Admission returns the admission in use.
func (k *Kernel) Admission() Admission { return k.admit }

// Store returns the store client in use, or nil.
func (k *Kernel) Store() mwstore.Store { return k.store }

// Targets returns the known targets of s, or of all services where s is
// empty.
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

// Judge fills c.Service, where c names none, and c.Class as for a call by a
// caller, and returns the configuration that it used. Its error tells that no
// route fits.
func (k *Kernel) Judge(c *mwcall.Call) (*mwconfig.Snapshot, error) {
	s, ok := k.snapshot()
	if err := k.resolve(c, s, ok); err != nil {
		return s, err
	}
	k.classify(c, s, ok)
	return s, nil
}

// emptySnapshot stands for the configuration while the node has none.
var emptySnapshot = func() *mwconfig.Snapshot {
	s, err := mwconfig.Compile(0, nil)
	if err != nil {
		panic(err)
	}
	return s
}()

// snapshot returns the configuration for one call, and whether the node has
// one.
func (k *Kernel) snapshot() (*mwconfig.Snapshot, bool) {
	if s := k.config.Snapshot(); s != nil {
		return s, true
	}
	return emptySnapshot, false
}

// Serve leads c along its path and answers it through ex, always exactly
// once. It returns when the answer is out.
func (k *Kernel) Serve(ctx context.Context, c *mwcall.Call, ex Exchange) {
	k.life.enter()
	defer k.life.exit()
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

// classify fills c.Class.
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

// resolve sets the service of a call that names none by the route of its host
// and path, and bounds its time by that of the route.
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
	c.Service = r.Pick(k.turn(r))
	if r.Timeout == 0 {
		return nil
	}
	if end := time.Now().Add(time.Duration(r.Timeout)); c.Deadline.IsZero() || end.Before(c.Deadline) {
		c.Deadline = end
	}
	return nil
}

// turn returns the point of the split of r for the next call; where there is one
// service alone, any point does.
func (k *Kernel) turn(r *mwconfig.Route) float64 {
	if len(r.Split) < 2 {
		return 0
	}
	return k.turns.Next(pathOf{r.Host, r.PathPrefix})
}

// Ready tells whether this node should get calls: it has a configuration and
// is not about to end.
func (k *Kernel) Ready() bool {
	_, ok := k.snapshot()
	return ok && !k.Draining()
}

// serverOf returns what selectors see of the backend server that c goes to:
// this VM's own for a call from another node, else only its service.
func (k *Kernel) serverOf(c *mwcall.Call) mwconfig.Server {
	v := mwconfig.Server{Service: c.Service}
	if c.Origin != mwcall.Peer {
		return v
	}
	v.Zone = k.place.Zone
	if a, ok := k.backends.get(c.Service); ok {
		v.Address, v.Labels = a.Address, a.Labels
	}
	return v
}

// contextError returns the error for a call whose ctx is done before the
// call was handed over.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return mwcode.New(mwcode.DeadlinePassed)
	}
	return mwcode.New(mwcode.CallerGone)
}

// triedSet is the nodes that a call was sent to.
type triedSet = mwset.Set[mwid.NodeID]
