// Package mwmember maintains the membership: the set of nodes in all
// availability zones and the services that their backend servers announced.
// Nodes of a zone exchange state by a gossip protocol that follows SWIM. A few
// relays per zone exchange it with other zones.
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
	"mustardwheel.example/mwlib/mwlog"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwpanic"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// Gossip is the membership of one node; it implements mwkernel.Membership.
//
// Only the node itself writes its Record and raises its Incarnation. Other
// nodes hold an Opinion of it: alive, suspect or dead. The nodes of a zone form a
// ring, ordered by the hashes of their IDs. In each period a node pings one of a
// few neighbours on the ring. If the neighbour does not answer, other nodes ping
// it on behalf of the first. If none of them gets an answer, the neighbour
// becomes suspect, and it is declared dead unless it refutes the suspicion in
// time.
//
// An update is sent to some neighbours at once and is piggybacked on later
// pings. Pings also carry a digest of the table, which reveals updates that
// were missed. Only nodes of the same zone declare a node dead: if a whole zone
// can't be reached, its nodes stay known and are marked unreachable.
//
// The table of nodes is sharded by node. The request path reads an immutable
// view, which a goroutine rebuilds after changes. All waits are on channels and
// timers.
type Gossip struct {
	options
	self    mwid.NodeID
	addr    mwid.Address
	tr      Transport
	stat    *stats
	table   *table
	buildMu sync.Mutex // serializes the rebuilding of view
	view    atomic.Pointer[view]

	mu  sync.Mutex
	own Record // the Record of this node

	recordQueue  *queue[mwid.NodeID, Record]
	opinionQueue *queue[mwid.NodeID, Opinion]
	reachQueue   *queue[mwid.NodeID, Reach]
	summaryQueue *queue[mwid.ZoneName, Summary]
	// Updates of this node's zone that are to be sent to other zones.
	exportRecords  *queue[mwid.NodeID, Record]
	exportOpinions *queue[mwid.NodeID, Opinion]

	reach        *mwshard.Map[mwid.NodeID, Reach]
	summaries    *mwshard.Map[mwid.ZoneName, Summary]
	versions     *mwshard.Map[mwid.NodeID, mwid.Version]
	newest       newest
	watch        watch
	version      atomic.Uint64 // configuration version in force at this node
	slowness     slowness
	allowance    *allowance
	deathLines   *mwlog.Limiter
	invalidLines *mwlog.Limiter
	lastChange   atomic.Int64 // time of the last change of the table, Unix time in nanoseconds
	differsSince atomic.Int64 // time since which a peer's digest differs, Unix time in nanoseconds; 0 if it does not

	started time.Time

	dirty        chan struct{}     // requests a rebuild of view
	wake         chan struct{}     // signals that updates are queued
	exchangeWith chan mwid.Address // requests an exchange with the node at the address
}

// options are the settings that an Option changes.
type options struct {
	zone    mwid.ZoneName
	region  mwid.RegionName
	join    []mwid.Address
	rows    mwstore.Table // store table that holds the entry rows; nil if there is none
	spread  time.Duration // maximum random delay of the first attempt to join
	period  time.Duration
	rate    mwunit.Bytes
	log     *slog.Logger
	metrics *metrics.Set
	panics  *mwpanic.Recorder
}

// Option changes a setting of the Gossip that New returns.
type Option = mwoption.Option[options]

// Defaults of the options.
const (
	// DefaultPeriod is the time between two pings.
	DefaultPeriod = 500 * time.Millisecond
	// DefaultRate limits updates and exchanges, in bytes per second.
	DefaultRate mwunit.Bytes = 2048
)

// WithPlace sets the availability zone and the region of the node.
func WithPlace(z mwid.ZoneName, r mwid.RegionName) Option {
	return func(o *options) { o.zone, o.region = z, r }
}

// WithJoin sets the addresses of nodes through which to join.
func WithJoin(as ...mwid.Address) Option { return func(o *options) { o.join = as } }

// WithTable sets the store table that holds the entry rows.
func WithTable(t mwstore.Table) Option { return func(o *options) { o.rows = t } }

// WithSpread delays the first attempt to join by a random part of d. If all nodes
// of a new system start at once, the first of them write entry rows in this time
// and the others find one at their first attempt.
func WithSpread(d time.Duration) Option { return func(o *options) { o.spread = d } }

// WithPeriod sets the time between two pings.
func WithPeriod(d time.Duration) Option { return func(o *options) { o.period = d } }

// WithRate limits updates and exchanges, in bytes per second.
func WithRate(b mwunit.Bytes) Option { return func(o *options) { o.rate = b } }

// WithLog sets the logger. The default is slog.Default.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithMetrics sets the set in which metrics are registered.
func WithMetrics(m *metrics.Set) Option { return func(o *options) { o.metrics = m } }

// WithPanics sets the Recorder of panics in background work.
func WithPanics(r *mwpanic.Recorder) Option { return func(o *options) { o.panics = r } }

// New returns a running Gossip of the node self over tr. The returned function
// stops it and notifies neighbours of the departure of the node.
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
	run := func(f func(context.Context)) { wg.Go(func() { g.panics.Keep(ctx, "membership", f) }) }
	run(g.buildViews)
	run(g.disseminate)
	run(g.probeNeighbours)
	run(g.exchangeOnDemand)
	run(g.joinAndMaintain)
	run(newRelay(g).run)
	return g, func() {
		cancel()
		wg.Wait()
		g.announceDeparture()
	}, nil
}

func newGossip(self mwid.NodeID, tr Transport, o options) *Gossip {
	g := &Gossip{
		options: o, self: self, addr: addressOf(self), tr: tr,
		stat: newStats(o.metrics), table: newTable(),
		own:         Record{Node: self, Zone: o.zone, Region: o.region, Incarnation: 1},
		recordQueue: newQueue[mwid.NodeID, Record](), opinionQueue: newQueue[mwid.NodeID, Opinion](),
		reachQueue: newQueue[mwid.NodeID, Reach](), summaryQueue: newQueue[mwid.ZoneName, Summary](),
		exportRecords: newQueue[mwid.NodeID, Record](), exportOpinions: newQueue[mwid.NodeID, Opinion](),
		reach:        mwshard.New[mwid.NodeID, Reach](1),
		summaries:    mwshard.New[mwid.ZoneName, Summary](1),
		versions:     mwshard.New[mwid.NodeID, mwid.Version](mwshard.DefaultShards),
		allowance:    newAllowance(o.rate),
		deathLines:   mwlog.NewLimiter(maxDeathLines),
		invalidLines: mwlog.NewLimiter(1),
		started:      time.Now(),
		newest:       newest{changed: make(chan struct{}, 1)},
		dirty:        make(chan struct{}, 1),
		wake:         make(chan struct{}, 1),
		exchangeWith: make(chan mwid.Address, 1),
	}
	g.table.putRecord(g.own, time.Now())
	g.rebuild()
	return g
}

// signal wakes the reader of ch. It does nothing if a signal is pending.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// maxDeathLines is the maximum number of log lines about dead nodes in a second.
const maxDeathLines = 5

// Limits on the rate at which views are rebuilt.
const (
	// minViewInterval is the minimum pause after a rebuild.
	minViewInterval = 20 * time.Millisecond
	// viewShare limits rebuilds to 1/viewShare of the time.
	viewShare = 50
	// maxViewInterval is the maximum pause after a rebuild. It limits the pause
	// that follows from viewShare on a node that is short of processor time.
	maxViewInterval = 500 * time.Millisecond
)

// buildViews rebuilds the view after changes of the table.
func (g *Gossip) buildViews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.dirty:
		}
		begin := time.Now()
		g.rebuild()
		if !mwtimer.Sleep(ctx, min(max(minViewInterval, viewShare*time.Since(begin)), maxViewInterval)) {
			return
		}
	}
}

// rebuild replaces the view by one built from the current table.
func (g *Gossip) rebuild() {
	g.buildMu.Lock()
	defer g.buildMu.Unlock()
	g.view.Store(newView(g.table.all(), g.view.Load(), g.isUnreachable))
}

// markChanged records that the table changed and requests a rebuild of the
// view.
func (g *Gossip) markChanged() {
	g.lastChange.Store(time.Now().UnixNano())
	signal(g.dirty)
}

// ownZone returns the view of this node's zone.
func (g *Gossip) ownZone() *zoneView { return g.view.Load().zones[g.zone] }

// Targets returns the known targets of s.
func (g *Gossip) Targets(s mwid.ServiceName) []mwcall.Target { return g.view.Load().targets[s] }

// Services returns the names of all known services.
func (g *Gossip) Services() []mwid.ServiceName { return g.view.Load().services }

// Announce publishes the service of this VM's backend server.
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

// Withdraw publishes that this VM no longer serves s.
func (g *Gossip) Withdraw(s mwid.ServiceName) {
	g.publish(func(r *Record) bool {
		n := len(r.Services)
		r.Services = slices.DeleteFunc(r.Services, func(x Service) bool { return x.Name == s })
		return len(r.Services) != n
	})
}

// Leave publishes that this node accepts no new work.
func (g *Gossip) Leave() {
	g.publish(func(r *Record) bool {
		old := r.Leaving
		r.Leaving = true
		return !old
	})
}

// publish applies f to this node's record and, if f reports a change, raises the
// incarnation and queues the record.
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
	g.applyRecord(r)
}

// refute publishes a greater incarnation than that of o, an opinion about this
// node, unless this node's incarnation is already greater.
func (g *Gossip) refute(o Opinion) {
	g.publish(func(r *Record) bool {
		if o.Incarnation < r.Incarnation {
			return false
		}
		r.Incarnation = o.Incarnation
		return true
	})
}

// Peers returns the addresses of up to n random nodes that are neither suspect
// nor leaving: first those of this node's zone, then those of other reachable
// zones.
func (g *Gossip) Peers(n int) []mwid.Address {
	v := g.view.Load()
	out := g.pickRandom(v.zones[g.zone].usable, n)
	for _, name := range shuffled(v.names) {
		if z := v.zones[name]; len(out) < n && name != g.zone && !z.unreachable {
			out = append(out, g.pickRandom(z.usable, n-len(out))...)
		}
	}
	return out
}
