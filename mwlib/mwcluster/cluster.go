// Package mwcluster runs the control plane of many nodes in one process, over
// simulations of the network and of the platform's store. Nodes have membership
// and configuration, but serve no calls.
package mwcluster

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwmember"
	"mustardwheel.example/mwlib/mwmemnet"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwversion"
)

// Cluster is a set of nodes on one network and one store.
type Cluster struct {
	Net   *mwmemnet.Network
	Store *mwfakestore.Store
	options
	mu    sync.Mutex
	nodes []*Node
}

// options are the settings that an Option changes.
type options struct {
	seed      uint64
	log       *slog.Logger
	wrapStore func(mwstore.Store, mwmemnet.Place) mwstore.Store
	wrapPeers func(mwkernel.Peers, mwmemnet.Place) mwkernel.Peers
	newSource func(mwmemnet.Place) (mwversion.Source, func())
}

// Option changes a setting of the Cluster that New returns.
type Option = mwoption.Option[options]

// WithSeed sets the seed of the network and the store.
func WithSeed(n uint64) Option { return func(o *options) { o.seed = n } }

// WithLog sets the logger of the nodes. The default discards log lines.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithStoreWrapper sets a function that wraps the store for the node at a place.
func WithStoreWrapper(f func(mwstore.Store, mwmemnet.Place) mwstore.Store) Option {
	return func(o *options) { o.wrapStore = f }
}

// WithPeersWrapper sets a function that wraps the network for the node at a place.
func WithPeersWrapper(f func(mwkernel.Peers, mwmemnet.Place) mwkernel.Peers) Option {
	return func(o *options) { o.wrapPeers = f }
}

// WithSource sets a function that returns the Source of the configuration for the node
// at a place, which the node follows instead of the store, and the function that closes
// it.
func WithSource(f func(mwmemnet.Place) (mwversion.Source, func())) Option {
	return func(o *options) { o.newSource = f }
}

// New returns a Cluster without nodes. The returned function stops its nodes
// and the store.
func New(opts ...Option) (*Cluster, func()) {
	o := options{seed: 1, log: slog.New(slog.NewJSONHandler(io.Discard, nil))}
	mwoption.Apply(&o, opts...)
	s, stopStore := mwfakestore.New(mwfakestore.WithSeed(o.seed))
	c := &Cluster{Net: mwmemnet.New(o.seed), Store: s, options: o}
	return c, func() {
		Crash(c.Nodes()...)
		stopStore()
	}
}

// PlaceOf returns the place of node i of zone z. Each region has two zones.
func PlaceOf(z, i int) mwmemnet.Place {
	return mwmemnet.Place{
		Address: mwid.Address(fmt.Sprintf("10.%d.%d.%d:7002", z, i>>8, i&0xff)),
		Zone:    mwid.ZoneName(fmt.Sprintf("zone-%c", 'a'+z)),
		Region:  mwid.RegionName(fmt.Sprintf("region-%d", z/2)),
	}
}

// Service is the service that each node's backend server announces.
const Service mwid.ServiceName = "auftrag"

// Node is one run of a node, from its start to its stop. A restart at the same
// place is another Node with another ID.
type Node struct {
	*mwmember.Gossip
	Config       *mwversion.Fanout
	ID           mwid.NodeID
	Place        mwmemnet.Place
	Peer         *mwmemnet.Peer
	Metrics      *metrics.Set
	c            *Cluster
	leaveNetwork func()
	once         sync.Once
	cleanups     []func()
}

// Start starts a node at p and announces the service of its backend server.
func (c *Cluster) Start(p mwmemnet.Place, opts ...mwmember.Option) (*Node, error) {
	n := &Node{
		c: c, Place: p, Metrics: metrics.NewSet(),
		ID: mwid.NewNodeID(p.Address, mwid.NewBootID()),
	}
	n.Peer, n.leaveNetwork = c.Net.Join(p)
	var store mwstore.Store = c.Store
	if c.wrapStore != nil {
		store = c.wrapStore(store, p)
	}
	var peers mwkernel.Peers = n.Peer
	if c.wrapPeers != nil {
		peers = c.wrapPeers(peers, p)
	}
	if err := n.run(store, peers, opts); err != nil {
		n.leaveNetwork()
		n.Stop()
		return nil, err
	}
	n.Announce(mwcall.Announcement{Service: Service, Address: "127.0.0.1:9001", Slots: 90, Connections: 660})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = append(c.nodes, n)
	return n, nil
}

// run starts the membership and the configuration of n.
func (n *Node) run(store mwstore.Store, peers mwkernel.Peers, opts []mwmember.Option) error {
	opts = append([]mwmember.Option{
		mwmember.WithPlace(n.Place.Zone, n.Place.Region), mwmember.WithTable(store),
		mwmember.WithLog(n.c.log), mwmember.WithMetrics(n.Metrics),
	}, opts...)
	g, stop, err := mwmember.New(n.ID, mwmember.NewTransport(peers, nil), opts...)
	if err != nil {
		return err
	}
	n.Gossip = g
	n.cleanups = append(n.cleanups, stop)
	config := []mwversion.Option{
		mwversion.WithStore(store), mwversion.WithLog(n.c.log), mwversion.WithMetrics(n.Metrics),
	}
	if n.c.newSource != nil {
		src, closeSource := n.c.newSource(n.Place)
		n.cleanups = append(n.cleanups, closeSource)
		config = append(config, mwversion.WithSource(src))
	}
	n.Config, stop, err = mwversion.New(g, peers, config...)
	if err != nil {
		return err
	}
	n.cleanups = append(n.cleanups, stop)
	return nil
}

// Stop stops n, which notifies its neighbours of its departure.
func (n *Node) Stop() {
	n.once.Do(func() {
		for _, stop := range slices.Backward(n.cleanups) {
			stop()
		}
		n.leaveNetwork()
		n.c.mu.Lock()
		defer n.c.mu.Unlock()
		n.c.nodes = slices.DeleteFunc(n.c.nodes, func(x *Node) bool { return x == n })
	})
}

// Crash stops ns together without notifying their neighbours, as when their
// VMs fail.
func Crash(ns ...*Node) {
	for _, n := range ns {
		n.leaveNetwork()
	}
	var wg sync.WaitGroup
	for _, n := range ns {
		wg.Go(n.Stop)
	}
	wg.Wait()
}

// Cluster returns the cluster of n.
func (n *Node) Cluster() *Cluster { return n.c }

// Nodes returns the running nodes in the order of their starts.
func (c *Cluster) Nodes() []*Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.nodes)
}

// Version returns the configuration version in force at n, or 0 if there is
// none.
func (n *Node) Version() mwid.Version {
	if s := n.Config.Snapshot(); s != nil {
		return s.Version()
	}
	return 0
}

// State returns the state of the target at node id as n knows it.
func (n *Node) State(id mwid.NodeID) (mwcall.TargetState, bool) {
	for _, t := range n.Targets(Service) {
		if t.Node == id {
			return t.State, true
		}
	}
	return 0, false
}

// CountLive returns the number of targets that n knows as up.
func (n *Node) CountLive() int {
	up := 0
	for _, t := range n.Targets(Service) {
		if t.State == mwcall.Up {
			up++
		}
	}
	return up
}
