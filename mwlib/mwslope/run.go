package mwslope

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcluster"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwmember"
	"mustardwheel.example/mwlib/mwmemnet"
	"mustardwheel.example/mwlib/mwoperator"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// options are the parameters of Run.
type options struct {
	zones   int
	regions int
	measure time.Duration
	changes time.Duration
	restart time.Duration
	docs    int
}

// Option configures Run.
type Option = mwoption.Option[options]

// WithZones sets the number of availability zones.
func WithZones(n int) Option { return func(o *options) { o.zones = n } }

// WithMeasure sets the duration of the measurement of the steady state.
func WithMeasure(d time.Duration) Option { return func(o *options) { o.measure = d } }

// WithChanges sets the time between two changes of the configuration; 0 means
// no changes.
func WithChanges(d time.Duration) Option { return func(o *options) { o.changes = d } }

// WithRestarts sets the time between two restarts of a node; 0 means no
// restarts. In a restart a node leaves, stops and starts with another boot id.
func WithRestarts(d time.Duration) Option { return func(o *options) { o.restart = d } }

// WithDocuments sets the number of documents in the configuration.
func WithDocuments(n int) Option { return func(o *options) { o.docs = n } }

// Defaults of the options, and parameters of a run.
const (
	DefaultZones     = 2
	DefaultRegions   = 5
	DefaultMeasure   = 10 * time.Second
	DefaultChanges   = 4300 * time.Millisecond // 20,000 changes per day
	DefaultDocs      = 100
	joinTimeout      = 2 * time.Minute
	inForceTimeout   = 30 * time.Second
	pollInterval     = 10 * time.Millisecond
	settlePeriod     = 3 * time.Second
	maxSettlePeriods = 30
	settledRatio     = 0.95 // traffic of a period relative to the previous one, above which start-up traffic has ceased
	startBatch       = 16
	startBatchGap    = 100 * time.Millisecond
)

// run is the state of one measurement.
type run struct {
	options
	cluster *mwcluster.Cluster
	op      *mwoperator.Operator
	report  Report
}

// Run measures the control plane of n nodes in this process. The nodes
// communicate over a simulated network with the latencies of
// mwmemnet.Latency. Run uses the real clock, not virtual time.
func Run(ctx context.Context, n int, opts ...Option) (Report, error) {
	o := options{
		zones: DefaultZones, regions: DefaultRegions, measure: DefaultMeasure,
		changes: DefaultChanges, docs: DefaultDocs,
	}
	mwoption.Apply(&o, opts...)
	o.zones = min(o.zones, n)
	cl, stop := mwcluster.New()
	defer stop()
	r := &run{options: o, cluster: cl, op: mwoperator.New(cl.Store)}
	r.report.Nodes, r.report.Zones = mwunit.Nodes(n), o.zones
	for _, step := range []func(context.Context) error{r.writeDocuments, r.start, r.settle, r.measureAll} {
		if err := step(ctx); err != nil {
			return r.report, err
		}
	}
	return r.report, nil
}

// writeDocuments writes the documents of the configuration.
func (r *run) writeDocuments(ctx context.Context) error {
	var edits []mwoperator.Edit
	for i := range r.docs {
		edits = append(edits, mwoperator.Edit{Document: r.document(i, 0)})
	}
	if len(edits) == 0 {
		return nil
	}
	_, err := r.op.Apply(ctx, mwid.NewOperationID(), "mwslope", edits)
	return err
}

// document returns document i with importance n.
func (r *run) document(i, n int) mwconfig.Document {
	return mwconfig.Document{
		Kind: mwconfig.KindPolicy, Name: mwconfig.DocumentName(fmt.Sprint("policy-", i)),
		Spec: json.RawMessage(fmt.Sprintf(`{"Rank":%d,"Importance":%d,"Repeatable":true,"Deadline":"2s"}`, i, n)),
	}
}

// place returns the address, zone and region of node i.
func (r *run) place(i int) mwmemnet.Place {
	p := mwcluster.PlaceOf(i%r.zones, i/r.zones)
	p.Region = mwid.RegionName(fmt.Sprint("region-", i%r.zones%r.regions))
	return p
}

// start starts all nodes in batches, waits until they have joined, and measures
// their memory and goroutines.
func (r *run) start(ctx context.Context) error {
	before, goroutines := heap(), runtime.NumGoroutine()
	begin := time.Now()
	for i := range int(r.report.Nodes) {
		if err := r.startNode(r.place(i)); err != nil {
			return err
		}
		if i%startBatch == startBatch-1 {
			if err := pause(ctx, startBatchGap); err != nil {
				return err
			}
		}
	}
	if err := r.waitForAll(ctx, joinTimeout, func(n *mwcluster.Node) bool {
		return n.CountLive() == int(r.report.Nodes) && n.Version() > 0
	}); err != nil {
		return err
	}
	r.report.Joined = time.Since(begin)
	if err := pause(ctx, settlePeriod); err != nil {
		return err
	}
	r.report.Memory = (heap() - before) / mwunit.Bytes(r.report.Nodes)
	r.report.Goroutines = (runtime.NumGoroutine() - goroutines) / int(r.report.Nodes)
	return nil
}

func (r *run) startNode(p mwmemnet.Place) error {
	_, err := r.cluster.Start(p, mwmember.WithJoin(r.place(0).Address, r.place(1).Address))
	return err
}

// settle waits until the traffic caused by the start has ceased. This is taken to
// be the case once traffic no longer decreases, that is, once the traffic of one
// settlePeriod exceeds settledRatio times that of the previous one. settle waits
// for at most maxSettlePeriods and then returns nil as well.
func (r *run) settle(ctx context.Context) error {
	before, last := r.sent(), mwunit.Bytes(0)
	for i := range maxSettlePeriods {
		if err := pause(ctx, settlePeriod); err != nil {
			return err
		}
		now := r.sent()
		if i > 0 && float64(now-before) > settledRatio*float64(last) {
			return nil
		}
		before, last = now, now-before
	}
	return nil
}

// sent returns the bytes that all nodes have sent so far.
func (r *run) sent() mwunit.Bytes {
	var sum mwunit.Bytes
	for _, n := range r.cluster.Nodes() {
		sum += n.Peer.Traffic().Sent
	}
	return sum
}

// heap returns the size of the live heap.
func heap() mwunit.Bytes {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return mwunit.Bytes(m.HeapAlloc)
}

// pause waits for d, or returns an error once ctx is done.
func pause(ctx context.Context, d time.Duration) error {
	if !mwtimer.Sleep(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}

// waitForAll waits until ok holds for all nodes, for at most limit.
func (r *run) waitForAll(ctx context.Context, limit time.Duration, ok func(*mwcluster.Node) bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, n := range r.cluster.Nodes() {
		for !ok(n) {
			if err := pause(ctx, pollInterval); err != nil {
				return fmt.Errorf("mwslope: waiting for node %s: %w", n.ID, err)
			}
		}
	}
	return nil
}

// measureAll measures the steady state under changes and restarts.
func (r *run) measureAll(ctx context.Context) error {
	nodes := r.cluster.Nodes()
	before := trafficByNode(nodes)
	cpu, begin := processorTime(), time.Now()
	if err := r.load(ctx, begin); err != nil {
		return err
	}
	r.report.Measured = time.Since(begin)
	r.report.Core = mwunit.Ratio((processorTime() - cpu).Seconds() / r.report.Measured.Seconds() / float64(r.report.Nodes))
	r.report.Roles = roles(nodes, before, trafficByNode(nodes), r.report.Measured)
	return nil
}

// load makes changes and restarts when they are due, until the time for the
// measurement has passed.
func (r *run) load(ctx context.Context, begin time.Time) error {
	nextChange, nextRestart := begin, begin.Add(r.restart/2)
	for i := 0; time.Since(begin) < r.measure; i++ {
		now := time.Now()
		if r.changes > 0 && !now.Before(nextChange) {
			nextChange = nextChange.Add(r.changes)
			if err := r.change(ctx, i); err != nil {
				return err
			}
		}
		if r.restart > 0 && !now.Before(nextRestart) {
			nextRestart = nextRestart.Add(r.restart)
			if err := r.restartOne(ctx, i); err != nil {
				return err
			}
		}
		if err := pause(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// change changes one document and waits until the change is in force on all
// nodes.
func (r *run) change(ctx context.Context, i int) error {
	d := r.document(i%r.docs, i%int(mwunit.MaxImportance))
	s, err := r.op.Get(ctx, d.Kind, d.Name)
	if err != nil {
		return err
	}
	receipt, err := r.op.Apply(ctx, mwid.NewOperationID(), "mwslope", []mwoperator.Edit{{Document: d, Expected: s.Revision}})
	if err != nil {
		return err
	}
	begin := time.Now()
	err = r.waitForAll(ctx, inForceTimeout, func(n *mwcluster.Node) bool { return n.Version() >= receipt.Version })
	r.report.Changes = append(r.report.Changes, time.Since(begin))
	return err
}

// restartOne makes a node leave, waits until all nodes know that it is leaving,
// stops it and starts it again.
func (r *run) restartOne(ctx context.Context, i int) error {
	nodes := r.cluster.Nodes()
	x := nodes[(i*7919)%len(nodes)] // 7919 is prime, which spreads the restarts over the nodes.
	begin := time.Now()
	x.Leave()
	err := r.waitForAll(ctx, inForceTimeout, func(n *mwcluster.Node) bool {
		s, ok := n.State(x.ID)
		return !ok || s == mwcall.Leaving
	})
	r.report.Leavers = append(r.report.Leavers, time.Since(begin))
	if err != nil {
		return err
	}
	x.Stop()
	return r.startNode(x.Place)
}

// processorTime returns the user and system time of this process, or 0 on an
// error.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// traffic holds the traffic of one node by method.
type traffic struct {
	methods []mwmemnet.Method
	values  []mwmemnet.Traffic
}

func trafficByNode(ns []*mwcluster.Node) []traffic {
	out := make([]traffic, len(ns))
	for i, n := range ns {
		for _, m := range n.Peer.Methods() {
			out[i].methods = append(out[i].methods, m)
			out[i].values = append(out[i].values, n.Peer.MethodTraffic(m))
		}
	}
	return out
}

// get returns the traffic of method m.
func (t traffic) get(m mwmemnet.Method) mwmemnet.Traffic {
	if i := slices.Index(t.methods, m); i >= 0 {
		return t.values[i]
	}
	return mwmemnet.Traffic{}
}

// roles returns the rates of each role over the time d between before and
// after.
func roles(ns []*mwcluster.Node, before, after []traffic, d time.Duration) []Role {
	out := []Role{{Role: Plain}, {Role: Relay}}
	var methods []mwmemnet.Method
	for _, t := range after {
		methods = append(methods, t.methods...)
	}
	slices.Sort(methods)
	methods = slices.Compact(methods)
	for i := range out {
		r := &out[i]
		var indexes []int
		for j, n := range ns {
			if n.Relay() == (r.Role == Relay) {
				indexes = append(indexes, j)
			}
		}
		r.Nodes = mwunit.Nodes(len(indexes))
		for _, m := range methods {
			r.add(rates(m, indexes, before, after, d))
		}
	}
	return out
}

// rates returns the mean rates of method m over the nodes with the given indexes.
func rates(m mwmemnet.Method, indexes []int, before, after []traffic, d time.Duration) Kind {
	k := Kind{Method: m}
	perNodeSecond := mwunit.PerSecond(1 / (d.Seconds() * float64(max(len(indexes), 1))))
	for _, i := range indexes {
		a, b := after[i].get(m), before[i].get(m)
		k.Calls += mwunit.PerSecond(a.Calls-b.Calls) * perNodeSecond
		k.Served += mwunit.PerSecond(a.Served-b.Served) * perNodeSecond
		k.Sent += mwunit.PerSecond(a.Sent-b.Sent) * perNodeSecond
		k.Received += mwunit.PerSecond(a.Received-b.Received) * perNodeSecond
	}
	return k
}
