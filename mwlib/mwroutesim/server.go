package mwroutesim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwunit"
)

// Factor returns how many times as long as normal target i takes for a call that
// it serves at the time since after the start; roll is a random number in [0, 1).
type Factor func(i int, since time.Duration, roll float64) float64

// slowdown is the factor of a slow target or a straggler.
const slowdown = 10

// Healthy makes no target slow.
func Healthy(int, time.Duration, float64) float64 { return 1 }

// OneSlow makes one target slow all the time.
func OneSlow(i int, _ time.Duration, _ float64) float64 {
	if i == 0 {
		return slowdown
	}
	return 1
}

// Spells makes each target in turn slow for half a second.
func Spells(i int, since time.Duration, _ float64) float64 {
	if int(since/(500*time.Millisecond))%6 == i {
		return slowdown
	}
	return 1
}

// Stragglers makes two calls in a hundred slow, at any target.
func Stragglers(_ int, _ time.Duration, roll float64) float64 {
	if roll < 0.02 {
		return slowdown
	}
	return 1
}

// Servers are backend servers that each serve a few calls at a time, with an entry node
// beside each.
type Servers struct {
	targets []mwcall.Target
	nodes   []Node
	newCall func() *mwcall.Call
	slots   []chan struct{}
	factor  Factor
	start   time.Time
	mu      sync.Mutex
	rnd     *rand.Rand
	took    []time.Duration
	refused int
	load    []atomic.Int64 // load counts the calls in service or waiting at each target.
}

// Node is an entry node.
type Node struct {
	Router mwkernel.Router
	Region mwid.RegionName
}

const (
	serverSlots     = 4
	workTime        = 10 * time.Millisecond
	regionRoundTrip = 20 * time.Millisecond // regionRoundTrip is the round-trip time between regions.
	runTime         = 6 * time.Second
)

// NewServers returns Servers at targets, to which it gives their ids and slots. newCall
// returns the call that a router sees.
func NewServers(targets []mwcall.Target, nodes []Node, newCall func() *mwcall.Call, seed uint64, slow Factor) *Servers {
	s := &Servers{
		targets: slices.Clone(targets), nodes: nodes, newCall: newCall, load: make([]atomic.Int64, len(targets)),
		factor: slow, start: time.Now(), rnd: rand.New(rand.NewPCG(seed, 0)),
	}
	for i := range s.targets {
		s.slots = append(s.slots, make(chan struct{}, serverSlots))
		s.targets[i].Node = mwid.NodeID(fmt.Sprint(i))
		s.targets[i].Slots = serverSlots
	}
	return s
}

// exp returns an exponentially distributed random time with mean d.
func (s *Servers) exp(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rnd.ExpFloat64() * float64(d))
}

// work returns the service time of one call at target i.
func (s *Servers) work(i int) time.Duration {
	s.mu.Lock()
	roll := s.rnd.Float64()
	s.mu.Unlock()
	return time.Duration(s.factor(i, time.Since(s.start), roll) * float64(s.exp(workTime)))
}

// call makes one call through n and records its duration.
func (s *Servers) call(n Node) {
	start := time.Now()
	o := caller{
		router: n.Router, targets: s.targets, newCall: s.newCall,
		answer: func(t mwcall.Target) mwcall.Head { return s.answer(t, n.Region) },
	}.call()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !o.ok {
		s.refused++
		return
	}
	s.took = append(s.took, time.Since(start))
}

// answer serves a call from region at t, or refuses it if as many calls wait there
// as are being served.
func (s *Servers) answer(t mwcall.Target, region mwid.RegionName) mwcall.Head {
	if t.Region != region {
		time.Sleep(regionRoundTrip)
	}
	i := slices.IndexFunc(s.targets, func(u mwcall.Target) bool { return u.Node == t.Node })
	if s.load[i].Add(1) > 2*serverSlots {
		s.load[i].Add(-1)
		return mwcall.Head{Code: mwcode.Overloaded}
	}
	defer s.load[i].Add(-1)
	s.slots[i] <- struct{}{}
	time.Sleep(s.work(i))
	<-s.slots[i]
	return mwcall.Head{}
}

// Run offers s a load, as a fraction of its capacity, through its entry nodes.
// It returns the 99th percentile of the durations and the fraction of calls
// refused, both without the first second.
func (s *Servers) Run(load mwunit.Ratio) (p99 time.Duration, refused mwunit.Ratio) {
	rate := float64(load) * float64(len(s.targets)*serverSlots) / workTime.Seconds()
	gap := time.Duration(float64(time.Second) / rate)
	var wg sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < runTime; i++ {
		if i == int(rate) {
			s.mu.Lock()
			s.took, s.refused = nil, 0
			s.mu.Unlock()
		}
		n := s.nodes[i%len(s.nodes)]
		wg.Go(func() { s.call(n) })
		time.Sleep(s.exp(gap))
	}
	wg.Wait()
	slices.Sort(s.took)
	n := float64(len(s.took))
	return s.took[int(n*0.99)], mwunit.Ratio(float64(s.refused) / (n + float64(s.refused)))
}
