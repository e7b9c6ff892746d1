package mwroutesim

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwunit"
)

// Place is the location of a node or target.
type Place struct {
	Zone   mwid.ZoneName
	Region mwid.RegionName
}

// places are the availability zones of the users' large deployment with their regions.
var places = []Place{
	{"wien-a", "wien"}, {"graz-a", "graz"}, {"linz-a", "linz"}, {"wien-b", "wien"}, {"graz-b", "graz"},
	{"linz-b", "linz"}, {"wien-c", "wien"}, {"graz-c", "graz"}, {"linz-c", "linz"},
}

// One-way delays between two regions, and within one.
const (
	farDelay  = 20 * time.Millisecond
	nearDelay = 1400 * time.Microsecond
)

// delayTo returns the one-way delay between two regions.
func delayTo(from, to mwid.RegionName) time.Duration {
	if from != to {
		return farDelay
	}
	return nearDelay
}

// speeds are those of the targets of the bottom service, in turn.
var speeds = []float64{1.4, 1.0, 0.6}

// bottomTargets returns the eleven targets of the bottom service.
func bottomTargets() []*queuedTarget {
	var ts []*queuedTarget
	for i, p := range append(places, places[:2]...) {
		ts = append(ts, &queuedTarget{
			Target: mwcall.Target{
				Node: mwid.NodeID(fmt.Sprint(i)), Service: bottomService,
				Zone: p.Zone, Region: p.Region, Slots: queuedSlots,
			},
			hold: time.Duration(float64(baseHold) / speeds[i%len(speeds)]),
		})
	}
	return ts
}

const bottomService mwid.ServiceName = "s"

// Parameters of the load of the bottom service.
const (
	bottomNodes     = 18
	bottomLength    = 3 * time.Second
	bottomWarmup    = time.Second // Calls before its end are not counted.
	bottomTimeout   = 700 * time.Millisecond
	bottomObjective = 300 * time.Millisecond
)

// Bottom is the service at the bottom of the call graph of the users' large deployment,
// with eleven targets of three speeds, and the 18 nodes that call it.
type Bottom struct {
	targets []*queuedTarget
	list    []mwcall.Target
	routers []mwkernel.Router

	calls, lost, tries, declines atomic.Int64
}

// NewBottom returns a Bottom without load. newRouter returns the router of a node; its
// error is returned.
func NewBottom(newRouter func(mwid.NodeID, Place) (mwkernel.Router, error)) (*Bottom, error) {
	b := &Bottom{targets: bottomTargets()}
	for _, t := range b.targets {
		b.list = append(b.list, t.Target)
	}
	for i := range bottomNodes {
		r, err := newRouter(mwid.NodeID(fmt.Sprint("n", i)), placeOfNode(i))
		if err != nil {
			return nil, err
		}
		b.routers = append(b.routers, r)
	}
	return b, nil
}

// placeOfNode returns the place of calling node i.
func placeOfNode(i int) Place { return places[i%len(places)] }

// capacity returns the number of calls a second that b can serve.
func (b *Bottom) capacity() float64 {
	c := 0.0
	for _, t := range b.targets {
		c += float64(queuedSlots) / t.hold.Seconds()
	}
	return c
}

// Run sends calls at the fraction load of the capacity of b, once, and returns the
// fractions of the calls that were refused by all targets that were tried and of the
// attempts that were declined.
func (b *Bottom) Run(load mwunit.Ratio) (refused, declined mwunit.Ratio) {
	capacity := b.capacity()
	rnd := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	for start := time.Now(); time.Since(start) < bottomLength; {
		time.Sleep(time.Duration(rnd.ExpFloat64() / (float64(load) * capacity) * float64(time.Second)))
		i, count := rnd.IntN(bottomNodes), time.Since(start) > bottomWarmup
		wg.Go(func() { b.call(i, count) })
	}
	wg.Wait()
	return ratio(&b.lost, &b.calls), ratio(&b.declines, &b.tries)
}

// ratio returns the fraction n of all.
func ratio(n, all *atomic.Int64) mwunit.Ratio {
	return mwunit.Ratio(float64(n.Load()) / float64(all.Load()))
}

// call makes one call from node i. count is whether it is counted.
func (b *Bottom) call(i int, count bool) {
	region := placeOfNode(i).Region
	cl := &mwcall.Call{Service: bottomService, Method: "GET", Path: "/history", Depth: 3, Deadline: time.Now().Add(bottomTimeout)}
	cl.Class.Repeatable, cl.Class.Objective = true, bottomObjective
	o := caller{
		router: b.routers[i], targets: b.list,
		newCall: func() *mwcall.Call { return cl },
		answer:  func(t mwcall.Target) mwcall.Head { return b.answer(t, region) },
	}.call()
	if !count {
		return
	}
	b.tries.Add(int64(o.tries))
	b.declines.Add(int64(o.declines))
	b.calls.Add(1)
	if !o.ok {
		b.lost.Add(1)
	}
}

// answer lets t serve a call from region.
func (b *Bottom) answer(t mwcall.Target, region mwid.RegionName) mwcall.Head {
	time.Sleep(delayTo(region, t.Region))
	var n int
	fmt.Sscan(string(t.Node), &n)
	h := b.targets[n].serve()
	time.Sleep(delayTo(t.Region, region))
	return h
}
