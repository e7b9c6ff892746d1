// Package mwclaim ensures that calls that must not be repeated run at most once. A
// claim grants one attempt the right to run the call of a key. The claim is
// written to the platform's table before the call is sent to the backend server.
// Another attempt can claim the key only after the claimant recorded that it did
// not run the call.
//
// The package registers itself as the ledger "table" of the kernel. It can also
// be used without the kernel, through New and Ledger.Claim. All ledgers that claim
// the same keys must use the same table.
package mwclaim

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwpanic"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwstoreclient"
	"mustardwheel.example/mwlib/mwunit"
)

// Ledger grants claims and stores them in the platform's table.
//
// A claim is one row, written on the condition that the key has no row yet or
// one in state NotRun. The table decides every race, so safety depends on no
// clock, lease or other node. If the answer to a write is lost, the claimant reads
// the row back and recognizes its own write by its claimant ID. A write may also
// take effect late. A claimant that gives up therefore records that it did not
// run, which makes its late write fail.
//
// Rows are written by lanes. A lane is a goroutine that writes many rows in one
// transaction; the hash of a row's key selects its lane.
type Ledger struct {
	o      options
	store  mwstore.Store
	stat   *stats
	lanes  []*lane
	write  writeFunc
	settle *settler
}

// writeFunc writes one row, with the results and errors of lane.write.
type writeFunc func(context.Context, Put) (mwid.Revision, error)

var _ mwkernel.Ledger = (*Ledger)(nil)

// options are the settings of New.
type options struct {
	node     mwid.NodeID
	log      *slog.Logger
	metrics  *metrics.Set
	panics   *mwpanic.Recorder
	runFirst bool
	window   time.Duration
	timeout  time.Duration
	batch    int
	lanes    int
	inline   mwunit.Bytes
	group    groupOptions
}

// Option configures New.
type Option = mwoption.Option[options]

// WithNode sets the node that is stored in records as the claimant's node.
func WithNode(n mwid.NodeID) Option { return func(o *options) { o.node = n } }

// WithLog sets the logger. The default is slog.Default().
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithMetrics sets the metrics set for the Ledger's counters.
func WithMetrics(s *metrics.Set) Option { return func(o *options) { o.metrics = s } }

// WithPanics sets the Recorder of panics in writes for other nodes.
func WithPanics(r *mwpanic.Recorder) Option { return func(o *options) { o.panics = r } }

// WithRunFirst makes the Ledger let first attempts run without a claim while the
// table is unavailable. All ledgers of one table must use the same setting.
func WithRunFirst(b bool) Option { return func(o *options) { o.runFirst = b } }

// WithWindow sets the minimum time that a row waits for other rows to share its
// transaction.
func WithWindow(d time.Duration) Option { return func(o *options) { o.window = d } }

// WithTimeout sets the timeout of one transaction.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithBatch sets the maximum number of rows in one transaction.
func WithBatch(n int) Option { return func(o *options) { o.batch = n } }

// WithLanes sets the maximum number of transactions in flight.
func WithLanes(n int) Option { return func(o *options) { o.lanes = n } }

// WithInline sets the maximum size of an answer that is stored in the table.
// Larger answers are stored as objects.
func WithInline(n mwunit.Bytes) Option { return func(o *options) { o.inline = n } }

// Default settings.
const (
	defaultWindow               = 5 * time.Millisecond
	defaultTimeout              = 2 * time.Second
	defaultBatch                = 64
	defaultLanes                = 2
	defaultInline  mwunit.Bytes = 4 << 10
)

// New returns a Ledger that stores claims in s. If s is nil, the table is treated
// as always unavailable. The returned function stops the Ledger; call it when no
// claim is in use any more. New fails only if WithGroup is given and the service
// for the group can't be registered with the peers.
func New(s mwstore.Store, opts ...Option) (*Ledger, func(), error) {
	o := options{
		log: slog.Default(), metrics: metrics.NewSet(), window: defaultWindow,
		timeout: defaultTimeout, batch: defaultBatch, lanes: defaultLanes, inline: defaultInline,
	}
	mwoption.Apply(&o, opts...)
	l := &Ledger{o: o, store: s, stat: newStats(o.metrics)}
	if s == nil {
		l.store = noStore{}
	}
	var stops []func()
	for range max(1, o.lanes) {
		n, stop := newLane(l.store, o, l.stat)
		l.lanes = append(l.lanes, n)
		stops = append(stops, stop)
	}
	l.write = l.writeLocal
	var stop func()
	l.settle, stop = newSettler(l)
	stops = append(stops, stop)
	stopAll := func() {
		for _, f := range slices.Backward(stops) {
			f()
		}
	}
	if o.group.writers < 1 {
		return l, stopAll, nil
	}
	g, err := newGroup(l, o.group)
	if err != nil {
		stopAll()
		return nil, nil, err
	}
	l.write = g.write
	return l, stopAll, nil
}

// writeLocal writes p through the lane of its row.
func (l *Ledger) writeLocal(ctx context.Context, p Put) (mwid.Revision, error) {
	n := xxhash.Sum64String(string(p.Key)) % uint64(len(l.lanes))
	return l.lanes[n].write(ctx, p)
}

// read returns the record of a row. ok is false if there is no row.
func (l *Ledger) read(ctx context.Context, k mwstore.Key) (r Record, rev mwid.Revision, ok bool, err error) {
	row, err := l.store.Get(ctx, k)
	if mwcode.CodeOf(err) == mwcode.NotFound {
		return r, 0, false, nil
	}
	if err != nil {
		return r, 0, false, err
	}
	r, err = DecodeRecord(row.Value)
	return r, row.Revision, err == nil, err
}

// Claim claims c.Key for c.Attempt, as specified by mwkernel.Ledger. If the table
// is unavailable, it returns mwcode.ClaimsAway only if c.First is set. Otherwise
// an earlier attempt may have run, and the code is mwcode.ClaimUnknown.
func (l *Ledger) Claim(ctx context.Context, c *mwcall.Call) (mwkernel.Claim, error) {
	cl := newClaim(l, c)
	err := cl.acquire(mwstoreclient.WithUse(ctx, mwstoreclient.Claims))
	l.count(cl, err)
	if err != nil {
		return nil, err
	}
	return cl, nil
}

func (l *Ledger) count(cl *claim, err error) {
	switch mwcode.CodeOf(err) {
	case mwcode.OK:
		l.countGranted(cl)
	case mwcode.ClaimsAway:
		l.stat.unavailable.Inc()
	case mwcode.Held:
		l.stat.held.Inc()
	case mwcode.KeyReused:
		l.stat.reused.Inc()
	default:
		l.stat.unknown.Inc()
	}
}

func (l *Ledger) countGranted(cl *claim) {
	switch {
	case cl.hasAnswer:
		l.stat.replayed.Inc()
	case cl.withoutRow:
		l.stat.runFirst.Inc()
	default:
		l.stat.granted.Inc()
	}
}

// noStore is a store that is always unavailable.
type noStore struct{}

var errNoStore = mwcode.New(mwcode.StoreAway, mwcode.Wrap(errors.New("no store configured")))

func (noStore) Get(context.Context, mwstore.Key) (mwstore.Row, error) {
	return mwstore.Row{}, errNoStore
}

func (noStore) Scan(context.Context, mwstore.Key, mwstore.Key, int) ([]mwstore.Row, error) {
	return nil, errNoStore
}

func (noStore) Commit(context.Context, mwstore.Txn) (mwstore.Receipt, error) {
	return mwstore.Receipt{}, errNoStore
}

func (noStore) PutObject(context.Context, mwstore.Key, []byte) error { return errNoStore }

func (noStore) GetObject(context.Context, mwstore.Key) ([]byte, error) { return nil, errNoStore }
