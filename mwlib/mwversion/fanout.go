// Package mwversion brings the newest configuration to every node: a few
// pollers of each zone read it from the platform's table, and nodes fetch it
// from each other.
package mwversion

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwstore"
)

// Fanout holds the configuration in force at one node; it implements
// mwkernel.Configuration.
//
// The membership's messages carry versions only. A node that hears of a
// higher version fetches the changes from a node that has it, and is then
// heard of itself, so that a change crosses the system as a wave and each
// node fetches it once. A node that missed the wave sees the version in the
// next ping it gets.
//
// Whatever a source says, one function alone replaces what is in force, and
// it takes nothing that isn't higher, has a gap before it, or doesn't
// compile.
type Fanout struct {
	options
	member mwkernel.Membership
	peers  mwkernel.Peers
	stat   *stats
	cur    atomic.Pointer[mwconfig.Snapshot]

	mu     sync.Mutex // mu orders replacements; reading needs only cur.
	recent []mwconfig.Change
}

// options are what Options change.
type options struct {
	source  Source
	store   mwstore.Store
	poll    time.Duration
	log     *slog.Logger
	metrics *metrics.Set
}

// Option changes how New makes a Fanout.
type Option = mwoption.Option[options]

// DefaultPoll is the time between two reads of a poller.
const DefaultPoll = time.Second

// WithStore sets the store that pollers read.
func WithStore(s mwstore.Store) Option { return func(o *options) { o.store = s } }

// WithSource sets a source that is followed in place of the store.
func WithSource(s Source) Option { return func(o *options) { o.source = s } }

// WithPoll sets the time between two reads of a poller.
func WithPoll(d time.Duration) Option { return func(o *options) { o.poll = d } }

// WithLog sets where the Fanout logs.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithMetrics sets where the Fanout counts.
func WithMetrics(m *metrics.Set) Option { return func(o *options) { o.metrics = m } }

// New returns a running Fanout that hears of versions through m and fetches
// them over p. The returned function ends it.
func New(m mwkernel.Membership, p mwkernel.Peers, opts ...Option) (*Fanout, func(), error) {
	o := options{poll: DefaultPoll, log: slog.Default(), metrics: metrics.NewSet()}
	mwoption.Apply(&o, opts...)
	f := &Fanout{options: o, member: m, peers: p, stat: newStats(o.metrics)}
	if err := p.Handle(rpcName, &handler{f}); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.follow(ctx) })
	switch {
	case f.source != nil:
		wg.Go(func() { f.source.Follow(ctx, f) })
	case f.store != nil:
		wg.Go(func() { f.pollInTurn(ctx) })
	}
	return f, func() {
		cancel()
		wg.Wait()
	}, nil
}

// Snapshot returns the configuration in force, or nil where the node has
// none yet.
func (f *Fanout) Snapshot() *mwconfig.Snapshot { return f.cur.Load() }
