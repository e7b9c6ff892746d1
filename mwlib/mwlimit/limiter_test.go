package mwlimit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwlimit"
	"mustardwheel.example/mwlib/mwunit"
)

// limiter is implemented by a Limiter of any policy.
type limiter interface {
	Limit() mwunit.Slots
	SetBounds(mwunit.Slots, mwunit.Connections)
	Observe(time.Time, mwcall.Sample)
}

type maker struct {
	name string
	new  func(mwunit.Slots, mwunit.Connections) limiter
}

var makers = []maker{
	{"gradient", func(s mwunit.Slots, n mwunit.Connections) limiter { return mwlimit.New(mwlimit.NewGradient(), s, n) }},
	{"AIMD", func(s mwunit.Slots, n mwunit.Connections) limiter { return mwlimit.New(mwlimit.NewAIMD(), s, n) }},
}

// each runs f as a subtest for each limiter.
func each(t *testing.T, f func(*testing.T, maker)) {
	for _, m := range makers {
		t.Run(m.name, func(t *testing.T) { f(t, m) })
	}
}

// feed observes one second of calls that took d each, with inFlight in flight.
func feed(l limiter, now *time.Time, d time.Duration, inFlight mwunit.Slots) {
	for range 100 {
		observe(l, now, d, inFlight)
	}
}

func observe(l limiter, now *time.Time, d time.Duration, inFlight mwunit.Slots) {
	*now = now.Add(10 * time.Millisecond)
	l.Observe(*now, mwcall.Sample{Took: d, First: d, InFlight: inFlight})
}

func TestLimitStaysWithinItsBounds(t *testing.T) {
	each(t, func(t *testing.T, m maker) {
		rapid.Check(t, func(t *rapid.T) {
			slots := mwunit.Slots(rapid.IntRange(1, 200).Draw(t, "slots"))
			conns := mwunit.Connections(rapid.IntRange(1, 1000).Draw(t, "connections"))
			l, now := m.new(slots, conns), time.Now()
			for range rapid.IntRange(1, 200).Draw(t, "samples") {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "step")))
				d := time.Duration(rapid.Int64Range(-1, int64(time.Hour)).Draw(t, "took"))
				l.Observe(now, mwcall.Sample{
					Took: d, First: d, InFlight: mwunit.Slots(rapid.IntRange(0, 2000).Draw(t, "in flight")),
					Code: rapid.SampledFrom([]mwcode.Code{mwcode.OK, mwcode.BackendUnavailable}).Draw(t, "code"),
				})
				if n := l.Limit(); n < 1 || n > max(slots, mwunit.Slots(conns)) || n > mwunit.Slots(conns) && n > (slots+3)/4 {
					t.Fatalf("limit %d with %d slots and %d connections", n, slots, conns)
				}
			}
		})
	})
}

// saturate observes calls for the given number of seconds, with as many in
// flight as l allows, at a backend server that queues calls above its number of
// workers.
func saturate(l limiter, now *time.Time, seconds, workers int) {
	for range 100 * seconds {
		queueing := max(1, float64(l.Limit())/float64(workers))
		observe(l, now, time.Duration(queueing*float64(fast)), l.Limit())
	}
}

// refuse observes one second of calls like s, which is the sample of a call
// that the backend server refused or that was cancelled.
func refuse(l limiter, now *time.Time, s mwcall.Sample) {
	s.First, s.InFlight = 10*fast, 40
	for range 100 {
		*now = now.Add(10 * time.Millisecond)
		l.Observe(*now, s)
	}
}

// fast is the latency without queueing.
const fast = 10 * time.Millisecond

func TestLimitFollowsLatency(t *testing.T) {
	const slots, conns, workers = 40, 100, 20
	// atWorkers reports whether n is near the number of workers. The limiters
	// let some calls queue: about half as many as there are workers.
	atWorkers := func(n mwunit.Slots) bool { return n >= workers && n <= 2*workers-4 }
	tests := []struct {
		name string
		feed func(l limiter, now *time.Time)
		ok   func(after mwunit.Slots) bool
	}{
		{"starts from the announced slots", func(limiter, *time.Time) {}, func(n mwunit.Slots) bool { return n == slots }},
		{"rises while latency stays", func(l limiter, now *time.Time) { feed(l, now, fast, 60) }, func(n mwunit.Slots) bool { return n > slots }},
		{"calls far below the limit do not change it", func(l limiter, now *time.Time) {
			feed(l, now, fast, 20)
			feed(l, now, 10*fast, 20)
		}, func(n mwunit.Slots) bool { return n == slots }},
		{"falls to the number of workers", func(l limiter, now *time.Time) {
			feed(l, now, fast, 10)
			saturate(l, now, 10, workers)
		}, atWorkers},
		{"an overload that lasts is not taken for normal", func(l limiter, now *time.Time) {
			feed(l, now, fast, 10)
			saturate(l, now, 3600, workers)
		}, atWorkers},
		{"follows a backend server that loses half of its workers", func(l limiter, now *time.Time) {
			feed(l, now, fast, 10)
			saturate(l, now, 10, 2*workers)
			saturate(l, now, 30, workers)
		}, atWorkers},
		{"slowness that a lower limit does not ease", func(l limiter, now *time.Time) {
			feed(l, now, fast, 10)
			for range 30 {
				feed(l, now, 10*fast, l.Limit())
			}
		}, func(n mwunit.Slots) bool { return n >= slots }},
		{"falls if the backend server refuses calls", func(l limiter, now *time.Time) {
			refuse(l, now, mwcall.Sample{Code: mwcode.BackendUnavailable})
		}, func(n mwunit.Slots) bool { return n < slots }},
		{"cancelled calls do not change it", func(l limiter, now *time.Time) {
			refuse(l, now, mwcall.Sample{Cancelled: true})
		}, func(n mwunit.Slots) bool { return n == slots }},
	}
	each(t, func(t *testing.T, m maker) {
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				l, now := m.new(slots, conns), time.Now()
				test.feed(l, &now)
				qt.Assert(t, test.ok(l.Limit()), qt.IsTrue, qt.Commentf("%d", l.Limit()))
			})
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	for _, m := range makers {
		b.Run(m.name, func(b *testing.B) {
			l, now := m.new(90, 660), time.Now()
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				l.Observe(now, mwcall.Sample{First: time.Millisecond, InFlight: 80})
			}
		})
	}
}

func TestSlotsKeepsToItsPart(t *testing.T) {
	tests := []struct {
		name  string
		slots mwunit.Slots
		want  mwunit.Slots
	}{
		{"one", 1, 1},
		{"so few that leaving one free would cost throughput", 4, 4},
		{"few", 5, 4},
		{"some", 15, 14},
		{"many", 146, 138},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := mwlimit.New(mwlimit.NewSlots(0.95), test.slots, 1000)
			c.Check(l.Limit(), qt.Equals, test.want)
			l.SetBounds(20, 1000)
			c.Check(l.Limit(), qt.Equals, mwunit.Slots(19), qt.Commentf("after another announcement"))
		})
	}
}
