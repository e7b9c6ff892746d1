package mwroute_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwregistry"
)

// factor says how much slower than normal target i is, at a time since the
// start, for one call; roll is a random number in [0, 1).
type factor func(i int, since time.Duration, roll float64) float64

// slowdown is how much slower a slow target or a straggler is.
const slowdown = 10

func healthy(int, time.Duration, float64) float64 { return 1 }

// oneSlow makes one target slow for the whole time.
func oneSlow(i int, _ time.Duration, _ float64) float64 {
	if i == 0 {
		return slowdown
	}
	return 1
}

// spells make one target after the other slow, for half a second each.
func spells(i int, since time.Duration, _ float64) float64 {
	if int(since/(500*time.Millisecond))%6 == i {
		return slowdown
	}
	return 1
}

// stragglers make two calls in a hundred slow, at any target.
func stragglers(_ int, _ time.Duration, roll float64) float64 {
	if roll < 0.02 {
		return slowdown
	}
	return 1
}

// farm is backend servers that work on a few calls at a time.
type farm struct {
	targets []mwcall.Target
	slots   []chan struct{}
	factor  factor
	start   time.Time
	mu      sync.Mutex
	rnd     *rand.Rand
	took    []time.Duration
}

const (
	farmSlots = 4
	workTime  = 10 * time.Millisecond
	entries   = 6
	runTime   = 6 * time.Second
)

func newFarm(n int, seed uint64, slow factor) *farm {
	f := &farm{targets: targets(n, "wien-a"), factor: slow, start: time.Now(), rnd: rand.New(rand.NewPCG(seed, 0))}
	for range n {
		f.slots = append(f.slots, make(chan struct{}, farmSlots))
	}
	for i := range f.targets {
		f.targets[i].Slots = farmSlots
	}
	return f
}

// exp returns a random time with mean d.
func (f *farm) exp(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rnd.ExpFloat64() * float64(d))
}

// work returns the time of one call at target i.
func (f *farm) work(i int) time.Duration {
	f.mu.Lock()
	roll := f.rnd.Float64()
	f.mu.Unlock()
	return time.Duration(f.factor(i, time.Since(f.start), roll) * float64(f.exp(workTime)))
}

// one makes one call through b and notes how long it took.
func (f *farm) one(b *bench) {
	start := time.Now()
	t, err := b.pick(call(), f.targets)
	b.Check(err, qt.IsNil)
	i := slices.IndexFunc(f.targets, func(u mwcall.Target) bool { return u.Node == t.Node })
	done := b.router.Begin(call(), t)
	f.slots[i] <- struct{}{}
	time.Sleep(f.work(i))
	<-f.slots[i]
	took := time.Since(start)
	done(mwcall.Head{}, mwcall.Sample{First: took, Took: took})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.took = append(f.took, took)
}

// run loads f at a part of its capacity, through some nodes, and returns the
// median and the 99th percentile after a second.
func (f *farm) run(c *qt.C, name mwregistry.Name, load float64) (p50, p99 time.Duration) {
	benches := make([]*bench, entries)
	for i := range benches {
		benches[i] = newBench(c, name)
	}
	rate := load * float64(len(f.targets)*farmSlots) / workTime.Seconds()
	gap := time.Duration(float64(time.Second) / rate)
	var wg sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < runTime; i++ {
		if i == int(rate) {
			f.mu.Lock()
			f.took = nil
			f.mu.Unlock()
		}
		wg.Go(func() { f.one(benches[i%entries]) })
		time.Sleep(f.exp(gap))
	}
	wg.Wait()
	slices.Sort(f.took)
	return f.took[len(f.took)/2], f.took[len(f.took)*99/100]
}

// router is the plug-in that TestSlowTargets measures; the bounds hold for
// "cost".
var router = flag.String("router", "cost", "router to measure with slow targets")

func TestSlowTargets(t *testing.T) {
	const seeds, load = 3, 0.5
	tests := []struct {
		name  string
		slow  factor
		bound float64 // bound is the greatest p99 as a part of that with healthy targets.
	}{
		{"one in six is slow", oneSlow, 1.5},
		{"short spells", spells, 6.5},
		{"stragglers", stragglers, 2.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					c, name := qt.New(t), mwregistry.Name(*router)
					_, h99 := newFarm(6, seed, healthy).run(c, name, load)
					s50, s99 := newFarm(6, seed, test.slow).run(c, name, load)
					ratio := float64(s99) / float64(h99)
					t.Logf("seed %d: healthy p99 %v, slow p50 %v, p99 %v: %.2f", seed, h99, s50, s99, ratio)
					c.Check(ratio <= test.bound || *router != "cost", qt.IsTrue)
				})
			}
		})
	}
}
