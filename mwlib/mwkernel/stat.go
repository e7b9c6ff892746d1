package mwkernel

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwcode"
)

// stats holds the metrics of the calls that a node processes.
type stats struct {
	set       *metrics.Set
	retries   *metrics.Counter
	redirects *metrics.Counter
	hedges    *metrics.Counter
	cut       *metrics.Counter
	adopted   *metrics.Counter
	orphans   *metrics.Counter
	times     map[string]*metrics.Histogram // durations of calls at the node that routed them, by outcome
}

// Outcomes of calls at the node that routed them, as values of a metric label.
const (
	outcomeGood    = "good"
	outcomeFailed  = "failed"
	outcomeRefused = "refused"
	outcomeUnknown = "unknown"
)

func newStats(s *metrics.Set) *stats {
	times := make(map[string]*metrics.Histogram)
	for _, o := range []string{outcomeGood, outcomeFailed, outcomeRefused, outcomeUnknown} {
		times[o] = s.GetOrCreateHistogram(fmt.Sprintf(`mw_call_duration_seconds{outcome=%q}`, o))
	}
	return &stats{
		times:     times,
		set:       s,
		retries:   s.GetOrCreateCounter("mw_retries_total"),
		redirects: s.GetOrCreateCounter("mw_redirects_total"),
		hedges:    s.GetOrCreateCounter("mw_hedges_total"),
		adopted:   s.GetOrCreateCounter("mw_calls_adopted_total"),
		orphans:   s.GetOrCreateCounter("mw_calls_without_parent_total"),
		cut:       s.GetOrCreateCounter("mw_answers_cut_total"),
	}
}

// recordCall records how long a call took from its arrival to the head of its
// answer.
func (s *stats) recordCall(code mwcode.Code, failed bool, took time.Duration) {
	o := outcomeGood
	switch {
	case code.NotRun():
		o = outcomeRefused
	case code != mwcode.OK:
		o = outcomeUnknown
	case failed:
		o = outcomeFailed
	}
	s.times[o].Update(took.Seconds())
}

// countParentSearch counts a call whose parent the kernel searched for; ok
// means that the parent was found.
func (s *stats) countParentSearch(ok bool) {
	if ok {
		s.adopted.Inc()
		return
	}
	s.orphans.Inc()
}

// countRefusal counts one call that ended with code c.
func (s *stats) countRefusal(c mwcode.Code) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`mw_refusals_total{code="%d"}`, int(c))).Inc()
}
