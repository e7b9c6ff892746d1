package mwload

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwunit"
)

// Bounds of the histograms, in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 3
)

// Tally keeps the results of a run by kind and by window of the intended
// start; answers are counted by the window of their end too. Each kind and window is a key of its own, so that requests seldom
// wait for each other.
type Tally struct {
	width time.Duration
	m     *mwshard.Map[cell, *sums]
}

// cell is one kind in one window.
type cell struct {
	kind      Kind
	window    int
	completed bool // completed tells that window is that of the end.
}

// sums are the results of one cell; its shard's lock guards it.
type sums struct {
	Counts
	latency *hdrhistogram.Histogram
	wait    *hdrhistogram.Histogram
}

// Counts counts requests.
type Counts struct {
	Sent     int
	OK       int
	Attempts mwunit.Attempts
}

// OKRatio returns the part of the requests that were answered in time; it is
// 1 where there was none.
func (c Counts) OKRatio() mwunit.Ratio {
	if c.Sent == 0 {
		return 1
	}
	return mwunit.Ratio(c.OK) / mwunit.Ratio(c.Sent)
}

// NewTally returns a Tally with windows of the given width.
func NewTally(width time.Duration) *Tally {
	return &Tally{width: width, m: mwshard.New[cell, *sums](mwshard.DefaultShards)}
}

func newSums() *sums {
	return &sums{latency: newHistogram(), wait: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// Add adds r.
func (t *Tally) Add(r Result) {
	t.update(cell{kind: r.Kind, window: int(r.At / t.width)}, func(s *sums) { s.add(r) })
	if r.OK {
		end := cell{kind: r.Kind, window: int((r.At + r.Took) / t.width), completed: true}
		t.update(end, func(s *sums) { s.OK++ })
	}
}

func (t *Tally) update(k cell, f func(*sums)) {
	t.m.Update(k, func(s *sums, ok bool) (*sums, bool) {
		if !ok {
			s = newSums()
		}
		f(s)
		return s, true
	})
}

func (s *sums) add(r Result) {
	s.Sent++
	s.Attempts += r.Attempts
	if !r.OK {
		return
	}
	s.OK++
	record(s.latency, r.Took)
	record(s.wait, r.Took-r.Work)
}

// record adds d, or the nearest bound.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the bounds, so that there is no error.
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// Span is a part of a run: [From, To).
type Span struct {
	From time.Duration
	To   time.Duration
}

// Summary is what came of the requests of a kind in a span.
type Summary struct {
	Counts
	// Completed counts the requests that were answered in time within the span,
	// whenever they started.
	Completed int
	span      Span
	latency   *hdrhistogram.Histogram
	wait      *hdrhistogram.Histogram
}

// Sum returns the results of the kinds ks whose windows start in sp.
func (t *Tally) Sum(sp Span, ks ...Kind) Summary {
	out := Summary{span: sp, latency: newHistogram(), wait: newHistogram()}
	t.m.Range(func(c cell, s *sums) bool {
		at := time.Duration(c.window) * t.width
		if at < sp.From || at >= sp.To || !slices.Contains(ks, c.kind) {
			return true
		}
		if c.completed {
			out.Completed += s.OK
			return true
		}
		out.add(s)
		return true
	})
	return out
}

func (s *Summary) add(v *sums) {
	s.Sent += v.Sent
	s.OK += v.OK
	s.Attempts += v.Attempts
	s.latency.Merge(v.latency)
	s.wait.Merge(v.wait)
}

// Goodput returns the requests that were answered in time within the span,
// for each second of it.
func (s Summary) Goodput() mwunit.PerSecond {
	return mwunit.PerSecond(float64(s.Completed) / (s.span.To - s.span.From).Seconds())
}

// Percentile is from 0 to 100.
type Percentile float64

// Took returns the percentile p of the times from intended start to end.
func (s Summary) Took(p Percentile) time.Duration { return quantile(s.latency, p) }

// Wait returns the percentile p of the times that were not work.
func (s Summary) Wait(p Percentile) time.Duration { return quantile(s.wait, p) }

func quantile(h *hdrhistogram.Histogram, p Percentile) time.Duration {
	return time.Duration(h.ValueAtQuantile(float64(p))) * time.Microsecond
}

// Recovery returns how long after from the part of the requests of ks that
// are answered in time stays at floor or above, up to the end of the span to.
// It returns the length of the whole span where it never does.
func (t *Tally) Recovery(sp Span, floor mwunit.Ratio, ks ...Kind) time.Duration {
	var d time.Duration
	for at := sp.From; at < sp.To; at += t.width {
		if t.Sum(Span{From: at, To: at + t.width}, ks...).OKRatio() < floor {
			d = at + t.width - sp.From
		}
	}
	return d
}
