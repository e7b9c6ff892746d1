package mwadmit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// server simulates a backend server: its workers take calls in first-in,
// first-out order, and slow returns the factor by which work that starts at a
// given time takes longer.
type server struct {
	workers chan struct{}
	slow    func(at time.Duration) float64
	// fullFactor is the factor by which work takes longer if it starts while
	// more than 19/20 of the workers are busy.
	fullFactor float64
	start      time.Time
}

func newServer(workers int) *server {
	return &server{
		workers: make(chan struct{}, workers), start: time.Now(),
		slow: func(time.Duration) float64 { return 1 }, fullFactor: 1,
	}
}

// work does work of length d and reports whether it finished before ctx ended.
func (s *server) work(ctx context.Context, d time.Duration) bool {
	select {
	case s.workers <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.workers }()
	d = time.Duration(float64(d) * s.slow(time.Since(s.start)))
	if 20*len(s.workers) > 19*cap(s.workers) {
		d = time.Duration(float64(d) * s.fullFactor)
	}
	select {
	case <-mwtimer.NewTimer(d).C:
		return true
	case <-ctx.Done():
		return false
	}
}

// demand is one kind of call in a load.
type demand struct {
	importance mwunit.Importance
	length     mwconfig.Length
	took       time.Duration // took is the mean service time of a call.
	rate       func(at time.Duration) float64
	timeout    time.Duration
	attempts   int
	retired    mwconfig.Verdict
	slow       func(at time.Duration) float64 // slow returns the factor by which a call sent at a given time takes longer.
	path       string
	caller     mwid.CallerName
}

// load describes a run of demands against a backend server behind an admission.
type load struct {
	plugin     mwregistry.Name
	set        mwsetting.Admit
	slots      mwunit.Slots // slots is the announced number.
	workers    int          // workers is the actual number of slots.
	slow       func(at time.Duration) float64
	fullFactor float64             // fullFactor is that of the server; 0 means 1.
	class      mwkernel.Classifier // class sets the length classes; if nil, those of the demands apply.
	length     time.Duration
	demands    []demand
}

// report holds the results of one demand, by the second in which a call was
// sent: the calls sent, the calls answered and the latencies of the latter.
type report struct {
	mu    sync.Mutex
	sent  []int
	good  []int
	took  [][]time.Duration
	codes map[mwcode.Code]int
}

// ratio returns the ratio of answered calls among those sent from second a to
// b.
func (r *report) ratio(a, b int) float64 {
	sent, good := 0, 0
	for i := a; i < b; i++ {
		sent += r.sent[i]
		good += r.good[i]
	}
	return float64(good) / float64(max(sent, 1))
}

// rate returns the answered calls per second from second a to b.
func (r *report) rate(a, b int) float64 {
	good := 0
	for i := a; i < b; i++ {
		good += r.good[i]
	}
	return float64(good) / float64(b-a)
}

// quantile returns the quantile q of the latencies of the answered calls that
// were sent from second a to b.
func (r *report) quantile(q float64, a, b int) time.Duration {
	took := slices.Concat(r.took[a:b]...)
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return took[int(q*float64(len(took)-1))]
}

// runner executes one load.
type runner struct {
	load
	admit  mwkernel.Admission
	server *server
	wg     sync.WaitGroup
}

// run runs l in virtual time with a seed and returns one report per demand.
func run(t *testing.T, l load, seed uint64) (reports []*report) {
	synctest.Test(t, func(t *testing.T) {
		r := &runner{load: l, admit: makeAdmission(t, l.plugin, l.set, l.slots), server: newServer(l.workers)}
		if l.slow != nil {
			r.server.slow = l.slow
		}
		if l.fullFactor > 0 {
			r.server.fullFactor = l.fullFactor
		}
		for i, d := range l.demands {
			n := int(l.length/time.Second) + 1
			rep := &report{
				sent: make([]int, n), good: make([]int, n), took: make([][]time.Duration, n),
				codes: make(map[mwcode.Code]int),
			}
			reports = append(reports, rep)
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			r.wg.Go(func() { r.arrive(t.Context(), d, rep, rng) })
		}
		r.wg.Wait()
	})
	return reports
}

// arrive sends the calls of d at random times, whether or not earlier ones were
// answered.
func (r *runner) arrive(ctx context.Context, d demand, rep *report, rng *rand.Rand) {
	start := time.Now()
	for n := 0; time.Since(start) < r.length; n++ {
		rate := d.rate(time.Since(start))
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		at := int(time.Since(start) / time.Second)
		if at >= len(rep.sent) {
			return
		}
		rep.sent[at]++
		took := time.Duration((0.5 + rng.Float64()) * float64(d.took))
		if d.slow != nil {
			took = time.Duration(d.slow(time.Since(start)) * float64(took))
		}
		root := mwid.RootID(fmt.Sprint(d.importance, "-", rng.Uint64()))
		r.wg.Go(func() { r.call(ctx, d, rep, root, at, took) })
	}
}

// call sends one call, and retries it until it is answered or its attempts are
// used up.
func (r *runner) call(ctx context.Context, d demand, rep *report, root mwid.RootID, at int, took time.Duration) {
	start := time.Now()
	for range max(d.attempts, 1) {
		code := r.attempt(ctx, d, root, took)
		rep.mu.Lock()
		rep.codes[code]++
		if code == mwcode.OK {
			rep.good[at]++
			rep.took[at] = append(rep.took[at], time.Since(start))
		}
		rep.mu.Unlock()
		if code == mwcode.OK {
			return
		}
	}
}

func (r *runner) attempt(ctx context.Context, d demand, root mwid.RootID, took time.Duration) mwcode.Code {
	c := newCall(d.importance, root)
	c.Class.Length, c.Caller = d.length, d.caller
	c.Class.Retired, c.Class.Floor, c.Class.Ceiling = d.retired.Retired, d.retired.Floor, d.retired.Ceiling
	c.Deadline = time.Now().Add(d.timeout)
	if r.class != nil {
		c.Path, c.Importance, c.HasImportance = d.path, d.importance, true
		r.class.Classify(c, noPolicies, mwconfig.Server{})
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	release, err := r.admit.Admit(ctx, c)
	if err != nil {
		return mwcode.CodeOf(err)
	}
	start := time.Now()
	ok := r.server.work(ctx, took)
	elapsed := time.Since(start)
	s := mwcall.Sample{Took: elapsed, First: elapsed, Cancelled: !ok}
	release(s)
	if r.class != nil {
		r.class.Observe(c, s)
	}
	if !ok {
		return mwcode.Silent
	}
	return mwcode.OK
}

// noPolicies is a configuration without documents.
var noPolicies = func() *mwconfig.Snapshot {
	s, err := mwconfig.Compile(1, nil)
	if err != nil {
		panic(err)
	}
	return s
}()

// steady returns a constant rate.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// surge returns a rate that is n times as high from a to b.
func surge(rate, n float64, a, b time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= a && at < b {
			return n * rate
		}
		return rate
	}
}
