package mwroute_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwset"
)

// factor returns how many times as long as normal target i takes for a call that
// it serves at the time since after the start; roll is a random number in [0, 1).
type factor func(i int, since time.Duration, roll float64) float64

// slowdown is the factor of a slow target or a straggler.
const slowdown = 10

func healthy(int, time.Duration, float64) float64 { return 1 }

// oneSlow makes one target slow all the time.
func oneSlow(i int, _ time.Duration, _ float64) float64 {
	if i == 0 {
		return slowdown
	}
	return 1
}

// spells makes each target in turn slow for half a second.
func spells(i int, since time.Duration, _ float64) float64 {
	if int(since/(500*time.Millisecond))%6 == i {
		return slowdown
	}
	return 1
}

// stragglers makes two calls in a hundred slow, at any target.
func stragglers(_ int, _ time.Duration, roll float64) float64 {
	if roll < 0.02 {
		return slowdown
	}
	return 1
}

// simulatedServers are backend servers that each serve a few calls at a time.
type simulatedServers struct {
	zones   []mwid.ZoneName // zones are the zones of the entry nodes.
	targets []mwcall.Target
	slots   []chan struct{}
	factor  factor
	start   time.Time
	mu      sync.Mutex
	rnd     *rand.Rand
	took    []time.Duration
	refused int
	load    []atomic.Int64 // load counts the calls in service or waiting at each target.
}

const (
	serverSlots     = 4
	workTime        = 10 * time.Millisecond
	regionRoundTrip = 20 * time.Millisecond // regionRoundTrip is the round-trip time between regions.
	runTime         = 6 * time.Second
)

// oneZone places six nodes and six targets in one zone; sixZones places one
// node and one target in each of six zones.
var (
	oneZone  = []mwid.ZoneName{"wien-a", "wien-a", "wien-a", "wien-a", "wien-a", "wien-a"}
	sixZones = []mwid.ZoneName{"wien-a", "wien-b", "graz-a", "graz-b", "linz-a", "linz-b"}
)

func newSimulatedServers(zones []mwid.ZoneName, seed uint64, slow factor) *simulatedServers {
	f := &simulatedServers{zones: zones, load: make([]atomic.Int64, len(zones)), factor: slow, start: time.Now(), rnd: rand.New(rand.NewPCG(seed, 0))}
	for i, z := range zones {
		f.slots = append(f.slots, make(chan struct{}, serverSlots))
		f.targets = append(f.targets, targets(1, z)...)
		f.targets[i].Node = mwid.NodeID(fmt.Sprint(i))
		f.targets[i].Slots = serverSlots
	}
	return f
}

// exp returns an exponentially distributed random time with mean d.
func (f *simulatedServers) exp(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rnd.ExpFloat64() * float64(d))
}

// work returns the service time of one call at target i.
func (f *simulatedServers) work(i int) time.Duration {
	f.mu.Lock()
	roll := f.rnd.Float64()
	f.mu.Unlock()
	return time.Duration(f.factor(i, time.Since(f.start), roll) * float64(f.exp(workTime)))
}

// maxAttempts is the maximum number of attempts of a call.
const maxAttempts = 3

// call makes one call through the node at z and records its duration.
func (f *simulatedServers) call(b *routerTest, z mwid.ZoneName) {
	start, tried := time.Now(), mwset.New[mwid.NodeID]()
	ok := false
	for range maxAttempts {
		t, err := b.router.Pick(call(), f.targets, tried)
		if err != nil {
			break
		}
		tried.Add(t.Node)
		done, sent := b.router.Begin(call(), t), time.Now()
		h := f.answer(t, z)
		took := time.Since(sent)
		done(h, mwcall.Sample{First: took, Took: took, Code: h.Code})
		if ok = h.Code == mwcode.OK; ok {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !ok {
		f.refused++
		return
	}
	f.took = append(f.took, time.Since(start))
}

// answer serves a call from z at t, or refuses it if as many calls wait there
// as are being served.
func (f *simulatedServers) answer(t mwcall.Target, z mwid.ZoneName) mwcall.Head {
	if t.Region != regionOf[z] {
		time.Sleep(regionRoundTrip)
	}
	i := slices.IndexFunc(f.targets, func(u mwcall.Target) bool { return u.Node == t.Node })
	if f.load[i].Add(1) > 2*serverSlots {
		f.load[i].Add(-1)
		return mwcall.Head{Code: mwcode.Overloaded}
	}
	defer f.load[i].Add(-1)
	f.slots[i] <- struct{}{}
	time.Sleep(f.work(i))
	<-f.slots[i]
	return mwcall.Head{}
}

// run offers f a load, as a fraction of its capacity, through its entry nodes.
// It returns the 99th percentile of the durations and the fraction of calls
// refused, both without the first second.
func (f *simulatedServers) run(c *qt.C, name mwregistry.Name, load float64) (p99 time.Duration, refused float64) {
	routers := make([]*routerTest, len(f.zones))
	for i, z := range f.zones {
		routers[i] = newTestIn(c, name, z)
	}
	rate := load * float64(len(f.targets)*serverSlots) / workTime.Seconds()
	gap := time.Duration(float64(time.Second) / rate)
	var wg sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < runTime; i++ {
		if i == int(rate) {
			f.mu.Lock()
			f.took, f.refused = nil, 0
			f.mu.Unlock()
		}
		at := i % len(routers)
		wg.Go(func() { f.call(routers[at], f.zones[at]) })
		time.Sleep(f.exp(gap))
	}
	wg.Wait()
	slices.Sort(f.took)
	n := float64(len(f.took))
	return f.took[int(n*0.99)], float64(f.refused) / (n + float64(f.refused))
}

// router is the plug-in that TestSlowTargets measures; its bounds are checked
// for "cost" only.
var router = flag.String("router", "cost", "router to measure with slow targets")

func TestSlowTargets(t *testing.T) {
	const seeds, load = 3, 0.5
	tests := []struct {
		name  string
		zones []mwid.ZoneName
		slow  factor
		bound float64 // bound is the maximum p99 relative to that with healthy targets.
	}{
		{"one in six is slow", oneZone, oneSlow, 1.5},
		{"one in six is slow, a zone each", sixZones, oneSlow, 3},
		{"short spells", oneZone, spells, 6.5},
		{"short spells, a zone each", sixZones, spells, 6.5},
		{"stragglers", oneZone, stragglers, 2.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					c, name := qt.New(t), mwregistry.Name(*router)
					h99, _ := newSimulatedServers(test.zones, seed, healthy).run(c, name, load)
					s99, refused := newSimulatedServers(test.zones, seed, test.slow).run(c, name, load)
					ratio := float64(s99) / float64(h99)
					t.Logf("seed %d: p99 healthy %v, slow %v; refused %.4f, ratio %.2f", seed, h99, s99, refused, ratio)
					c.Check(ratio <= test.bound || *router != "cost", qt.IsTrue)
				})
			}
		})
	}
}
