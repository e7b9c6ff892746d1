// Package mwscene runs one plan of the soak on a complete system: real nodes as
// separate processes, each behind proxies, and in this process a stand-in for
// the platform's store, backend servers that announce themselves, callers and an
// operator. It injects the faults of the plan and reports what callers and
// backend servers observe to package mwcheck.
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

// Config configures a run.
type Config struct {
	Plan    mwplan.Plan
	Program string // Program is the path of the mwnode binary.
	// Logs is the directory for the logs of the nodes, empty for none.
	Logs string
	// Plant is a guarantee that is broken on purpose, empty for none.
	Plant mwcheck.Promise
	// Bounds are the time limits of the guarantees.
	Bounds mwcheck.Bounds
}

// Report is the result of one run.
type Report struct {
	Seed       mwplan.Seed
	Counts     mwcheck.Counts
	Broken     map[mwcheck.Promise]int
	Violations []mwcheck.Violation // Violations are the first few of each guarantee.
	Took       time.Duration
}

// Scene is one running system. Each of its parts has its own lock.
type Scene struct {
	cfg          Config
	checker      *mwcheck.Checker
	store        *mwstandin.Store
	storeAddress string
	nodes        []*node
	ctx          context.Context
	ids          idSource
	// injecting reports whether the faults of the plan are being injected.
	// Planted violations happen only then.
	injecting atomic.Bool
	restoring sync.Mutex // restoring is held while the store is restored from a copy.

	mu      sync.Mutex
	fault   mwstandin.Fault // fault is the current fault of the store.
	version int
}

const (
	// host is the host name of all routes.
	host = "shop.example"
	// serviceA runs on nodes 0 and 1, serviceB on nodes 2 and 3, and so on, so
	// that each service has backend servers in both availability zones.
	serviceA = "katalog"
	serviceB = "auftrag"
)

// Times of a run.
const (
	// startTimeout is the maximum time until the system serves requests.
	startTimeout = 30 * time.Second
	// recoveryTimeout is the maximum time after the last fault until requests
	// are served again.
	recoveryTimeout = 15 * time.Second
	// recoverySample is the time over which the recovery is measured.
	recoverySample = 2 * time.Second
	// samplePause is the time between two rounds of requests of a sample. If it
	// takes stallThreshold longer, the machine counts as stalled.
	samplePause    = 20 * time.Millisecond
	stallThreshold = 300 * time.Millisecond
	// minRecoveryRatio is the minimum fraction of the requests of a sample that
	// must be served.
	minRecoveryRatio = 0.9
	// currentSample is the time over which the configuration is checked at the end.
	currentSample = time.Second
	// settleTime is the wait at the end for work that is still running.
	settleTime = time.Second
)

// Run runs a plan and returns its result. It returns an error if the run itself
// failed; violations are in the Report.
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
			return fmt.Errorf("mwscene: not all nodes served requests within %v of the start", startTimeout)
		}
		if good++; !s.allServe() {
			good = 0
			mwtimer.Sleep(ctx, 100*time.Millisecond)
		}
	}
	return nil
}

// startRounds is the number of consecutive rounds in which all nodes must serve
// before the load starts.
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

// execute runs the load and injects the faults, and then checks the recovery. The load
// goes on until the newest configuration has been checked.
func (s *Scene) execute() error {
	load, stopLoad := context.WithCancel(s.ctx)
	defer stopLoad()
	s.injecting.Store(true)
	var wg sync.WaitGroup
	for _, n := range s.nodes {
		for range callersPerNode {
			wg.Go(func() { s.runCaller(load, n) })
		}
		wg.Go(func() { s.probe(load, n) })
	}
	err := s.injectFaults()
	s.injecting.Store(false)
	if err == nil {
		s.checkRecovery()
		mwtimer.Sleep(s.ctx, time.Until(s.checker.CurrentAt().Add(currentSample)))
	}
	stopLoad()
	wg.Wait()
	mwtimer.Sleep(s.ctx, settleTime)
	return err
}

// injectFaults injects the faults of the plan, which overlap. It returns once
// the length of the plan has passed and all faults have ended.
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

// checkRecovery waits until all nodes serve again, for up to recoveryTimeout,
// and then samples whether they keep serving. It repeats the sample if the
// machine stalled during it, for up to recoveryTimeout.
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

// sample sends requests to all nodes for recoverySample and returns how many
// succeeded and how many were sent. It sets stalled if this process did not get
// CPU time between two rounds: the nodes may not have got it either, so the
// sample is not conclusive.
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

// configure writes the next version of the configuration. Each version has one
// route that no other version has.
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
	err := s.store.Configure(s.version, []mwstandin.Route{
		route("browse", browsePath, serviceA, true),
		route("order", orderPath, serviceB, false),
		route("version", versionPath(s.version), serviceA, true),
	}, []string{serviceA, serviceB})
	s.checker.ChangeAcked(s.version, time.Now())
	return err
}

// change writes the next version of the configuration.
func (s *Scene) change() {
	if err := s.configure(); err != nil {
		panic(err) // Unreachable: the routes of the soak can always be encoded.
	}
}

// newest returns the newest version of the configuration.
func (s *Scene) newest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// storeFault returns the fault that the store applies to a request.
func (s *Scene) storeFault(*http.Request) mwstandin.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// idSource generates ids of requests, backend servers and their starts.
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
