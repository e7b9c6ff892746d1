// Package mwscene runs one plan of the soak: real nodes as processes of their
// own, each behind proxies, a stand-in of the platform's store, backend
// servers that announce themselves, callers and an operator.
package mwscene

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwsoak/internal/mwcheck"
	"mustardwheel.example/mwsoak/internal/mwplan"
	"mustardwheel.example/platform/mwstandin"
)

// Config is what Run takes.
type Config struct {
	Plan    mwplan.Plan
	Program string // Program is the path of the node's program.
	// Logs is the folder for the nodes' logs, empty for none.
	Logs string
	// Plant is a promise that is broken on purpose, empty for none.
	Plant mwcheck.Promise
	// Bounds are the times that promises are held to.
	Bounds mwcheck.Bounds
}

// Report is what one run found.
type Report struct {
	Seed       mwplan.Seed
	Counts     mwcheck.Counts
	Broken     map[mwcheck.Promise]int
	Violations []mwcheck.Violation // Violations are the first of each promise.
	Took       time.Duration
}

// Scene is one running system. Its parts have locks of their own.
type Scene struct {
	cfg          Config
	checker      *mwcheck.Checker
	store        *mwstandin.Store
	storeAddress string // storeAddress is the address of the store.
	nodes        []*node
	ctx          context.Context
	ids          idSource
	// loadRunning tells that the load has begun.
	loadRunning atomic.Bool

	mu      sync.Mutex
	fault   mwstandin.Fault // fault is what the store does to calls.
	version int
}

const (
	// host is the name that all routes have.
	host = "shop.example"
	// serviceA is that of nodes 0 and 1, serviceB that of nodes 2 and 3, and so
	// on, so that each has backend servers in both availability zones.
	serviceA = "katalog"
	serviceB = "auftrag"
)

// Times of a run.
const (
	// startTimeout is the longest wait for a system that serves.
	startTimeout = 30 * time.Second
	// recoveryTimeout is how long after the last fault requests must be served.
	recoveryTimeout = 15 * time.Second
	// recoverySample is the time over which that is looked at.
	recoverySample = 2 * time.Second
	// samplePause is the time between two rounds of requests then, and stall how
	// late a timer may be before the machine counts as stalled.
	samplePause    = 20 * time.Millisecond
	stallThreshold = 300 * time.Millisecond
	// minRecoveryRatio is the part of the requests that must be served then.
	minRecoveryRatio = 0.9
	// settleTime is the wait for work that was not over at the end.
	settleTime = time.Second
)

// Run runs a plan and returns what it found. An error tells that the run
// itself did not work.
func Run(ctx context.Context, cfg Config) (Report, error) {
	begin := time.Now()
	s := &Scene{cfg: cfg, checker: mwcheck.New(cfg.Bounds)}
	var cancel func()
	s.ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	s.store = mwstandin.NewStore(mwstandin.WithFault(s.storeFault))
	srv := httptest.NewServer(s.store)
	defer srv.Close()
	defer srv.CloseClientConnections()
	s.storeAddress = strings.TrimPrefix(srv.URL, "http://")
	if err := s.configure(); err != nil {
		return Report{}, err
	}
	defer s.stopNodes()
	if err := s.startNodes(); err != nil {
		return Report{}, err
	}
	if err := s.execute(); err != nil {
		return Report{}, err
	}
	vs, broken, n := s.checker.Result()
	return Report{Seed: cfg.Plan.Seed, Counts: n, Broken: broken, Violations: vs, Took: time.Since(begin)}, nil
}

func (s *Scene) startNodes() error {
	for i := range s.cfg.Plan.Nodes {
		n, err := s.newNode(i)
		if n != nil {
			s.nodes = append(s.nodes, n)
		}
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, startTimeout)
	defer cancel()
	for good := 0; good < startRounds; {
		if ctx.Err() != nil {
			return fmt.Errorf("mwscene: nothing is served %v after the start", startTimeout)
		}
		if good++; !s.allServe() {
			good = 0
			mwtimer.Sleep(ctx, 100*time.Millisecond)
		}
	}
	return nil
}

// startRounds is how many rounds all nodes must serve before the load starts.
const startRounds = 3

func (s *Scene) allServe() bool {
	for _, n := range s.nodes {
		for _, p := range []string{browsePath, orderPath} {
			if !s.sendOnce(n, p, false).Good() {
				return false
			}
		}
	}
	return true
}

func (s *Scene) stopNodes() {
	var wg sync.WaitGroup
	for _, n := range s.nodes {
		wg.Go(n.stop)
	}
	wg.Wait()
}

// execute runs the load, the operator and the faults, and looks at the recovery.
func (s *Scene) execute() error {
	load, stopLoad := context.WithCancel(s.ctx)
	defer stopLoad()
	s.loadRunning.Store(true)
	var wg sync.WaitGroup
	for _, n := range s.nodes {
		for range callersPerNode {
			wg.Go(func() { s.runCaller(load, n) })
		}
		wg.Go(func() { s.probe(load, n) })
	}
	err := s.injectFaults()
	s.loadRunning.Store(false)
	if err == nil {
		s.checkRecovery()
	}
	stopLoad()
	wg.Wait()
	mwtimer.Sleep(s.ctx, settleTime)
	return err
}

// injectFaults plays the events of the plan, which overlap, and waits for the end of
// the last one.
func (s *Scene) injectFaults() error {
	begin := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, e := range s.cfg.Plan.Events {
		mwtimer.Sleep(s.ctx, time.Until(begin.Add(e.At)))
		f, _, err := Faults.Make(registryName(e.Kind), s)
		if err != nil {
			return err
		}
		wg.Go(func() {
			if !f.Planned {
				defer s.checker.Fault()()
			}
			f.Do(e)
		})
	}
	mwtimer.Sleep(s.ctx, time.Until(begin.Add(s.cfg.Plan.Length)))
	return nil
}

// checkRecovery waits until requests are served again, for as long as that may
// take, and looks whether they stay so.
func (s *Scene) checkRecovery() {
	for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline) && !s.allServe(); {
		mwtimer.Sleep(s.ctx, 100*time.Millisecond)
	}
	for deadline := time.Now().Add(recoveryTimeout); ; {
		good, asked, stalled := s.sample()
		if stalled && time.Now().Before(deadline) {
			continue
		}
		s.checker.Recovered(good, asked, minRecoveryRatio)
		return
	}
}

// sample asks all nodes for some time and returns how many answers were good.
// Stalled tells that this process did not get the processor meanwhile, so that
// nodes may not have got it either and the look says nothing.
func (s *Scene) sample() (good, asked int, stalled bool) {
	for deadline := time.Now().Add(recoverySample); time.Now().Before(deadline); {
		for _, n := range s.nodes {
			asked++
			if s.sendOnce(n, browsePath, false).Good() {
				good++
			}
		}
		begin := time.Now()
		mwtimer.Sleep(s.ctx, samplePause)
		stalled = stalled || time.Since(begin) > samplePause+stallThreshold
	}
	return good, asked, stalled
}

// configure writes the next configuration. Each has one route of its own, and
// none of the one before it.
func (s *Scene) configure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	route := func(name, prefix, service string, repeatable bool) mwstandin.Route {
		return mwstandin.Route{
			Name: name, Host: host, Prefix: prefix, Service: service,
			Repeatable: repeatable, Timeout: routeTimeout, Attempts: 2,
		}
	}
	return s.store.Configure(s.version, []mwstandin.Route{
		route("browse", browsePath, serviceA, true),
		route("order", orderPath, serviceB, false),
		route("version", versionPath(s.version), serviceA, true),
	}, []string{serviceA, serviceB})
}

// storeFault returns what the store does to a call.
func (s *Scene) storeFault(*http.Request) mwstandin.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// idSource makes ids of requests.
type idSource struct {
	mu sync.Mutex
	n  int
}

func (i *idSource) next() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.n++
	return fmt.Sprintf("%016x", uint64(i.n)*0x9e3779b97f4a7c15+uint64(rand.Uint32())<<32)
}
