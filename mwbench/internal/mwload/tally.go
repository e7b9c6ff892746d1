package mwload

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwunit"
)

// Range of the histograms in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 3
)

// Tally aggregates the results of a run by kind and by window of the intended
// start. Requests answered in time are also counted by window of their end.
// Each kind and window has its own key in a sharded map, so that concurrent
// requests seldom contend for a lock. A Tally is safe for concurrent use.
type Tally struct {
	width time.Duration
	m     *mwshard.Map[cell, *sums]
}

// cell identifies one kind in one window.
type cell struct {
	kind      Kind
	window    int
	completed bool // window contains the end, not the intended start
}

// sums aggregates the results of one cell, under the lock of its shard.
type sums struct {
	Counts
	latency *hdrhistogram.Histogram
	wait    *hdrhistogram.Histogram
}

// Counts holds numbers of requests and of their attempts.
type Counts struct {
	Sent     int
	OK       int
	Attempts mwunit.Attempts
}

// OKRatio returns the fraction of requests that were answered in time, or 1 if
// there were none.
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

// Add adds the result r.
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

// record adds d to h, clamped to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the range, so there is no error.
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// Span is the part [From, To) of a run.
type Span struct {
	From time.Duration
	To   time.Duration
}

// Summary aggregates the requests of some kinds in a span.
type Summary struct {
	Counts
	// Completed counts the requests that were answered in time within the
	// span, whenever they started.
	Completed int
	span      Span
	latency   *hdrhistogram.Histogram
	wait      *hdrhistogram.Histogram
}

// Sum returns the results of the kinds ks in the windows that start in sp.
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

// Goodput returns the rate of requests that were answered in time within the
// span.
func (s Summary) Goodput() mwunit.PerSecond {
	return mwunit.PerSecond(float64(s.Completed) / (s.span.To - s.span.From).Seconds())
}

// Percentile is a percentile, from 0 to 100.
type Percentile float64

// Took returns percentile p of the times from intended start to end, of the
// requests answered in time.
func (s Summary) Took(p Percentile) time.Duration { return quantile(s.latency, p) }

// Wait returns percentile p of the times from intended start to end, less the
// backend server's processing time.
func (s Summary) Wait(p Percentile) time.Duration { return quantile(s.wait, p) }

func quantile(h *hdrhistogram.Histogram, p Percentile) time.Duration {
	return time.Duration(h.ValueAtQuantile(float64(p))) * time.Microsecond
}

// Recovery returns the time from the start of sp until the fraction of requests
// of ks answered in time stays at floor or above for the rest of sp, in whole
// windows. It returns the length of sp if the fraction never does.
func (t *Tally) Recovery(sp Span, floor mwunit.Ratio, ks ...Kind) time.Duration {
	var d time.Duration
	for at := sp.From; at < sp.To; at += t.width {
		if t.Sum(Span{From: at, To: at + t.width}, ks...).OKRatio() < floor {
			d = at + t.width - sp.From
		}
	}
	return d
}
