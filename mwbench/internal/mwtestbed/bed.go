// Package mwtestbed runs real nodes on loopback in one process, with a fake
// backend server behind each node and one fake store for all.
package mwtestbed

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"mustardwheel.example/mwbench/internal/mwprofile"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwfakeserver"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwhost"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoperator"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

// Rate limits of the store, in reads and writes per second.
const (
	storeReads  mwunit.PerSecond = 2000
	storeWrites mwunit.PerSecond = 400
)

// Service is one service of a Bed.
type Service struct {
	mwprofile.Service
	// Classes are the classes of work of its backend servers.
	Classes []mwfakeserver.Class
	// Queue is the length of the queue of each backend server.
	Queue mwunit.Slots
	// Options are additional options of its backend servers.
	Options []mwfakeserver.Option
}

// Spec describes a Bed.
type Spec struct {
	Seed     mwfakeserver.Seed
	Zones    []mwprofile.Zone
	Services []Service
	Works    []Work
	// Tune changes the settings of every node before it starts.
	Tune func(*mwsetting.Node)
	// Log receives the log records of nodes; nil discards them.
	Log *slog.Logger
}

// Target is one backend server with its node.
type Target struct {
	Host   *mwhost.Host
	Server *mwfakeserver.Server
	// Store is the node's connection to the store.
	Store *Link
	stop  func()
}

// Stop stops the backend server and its node without draining them. Only the
// first call has an effect.
func (t *Target) Stop() { t.stop() }

// Bed is a running system: a node for each backend server, spread over the
// zones, and a store.
type Bed struct {
	spec   Spec
	log    *slog.Logger
	store  *mwfakestore.Store
	record *mwfakeserver.Record
	join   []mwid.Address
	// targets holds the targets of each service in order of their start. Only
	// one goroutine at a time may change it.
	targets map[mwid.ServiceName][]*Target
	version mwid.Version
	// detached are targets that Detach took off the list and that still run.
	detached []*Target
}

// readyTimeout bounds the wait until all nodes know all targets. It does
// not measure how fast they do: a busy machine takes many times as long.
const readyTimeout = time.Minute

// New starts the system that spec describes, and returns once every node knows
// every target and the configuration is in force. The returned function stops
// the system.
func New(ctx context.Context, spec Spec) (*Bed, func(), error) {
	store, stopStore := mwfakestore.New(mwfakestore.WithSeed(uint64(spec.Seed)),
		mwfakestore.WithReads(storeReads), mwfakestore.WithWrites(storeWrites))
	b := &Bed{
		spec: spec, log: spec.Log, store: store, record: mwfakeserver.NewRecord(),
		targets: make(map[mwid.ServiceName][]*Target),
	}
	if b.log == nil {
		b.log = slog.New(slog.DiscardHandler)
	}
	stop := func() {
		b.stopAll()
		stopStore()
	}
	if err := b.start(ctx); err != nil {
		stop()
		return nil, nil, err
	}
	return b, stop, nil
}

func (b *Bed) start(ctx context.Context) error {
	if err := b.Apply(ctx, b.spec.Works...); err != nil {
		return err
	}
	for _, s := range b.spec.Services {
		for i := range s.Targets {
			if _, err := b.Start(s, i); err != nil {
				return err
			}
		}
	}
	return b.AwaitReady(ctx)
}

// Apply writes the documents of ws to the store. They replace documents of the
// same kind and name.
func (b *Bed) Apply(ctx context.Context, ws ...Work) error {
	if len(ws) == 0 {
		return nil
	}
	docs, err := documents(ws)
	if err != nil {
		return err
	}
	op := mwoperator.New(b.store, mwoperator.WithLog(b.log))
	stored, err := op.List(ctx, "")
	if err != nil {
		return fmt.Errorf("testbed: %w", err)
	}
	r, err := op.Apply(ctx, mwid.NewOperationID(), "mwbench", edits(docs, stored))
	if err != nil {
		return fmt.Errorf("testbed: %w", err)
	}
	b.version = r.Version
	return nil
}

// edits returns an edit for each of docs. It replaces the document of the same
// kind and name in stored, if there is one.
func edits(docs []mwconfig.Document, stored []mwoperator.Stored) []mwoperator.Edit {
	out := make([]mwoperator.Edit, len(docs))
	for i, d := range docs {
		out[i].Document = d
		for _, s := range stored {
			if s.Document.Kind == d.Kind && s.Document.Name == d.Name {
				out[i].Expected = s.Revision
			}
		}
	}
	return out
}

// Start starts target number i of s with its node. The zones are assigned in
// turn.
func (b *Bed) Start(s Service, i int) (*Target, error) {
	set, err := b.settings(b.spec.Zones[i%len(b.spec.Zones)])
	if err != nil {
		return nil, err
	}
	link := NewLink(b.store)
	h, stopHost, err := mwhost.New(set, mwhost.WithLog(b.log), mwhost.WithStore(link))
	if err != nil {
		return nil, fmt.Errorf("testbed: %w", err)
	}
	srv, stopServer, err := mwfakeserver.New(s.Service.Service, h.Local(), b.options(s)...)
	if err != nil {
		stopHost()
		return nil, fmt.Errorf("testbed: %w", err)
	}
	if len(b.join) < maxJoinNodes {
		b.join = append(b.join, h.Peer())
	}
	t := &Target{Host: h, Server: srv, Store: link, stop: sync.OnceFunc(func() { stopServer(); stopHost() })}
	b.targets[s.Service.Service] = append(b.targets[s.Service.Service], t)
	return t, nil
}

// maxJoinNodes is the maximum number of addresses that a node gets to join the
// others.
const maxJoinNodes = 3

func (b *Bed) options(s Service) []mwfakeserver.Option {
	return append([]mwfakeserver.Option{
		mwfakeserver.WithSeed(b.spec.Seed),
		mwfakeserver.WithSlots(s.Slots, s.Queue),
		mwfakeserver.WithConnections(s.Connections),
		mwfakeserver.WithClasses(s.Classes...),
		mwfakeserver.WithRecord(b.record),
	}, s.Options...)
}

// Detach takes t off the list of targets; t runs until the Bed is stopped.
func (b *Bed) Detach(t *Target) {
	for s, ts := range b.targets {
		b.targets[s] = slices.DeleteFunc(slices.Clone(ts), func(x *Target) bool { return x == t })
	}
	b.detached = append(b.detached, t)
}

func (b *Bed) stopAll() {
	for _, t := range append(b.All(), b.detached...) {
		t.Stop()
	}
}

// All returns all targets, in the order of Spec.Services.
func (b *Bed) All() []*Target {
	var out []*Target
	for _, s := range b.spec.Services {
		out = append(out, b.targets[s.Service.Service]...)
	}
	return out
}

// Targets returns the targets of s.
func (b *Bed) Targets(s mwid.ServiceName) []*Target { return b.targets[s] }

// Entries returns the entry addresses of all nodes.
func (b *Bed) Entries() []mwid.Address {
	var out []mwid.Address
	for _, t := range b.All() {
		out = append(out, t.Host.Entry())
	}
	return out
}

// EntriesOf returns the entry addresses of the nodes of s.
func (b *Bed) EntriesOf(s mwid.ServiceName) []mwid.Address {
	var out []mwid.Address
	for _, t := range b.targets[s] {
		out = append(out, t.Host.Entry())
	}
	return out
}

// Store returns the fake of the platform's store.
func (b *Bed) Store() *mwfakestore.Store { return b.store }

// Record returns the record of the calls that all backend servers ran.
func (b *Bed) Record() *mwfakeserver.Record { return b.record }

// Version returns the newest configuration version that was applied.
func (b *Bed) Version() mwid.Version { return b.version }

// errNotReady is returned by AwaitReady on a timeout.
var errNotReady = errors.New("not all nodes know all targets and the newest configuration")

// pollPeriod is the time between two checks of the nodes.
const pollPeriod = 10 * time.Millisecond

// AwaitReady waits until every node knows every target and has the newest
// configuration.
func (b *Bed) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	t := time.NewTicker(pollPeriod)
	defer t.Stop()
	for !b.ready() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("testbed: %w", errNotReady)
		}
	}
	return nil
}

func (b *Bed) ready() bool {
	for _, t := range b.All() {
		if !b.InForce(t) || !b.knowsAllTargets(t) {
			return false
		}
	}
	return true
}

// InForce reports whether t's node has the newest configuration.
func (b *Bed) InForce(t *Target) bool {
	s := t.Host.Kernel().Configuration().Snapshot()
	return s != nil && s.Version() >= b.version
}

func (b *Bed) knowsAllTargets(t *Target) bool {
	for s, ts := range b.targets {
		if len(t.Host.Kernel().Membership().Targets(s)) != len(ts) {
			return false
		}
	}
	return true
}
