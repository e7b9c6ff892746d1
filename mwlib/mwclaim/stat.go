package mwclaim

import "github.com/VictoriaMetrics/metrics"

// stats are the counters of claims.
type stats struct {
	transactions *metrics.Counter
	rows         *metrics.Counter
	granted      *metrics.Counter
	replayed     *metrics.Counter
	held         *metrics.Counter
	reused       *metrics.Counter
	unavailable  *metrics.Counter
	unknown      *metrics.Counter
	readBack     *metrics.Counter
	runFirst     *metrics.Counter
	settled      *metrics.Counter
	dropped      *metrics.Counter
	conflicts    *metrics.Counter
	grouped      *metrics.Counter
	noReply      *metrics.Counter
}

func newStats(s *metrics.Set) *stats {
	return &stats{
		transactions: s.GetOrCreateCounter("mw_claim_transactions_total"),
		rows:         s.GetOrCreateCounter("mw_claim_rows_total"),
		granted:      s.GetOrCreateCounter(`mw_claims_total{result="granted"}`),
		replayed:     s.GetOrCreateCounter(`mw_claims_total{result="replayed"}`),
		held:         s.GetOrCreateCounter(`mw_claims_total{result="held"}`),
		reused:       s.GetOrCreateCounter(`mw_claims_total{result="key_reused"}`),
		unavailable:  s.GetOrCreateCounter(`mw_claims_total{result="away"}`),
		unknown:      s.GetOrCreateCounter(`mw_claims_total{result="unknown"}`),
		runFirst:     s.GetOrCreateCounter(`mw_claims_total{result="run_first"}`),
		readBack:     s.GetOrCreateCounter("mw_claim_read_backs_total"),
		settled:      s.GetOrCreateCounter("mw_claim_settled_total"),
		dropped:      s.GetOrCreateCounter("mw_claim_settle_dropped_total"),
		grouped:      s.GetOrCreateCounter("mw_claim_grouped_total"),
		noReply:      s.GetOrCreateCounter("mw_claim_writer_silent_total"),
		conflicts:    s.GetOrCreateCounter("mw_claim_clashes_total"),
	}
}
