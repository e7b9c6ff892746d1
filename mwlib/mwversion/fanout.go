// Package mwversion distributes the configuration to every node. A few nodes
// of each availability zone poll the platform's table, or follow the Source
// that replaces it; all other nodes fetch new versions from their peers, so
// that the load on the table does not grow with the number of nodes.
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
	"mustardwheel.example/mwlib/mwlog"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwpanic"
	"mustardwheel.example/mwlib/mwstore"
)

// Fanout holds the configuration in force at one node, keeps it up to date and
// serves it to other nodes. It implements mwkernel.Configuration.
//
// Membership messages carry only version numbers. A node that learns of a
// higher version fetches the changes from a node that already has them, and
// then advertises that version itself. A change thus spreads through the
// system from node to node, and each node fetches it once. A node that missed
// the advertisement learns of the version from the next ping it receives.
//
// Only the method replace changes the configuration in force, whatever the
// source. A configuration is rejected if its version is not higher than the
// one in force, if an earlier change is missing, or if it does not compile.
type Fanout struct {
	options
	member mwkernel.Membership
	peers  mwkernel.Peers
	stat   *stats
	cur    atomic.Pointer[mwconfig.Snapshot]

	started     time.Time
	lastDuty    atomic.Int32 // the last result of Duty
	fetchFailed atomic.Bool  // whether the last fetch from another node failed
	fetchLines  *mwlog.Limiter

	mu     sync.Mutex // serializes replacements; readers need only cur
	recent []mwconfig.Change
}

// options holds the values that an Option can set.
type options struct {
	source  Source
	store   mwstore.Store
	poll    time.Duration
	log     *slog.Logger
	metrics *metrics.Set
	panics  *mwpanic.Recorder
}

// Option sets an optional parameter of New.
type Option = mwoption.Option[options]

// DefaultPoll is the default interval between two polls of the store.
const DefaultPoll = time.Second

// WithStore sets the store to poll.
func WithStore(s mwstore.Store) Option { return func(o *options) { o.store = s } }

// WithSource sets a source to follow instead of the store.
func WithSource(s Source) Option { return func(o *options) { o.source = s } }

// WithPoll sets the interval between two polls of the store.
func WithPoll(d time.Duration) Option { return func(o *options) { o.poll = d } }

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithMetrics sets the metrics set that holds the counters.
func WithMetrics(m *metrics.Set) Option { return func(o *options) { o.metrics = m } }

// WithPanics sets the Recorder of panics in background work.
func WithPanics(r *mwpanic.Recorder) Option { return func(o *options) { o.panics = r } }

// New returns a running Fanout that learns of versions through m and fetches
// configurations through p. The returned function stops it.
func New(m mwkernel.Membership, p mwkernel.Peers, opts ...Option) (*Fanout, func(), error) {
	o := options{poll: DefaultPoll, log: slog.Default(), metrics: metrics.NewSet()}
	mwoption.Apply(&o, opts...)
	f := &Fanout{options: o, member: m, peers: p, stat: newStats(o.metrics), started: time.Now(),
		fetchLines: mwlog.NewLimiter(1)}
	o.metrics.GetOrCreateGauge("mw_config_newest_version", func() float64 {
		v, _ := m.Newest()
		return float64(v)
	})
	if err := p.Handle(rpcName, &handler{f}); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	run := func(loop func(context.Context)) { wg.Go(func() { f.panics.Keep(ctx, "configuration", loop) }) }
	run(f.fetchLoop)
	switch {
	case f.source != nil:
		run(func(ctx context.Context) { f.source.Follow(ctx, f) })
	case f.store != nil:
		run(f.pollLoop)
	}
	return f, func() {
		cancel()
		wg.Wait()
	}, nil
}

// Snapshot returns the configuration in force, or nil if the node has none
// yet.
func (f *Fanout) Snapshot() *mwconfig.Snapshot { return f.cur.Load() }
