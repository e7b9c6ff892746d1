package mwkernel

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwcode"
)

// stats are the counters of the path of a call.
type stats struct {
	set       *metrics.Set
	retries   *metrics.Counter
	redirects *metrics.Counter
	hedges    *metrics.Counter
	cut       *metrics.Counter
	adopted   *metrics.Counter
	orphans   *metrics.Counter
}

func newStats(s *metrics.Set) *stats {
	return &stats{
		set:       s,
		retries:   s.GetOrCreateCounter("mw_retries_total"),
		redirects: s.GetOrCreateCounter("mw_redirects_total"),
		hedges:    s.GetOrCreateCounter("mw_hedges_total"),
		adopted:   s.GetOrCreateCounter("mw_calls_adopted_total"),
		orphans:   s.GetOrCreateCounter("mw_calls_without_parent_total"),
		cut:       s.GetOrCreateCounter("mw_answers_cut_total"),
	}
}

// found counts a call whose parent was looked for.
func (s *stats) found(ok bool) {
	if ok {
		s.adopted.Inc()
		return
	}
	s.orphans.Inc()
}

// refused counts one call that ended with code c.
func (s *stats) refused(c mwcode.Code) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`mw_refusals_total{code="%d"}`, int(c))).Inc()
}
