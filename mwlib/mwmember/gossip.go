// Package mwmember knows the targets: the nodes of all availability zones
// and what their backend servers announced. Nodes gossip within their zone in
// the manner of SWIM; a few relays of each zone carry news between zones.
package mwmember

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// Gossip is one node's part in the membership; it implements
// mwkernel.Membership.
//
// Each node writes its own record, under an incarnation that only it raises.
// Others hold opinions of it: alive, suspect, dead. In each period a node
// pings one of a few neighbours in its zone's ring; where no answer comes,
// others ping on its behalf, and only then it is suspected, and is dead when
// it did not refute that in time. News is passed on at once to some
// neighbours and rides on pings after that; digests in pings find what was
// missed. Only a node's own zone decides on its death: where a whole zone
// can't be reached, its nodes stay known and are marked unreachable.
//
// What a node knows is sharded by node. The path of calls reads a view that
// never changes; a goroutine makes a new one after changes. All waits are on
// channels and timers.
type Gossip struct {
	options
	self   mwid.NodeID
	addr   mwid.Address
	tr     Transport
	stat   *stats
	table  *table
	making sync.Mutex // making lets one view be made at a time.
	view   atomic.Pointer[view]

	mu  sync.Mutex
	own Record // own is what this node says of itself.

	records  *queue[mwid.NodeID, Record]
	opinions *queue[mwid.NodeID, Opinion]
	reaches  *queue[mwid.NodeID, Reach]
	zones    *queue[mwid.ZoneName, Summary]
	// exports are news of the own zone that other zones have not got.
	exportRecords  *queue[mwid.NodeID, Record]
	exportOpinions *queue[mwid.NodeID, Opinion]

	reach     *mwshard.Map[mwid.NodeID, Reach]
	summaries *mwshard.Map[mwid.ZoneName, Summary]
	versions  *mwshard.Map[mwid.NodeID, mwid.Version]
	newest    newest
	version   atomic.Uint64 // version is in force here.
	slowness  slowness
	allowance *allowance
	changed   atomic.Int64 // changed is when the table changed last, Unix time in nanoseconds.
	differs   atomic.Int64 // differs is since when digests of others differ; 0 where they don't.

	started time.Time

	dirty chan struct{}     // dirty asks for a new view.
	wake  chan struct{}     // wake tells that there is fresh news.
	sync  chan mwid.Address // sync asks for an exchange.
}

// options are what Options change.
type options struct {
	zone    mwid.ZoneName
	region  mwid.RegionName
	join    []mwid.Address
	rows    mwstore.Table // rows holds the entry rows; nil for none.
	period  time.Duration
	rate    mwunit.Bytes
	log     *slog.Logger
	metrics *metrics.Set
}

// Option changes how New makes a Gossip.
type Option = mwoption.Option[options]

// Defaults of the options.
const (
	// DefaultPeriod is the time between two pings.
	DefaultPeriod = 500 * time.Millisecond
	// DefaultRate bounds news and exchanges, in bytes a second.
	DefaultRate mwunit.Bytes = 2048
)

// WithPlace sets where the node stands.
func WithPlace(z mwid.ZoneName, r mwid.RegionName) Option {
	return func(o *options) { o.zone, o.region = z, r }
}

// WithJoin sets the addresses of known nodes.
func WithJoin(as ...mwid.Address) Option { return func(o *options) { o.join = as } }

// WithTable sets the table that holds the entry rows.
func WithTable(t mwstore.Table) Option { return func(o *options) { o.rows = t } }

// WithPeriod sets the time between two pings.
func WithPeriod(d time.Duration) Option { return func(o *options) { o.period = d } }

// WithRate bounds news and exchanges, in bytes a second.
func WithRate(b mwunit.Bytes) Option { return func(o *options) { o.rate = b } }

// WithLog sets where the Gossip logs.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithMetrics sets where the Gossip counts.
func WithMetrics(m *metrics.Set) Option { return func(o *options) { o.metrics = m } }

// New returns a running Gossip of the node self over tr. The returned
// function ends it and tells neighbours that the node is gone.
func New(self mwid.NodeID, tr Transport, opts ...Option) (*Gossip, func(), error) {
	o := options{
		period: DefaultPeriod, rate: DefaultRate,
		log: slog.Default(), metrics: metrics.NewSet(),
	}
	mwoption.Apply(&o, opts...)
	g := newGossip(self, tr, o)
	if err := tr.Serve(g); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	run := func(f func(context.Context)) { wg.Go(func() { f(ctx) }) }
	run(g.buildViews)
	run(g.passOn)
	run(g.probeInTurn)
	run(g.exchangeOnDemand)
	run(g.joinAndEnter)
	run(newRelay(g).run)
	return g, func() {
		cancel()
		wg.Wait()
		g.sayGone()
	}, nil
}

func newGossip(self mwid.NodeID, tr Transport, o options) *Gossip {
	g := &Gossip{
		options: o, self: self, addr: addressOf(self), tr: tr,
		stat: newStats(o.metrics), table: newTable(),
		own:     Record{Node: self, Zone: o.zone, Region: o.region, Incarnation: 1},
		records: newQueue[mwid.NodeID, Record](), opinions: newQueue[mwid.NodeID, Opinion](),
		reaches: newQueue[mwid.NodeID, Reach](), zones: newQueue[mwid.ZoneName, Summary](),
		exportRecords: newQueue[mwid.NodeID, Record](), exportOpinions: newQueue[mwid.NodeID, Opinion](),
		reach:     mwshard.New[mwid.NodeID, Reach](1),
		summaries: mwshard.New[mwid.ZoneName, Summary](1),
		versions:  mwshard.New[mwid.NodeID, mwid.Version](mwshard.DefaultShards),
		allowance: newAllowance(o.rate),
		started:   time.Now(),
		newest:    newest{ch: make(chan struct{}, 1)},
		dirty:     make(chan struct{}, 1),
		wake:      make(chan struct{}, 1),
		sync:      make(chan mwid.Address, 1),
	}
	g.table.record(g.own, time.Now())
	g.rebuild()
	return g
}

// signal wakes the reader of ch; a signal that is still there is enough.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// How often views are made.
const (
	// viewGap is the least time between two views.
	viewGap = 20 * time.Millisecond
	// viewShare is the part of the time that may go into making views: one
	// in viewShare.
	viewShare = 50
	// maxViewGap is the greatest time between two views, where a node is
	// short of time.
	maxViewGap = 500 * time.Millisecond
)

// buildViews makes a new view after changes.
func (g *Gossip) buildViews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.dirty:
		}
		begin := time.Now()
		g.rebuild()
		if !mwtimer.Sleep(ctx, min(max(viewGap, viewShare*time.Since(begin)), maxViewGap)) {
			return
		}
	}
}

// rebuild makes a new view.
func (g *Gossip) rebuild() {
	g.making.Lock()
	defer g.making.Unlock()
	g.view.Store(newView(g.table.all(), g.view.Load(), g.isAway))
}

// touch notes that the table changed.
func (g *Gossip) touch() {
	g.changed.Store(time.Now().UnixNano())
	signal(g.dirty)
}

// home returns the view of the own zone.
func (g *Gossip) home() *zoneView { return g.view.Load().zones[g.zone] }

// Targets returns the known targets of s.
func (g *Gossip) Targets(s mwid.ServiceName) []mwcall.Target { return g.view.Load().targets[s] }

// Services returns the names of all known services.
func (g *Gossip) Services() []mwid.ServiceName { return g.view.Load().services }

// Announce makes this VM's backend server known to others.
func (g *Gossip) Announce(a mwcall.Announcement) {
	s := Service{Name: a.Service, Slots: a.Slots, Connections: a.Connections, Labels: a.Labels, Leaving: a.Leaving}
	g.publish(func(r *Record) bool {
		i := slices.IndexFunc(r.Services, func(x Service) bool { return x.Name == s.Name })
		if i < 0 {
			r.Services = append(r.Services, s)
			return true
		}
		if r.Services[i].equal(s) {
			return false
		}
		r.Services[i] = s
		return true
	})
}

// Withdraw makes known that the backend server is gone.
func (g *Gossip) Withdraw(s mwid.ServiceName) {
	g.publish(func(r *Record) bool {
		n := len(r.Services)
		r.Services = slices.DeleteFunc(r.Services, func(x Service) bool { return x.Name == s })
		return len(r.Services) != n
	})
}

// Leave makes known that this node takes no new work.
func (g *Gossip) Leave() {
	g.publish(func(r *Record) bool {
		old := r.Leaving
		r.Leaving = true
		return !old
	})
}

// publish changes the own record by f and passes it on where f says so.
func (g *Gossip) publish(f func(*Record) bool) {
	g.mu.Lock()
	r := g.own
	r.Services = slices.Clone(r.Services)
	if !f(&r) {
		g.mu.Unlock()
		return
	}
	r.Incarnation++
	g.own = r
	g.mu.Unlock()
	g.takeRecord(r)
}

// refute answers an opinion of this node by a greater incarnation.
func (g *Gossip) refute(o Opinion) {
	g.publish(func(r *Record) bool {
		if o.Incarnation < r.Incarnation {
			return false
		}
		r.Incarnation = o.Incarnation
		return true
	})
}

// Peers returns the addresses of up to n random live nodes, own zone first.
func (g *Gossip) Peers(n int) []mwid.Address {
	v := g.view.Load()
	out := g.pick(v.zones[g.zone].usable, n)
	for _, name := range shuffled(v.names) {
		if z := v.zones[name]; len(out) < n && name != g.zone && !z.away {
			out = append(out, g.pick(z.usable, n-len(out))...)
		}
	}
	return out
}
