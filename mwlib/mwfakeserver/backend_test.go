package mwfakeserver_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwfakeserver"
	"mustardwheel.example/mwlib/mwunit"
)

// calls makes n concurrent calls. It returns the number of calls by status, and
// the number of answers that state that the call was not run.
func calls(b *mwfakeserver.Backend, n int, timeout string) (status map[int]int, notRun int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	status = make(map[int]int)
	for i := range n {
		wg.Go(func() {
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			r.Header.Set(mwfakeserver.RequestIDHeader, fmt.Sprint(i))
			if timeout != "" {
				r.Header.Set("Mw-Timeout", timeout)
			}
			w := httptest.NewRecorder()
			b.ServeHTTP(w, r)
			mu.Lock()
			defer mu.Unlock()
			status[w.Code]++
			if w.Header().Get("Mw-Not-Run") == "1" {
				notRun++
			}
		})
	}
	wg.Wait()
	return status, notRun
}

var oneSecondWork = mwfakeserver.WithClasses(mwfakeserver.Class{Prefix: "/", Time: time.Second})

func TestSlotsAndQueue(t *testing.T) {
	tests := []struct {
		name    string
		opts    []mwfakeserver.Option
		n       int
		timeout string
		status  map[int]int
		notRun  int
		took    time.Duration
		totals  mwfakeserver.Totals
	}{{
		name:   "enough slots",
		n:      2,
		status: map[int]int{200: 2},
		took:   time.Second,
		totals: mwfakeserver.Totals{Run: 2, Done: 2},
	}, {
		name:   "queued calls run after others",
		n:      4,
		status: map[int]int{200: 4},
		took:   2 * time.Second,
		totals: mwfakeserver.Totals{Run: 4, Done: 4},
	}, {
		name:   "full queue refuses, stating that calls did not run",
		n:      7,
		status: map[int]int{200: 5, 503: 2},
		notRun: 2,
		took:   3 * time.Second,
		totals: mwfakeserver.Totals{Run: 5, Done: 5, Shed: 2},
	}, {
		name:   "full queue with plain refusals",
		opts:   []mwfakeserver.Option{mwfakeserver.WithoutNotRunHeader()},
		n:      7,
		status: map[int]int{200: 5, 503: 2},
		took:   3 * time.Second,
		totals: mwfakeserver.Totals{Run: 5, Done: 5, Shed: 2},
	}, {
		name:    "time-out in a slot and in the queue",
		n:       4,
		timeout: "500ms",
		status:  map[int]int{503: 2, 504: 2},
		notRun:  2,
		took:    500 * time.Millisecond,
		totals:  mwfakeserver.Totals{Run: 2, GivenUp: 4},
	}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				opts := append([]mwfakeserver.Option{oneSecondWork, mwfakeserver.WithSlots(2, 3)}, test.opts...)
				b, stop := mwfakeserver.NewBackend(opts...)
				defer stop()
				start := time.Now()
				status, notRun := calls(b, test.n, test.timeout)
				c.Assert(time.Since(start), qt.Equals, test.took)
				c.Assert(status, qt.DeepEquals, test.status)
				c.Assert(notRun, qt.Equals, test.notRun)
				c.Assert(b.Record().Totals(), qt.Equals, test.totals)
				c.Assert(b.Load(), qt.Equals, mwfakeserver.Load{})
			})
		})
	}
}

func TestServiceTime(t *testing.T) {
	tests := []struct {
		name string
		opt  mwfakeserver.Option
		slow mwunit.Ratio
		took time.Duration
	}{{
		name: "slowed",
		opt:  oneSecondWork, slow: 10,
		took: 10 * time.Second,
	}, {
		name: "straggler",
		opt: mwfakeserver.WithClasses(mwfakeserver.Class{
			Prefix: "/", Time: time.Second, Stragglers: 1, StragglerFactor: 20,
		}), slow: 1,
		took: 20 * time.Second,
	}, {
		name: "cold start",
		opt:  mwfakeserver.WithColdStart(time.Minute, 3), slow: 1,
		took: 15 * time.Millisecond,
	}, {
		name: "streamed",
		opt: mwfakeserver.WithClasses(mwfakeserver.Class{
			Prefix: "/", Time: 16 * time.Second, Body: 1000, Streamed: true,
		}), slow: 1,
		took: 16 * time.Second,
	}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				b, stop := mwfakeserver.NewBackend(test.opt)
				defer stop()
				b.SetSlowness(test.slow)
				start := time.Now()
				status, _ := calls(b, 1, "")
				c.Assert(status, qt.DeepEquals, map[int]int{200: 1})
				c.Assert(time.Since(start), qt.Equals, test.took)
			})
		})
	}
}

func TestLoadReportLagsAndLies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b, stop := mwfakeserver.NewBackend(oneSecondWork,
			mwfakeserver.WithReporting(mwfakeserver.Reporting{Lag: 500 * time.Millisecond, Factor: 2}))
		defer stop()
		report := func() string {
			w := httptest.NewRecorder()
			b.ServeHTTP(w, httptest.NewRequest(http.MethodGet, mwfakeserver.LoadPath, nil))
			return w.Body.String()
		}
		var wg sync.WaitGroup
		time.Sleep(time.Second + time.Millisecond)
		wg.Go(func() { calls(b, 3, "") })
		time.Sleep(300 * time.Millisecond)
		c.Assert(report(), qt.Equals, "{\"InFlight\":0,\"Queued\":0}\n")
		time.Sleep(600 * time.Millisecond)
		c.Assert(report(), qt.Equals, "{\"InFlight\":6,\"Queued\":0}\n")
		wg.Wait()
	})
}

func TestCancelledCallFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b, stop := mwfakeserver.NewBackend(oneSecondWork, mwfakeserver.WithSlots(1, 1))
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		r := httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx)
		b.ServeHTTP(httptest.NewRecorder(), r)
		c.Assert(b.Load(), qt.Equals, mwfakeserver.Load{})
		c.Assert(b.Record().Totals(), qt.Equals, mwfakeserver.Totals{Run: 1, GivenUp: 1})
	})
}
