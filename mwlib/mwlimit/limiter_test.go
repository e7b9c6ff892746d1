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

// limiter is what both limiters have in common.
type limiter interface {
	Limit() mwunit.Slots
	Bound(mwunit.Slots, mwunit.Connections)
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

// each runs f for each limiter.
func each(t *testing.T, f func(*testing.T, maker)) {
	for _, m := range makers {
		t.Run(m.name, func(t *testing.T) { f(t, m) })
	}
}

// feed gives l a second of calls that took d each with inFlight at a time.
func feed(l limiter, now *time.Time, d time.Duration, inFlight mwunit.Slots) {
	for range 100 {
		*now = now.Add(10 * time.Millisecond)
		l.Observe(*now, mwcall.Sample{Took: d, First: d, InFlight: inFlight})
	}
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

func TestLimitFollowsLatency(t *testing.T) {
	const slots, conns = 40, 100
	fast, slow := 10*time.Millisecond, 100*time.Millisecond
	tests := []struct {
		name string
		feed func(l limiter, now *time.Time)
		ok   func(before, after mwunit.Slots) bool
	}{
		{"starts from the announced slots", func(limiter, *time.Time) {}, func(_, n mwunit.Slots) bool { return n == slots }},
		{"rises while latency stays", func(l limiter, now *time.Time) { feed(l, now, fast, 60) }, func(b, n mwunit.Slots) bool { return n > b }},
		{"far from the limit says nothing", func(l limiter, now *time.Time) { feed(l, now, fast, 20) }, func(b, n mwunit.Slots) bool { return n == b }},
		{"falls when latency rises", func(l limiter, now *time.Time) { feed(l, now, fast, 40); feed(l, now, slow, 60) }, func(b, n mwunit.Slots) bool { return n < b }},
		{"falls where the backend server refuses", func(l limiter, now *time.Time) {
			for range 100 {
				*now = now.Add(10 * time.Millisecond)
				l.Observe(*now, mwcall.Sample{First: fast, InFlight: 40, Code: mwcode.BackendUnavailable})
			}
		}, func(b, n mwunit.Slots) bool { return n < b }},
		{"an overload that lasts is not taken for normal", func(l limiter, now *time.Time) {
			feed(l, now, fast, 40)
			for range 300 {
				feed(l, now, slow, l.Limit())
				if l.Limit() <= slots*3/10 {
					return // From here on windows are light.
				}
			}
		}, func(b, n mwunit.Slots) bool { return n < b }},
		{"slower for good is learnt", func(l limiter, now *time.Time) {
			feed(l, now, fast, 40)
			for range 60 {
				feed(l, now, slow, l.Limit())
			}
		}, func(b, n mwunit.Slots) bool { return n >= b }},
		{"cancelled calls say nothing", func(l limiter, now *time.Time) {
			for range 100 {
				*now = now.Add(10 * time.Millisecond)
				l.Observe(*now, mwcall.Sample{First: slow, InFlight: 40, Cancelled: true})
			}
		}, func(b, n mwunit.Slots) bool { return n == b }},
	}
	each(t, func(t *testing.T, m maker) {
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				l, now := m.new(slots, conns), time.Now()
				before := l.Limit()
				test.feed(l, &now)
				qt.Assert(t, test.ok(before, l.Limit()), qt.IsTrue, qt.Commentf("%d to %d", before, l.Limit()))
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
