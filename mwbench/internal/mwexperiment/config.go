package mwexperiment

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"mustardwheel.example/mwbench/internal/mwfigure"
	"mustardwheel.example/mwbench/internal/mwscenario"
	"mustardwheel.example/mwbench/internal/mwtestbed"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

func init() { mwscenario.Register("config", runConfig) }

// Parameters of the scenario.
const (
	configChanges          = 12
	configChangesShort     = 3
	configTarget           = 5 // seconds
	configTimeout          = 15 * time.Second
	configPollPeriod       = 5 * time.Millisecond
	storeOutage            = 3 * time.Second
	storeOutageShort       = 500 * time.Millisecond
	configRank         int = 7
)

// runConfig changes a policy repeatedly while the nodes of half of the zones are
// cut off from the store. It then starts a node while the store is unavailable
// to all nodes.
func runConfig(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	if !e.Treated() {
		return nil, nil // The baseline has no configuration of its own.
	}
	p := e.Profile
	service := serviceOf(p.Browse, shortWork(p.Browse))
	t, stop, err := newTrial(ctx, e, mwtestbed.Spec{
		Services: []mwtestbed.Service{service, serviceOf(p.Order, shortWork(p.Order))}, Works: standardWorks(p),
	}, nil)
	if err != nil {
		return nil, err
	}
	defer stop()
	c := &configTrial{trial: t, service: service, seen: make(map[mwid.NodeID]mwid.Version)}
	if err := c.run(ctx); err != nil {
		return nil, err
	}
	return c.measures(), nil
}

// configTrial holds the state of one run.
type configTrial struct {
	*trial
	service          mwtestbed.Service
	propagationTimes []time.Duration // from each change until all nodes had it
	startTime        time.Duration   // until a node started without the store had the newest version
	reversals        int
	seen             map[mwid.NodeID]mwid.Version
}

func (c *configTrial) run(ctx context.Context) error {
	n := configChanges
	if c.env.Short {
		n = configChangesShort
	}
	for i := range n {
		c.partitionHalf(i)
		if err := c.change(ctx, i); err != nil {
			return err
		}
	}
	c.partitionHalf(n)
	if err := c.startWithoutStore(ctx); err != nil {
		return err
	}
	return c.change(ctx, n)
}

// partitionHalf cuts the nodes of every second zone off from the store,
// alternating between the two halves. Every third round has no partition.
func (c *configTrial) partitionHalf(round int) {
	for i, t := range c.bed.All() {
		t.Store.SetPartitioned(round%3 != 0 && i%2 == round%2)
	}
}

// change applies change number i and waits until it is in force at all nodes.
func (c *configTrial) change(ctx context.Context, i int) error {
	w := mwtestbed.Work{Name: "changing", PathPrefix: "/changing", Policy: mwconfig.Policy{
		Rank: configRank, Importance: ptr(mwunit.Importance(i)),
	}}
	if err := c.bed.Apply(ctx, w); err != nil {
		return err
	}
	d, err := c.awaitNewestVersion(ctx)
	if err != nil {
		return err
	}
	c.propagationTimes = append(c.propagationTimes, d)
	return nil
}

// startWithoutStore starts a node while the store is unavailable, so that the
// node has to get the configuration from other nodes.
func (c *configTrial) startWithoutStore(ctx context.Context) error {
	c.bed.Store().SetFaults(mwfakestore.Faults{Unavailable: true})
	defer c.bed.Store().SetFaults(mwfakestore.Faults{})
	timer := time.NewTimer(c.env.Phase(storeOutage, storeOutageShort))
	defer timer.Stop()
	var g errgroup.Group
	g.Go(func() error {
		_, err := c.bed.Start(c.service, 0)
		if err != nil {
			return err
		}
		c.startTime, err = c.awaitNewestVersion(ctx)
		return err
	})
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.Wait()
}

// awaitNewestVersion waits until all nodes have the newest version and returns
// how long that took.
func (c *configTrial) awaitNewestVersion(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	start := time.Now()
	tick := time.NewTicker(configPollPeriod)
	defer tick.Stop()
	for !c.poll() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return 0, fmt.Errorf("configuration version %d not in force at all nodes: %w", c.bed.Version(), ctx.Err())
		}
	}
	return time.Since(start), nil
}

// poll reports whether all nodes have the newest version. It counts the nodes
// whose version decreased since the last call.
func (c *configTrial) poll() bool {
	all := true
	for _, t := range c.bed.All() {
		k := t.Host.Kernel()
		var v mwid.Version
		if s := k.Configuration().Snapshot(); s != nil {
			v = s.Version()
		}
		if v < c.seen[k.Self().Node] {
			c.reversals++
		}
		c.seen[k.Self().Node] = v
		all = all && v >= c.bed.Version()
	}
	return all
}

func (c *configTrial) measures() []mwfigure.Measure {
	var longest time.Duration
	for _, d := range c.propagationTimes {
		longest = max(longest, d)
	}
	e := c.env
	return []mwfigure.Measure{
		e.Measure("LongestSpread", mwfigure.Seconds, mwfigure.Value(longest.Seconds()), mwfigure.AtMost(configTarget)),
		e.Measure("StartWithoutStore", mwfigure.Seconds, mwfigure.Value(c.startTime.Seconds()), mwfigure.AtMost(configTarget)),
		e.Measure("Reversals", mwfigure.Count, mwfigure.Value(c.reversals), mwfigure.AtMost(0)),
		e.Measure("Changes", mwfigure.Count, mwfigure.Value(len(c.propagationTimes)), mwfigure.Target{}),
		e.Measure("Nodes", mwfigure.Count, mwfigure.Value(len(c.bed.All())), mwfigure.Target{}),
	}
}
