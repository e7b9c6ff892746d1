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

// Changes of the scenario.
const (
	configChanges          = 12
	configChangesShort     = 3
	configTarget           = 5
	configTimeout          = 15 * time.Second
	configPollPeriod       = 5 * time.Millisecond
	storeOutage            = 3 * time.Second
	storeOutageShort       = 500 * time.Millisecond
	configRank         int = 7
)

// runConfig has operators change policies while the nodes of half of the
// zones are cut off from the store, and starts a node while the store is away
// as a whole.
func runConfig(ctx context.Context, e mwscenario.Env) ([]mwfigure.Measure, error) {
	if !e.Treated() {
		return nil, nil // The baseline has no configuration of its own.
	}
	p := e.Profile
	service := serviceOf(p.Browse, shortWork(p.Browse))
	t, end, err := newTrial(ctx, e, mwtestbed.Spec{
		Services: []mwtestbed.Service{service, serviceOf(p.Order, shortWork(p.Order))}, Works: standardWorks(p),
	}, nil)
	if err != nil {
		return nil, err
	}
	defer end()
	c := &configTrial{trial: t, service: service, seen: make(map[mwid.NodeID]mwid.Version)}
	if err := c.run(ctx); err != nil {
		return nil, err
	}
	return c.measures(), nil
}

// configTrial is one run.
type configTrial struct {
	*trial
	service          mwtestbed.Service
	propagationTimes []time.Duration // propagationTimes is the time of each change to all nodes.
	startTime        time.Duration   // startTime is the time of a node that starts without the store.
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

// partitionHalf cuts the nodes of each second zone off from the store, those of
// the others in the next round; every third round has no cut.
func (c *configTrial) partitionHalf(round int) {
	for i, t := range c.bed.All() {
		t.Store.SetPartitioned(round%3 != 0 && i%2 == round%2)
	}
}

// change applies change number i and waits until it is in force everywhere.
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

// startWithoutStore starts a node while the store is away, so that it has to take
// the configuration from others.
func (c *configTrial) startWithoutStore(ctx context.Context) error {
	c.bed.Store().SetFaults(mwfakestore.Faults{Away: true})
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

// awaitNewestVersion returns how long it took until all nodes had the newest version.
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
			return 0, fmt.Errorf("version %d is not in force everywhere: %w", c.bed.Version(), ctx.Err())
		}
	}
	return time.Since(start), nil
}

// poll tells whether all nodes have the newest version, and counts those
// that went back.
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
