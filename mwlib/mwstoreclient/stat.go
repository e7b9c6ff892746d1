package mwstoreclient

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwcode"
)

// opNames are the values of the label op in metrics.
var opNames = [numOps]string{"get", "scan", "commit", "put_object", "get_object"}

// stats are the counters of a Client.
type stats struct {
	set     *metrics.Set
	retries *metrics.Counter
}

func newStats(s *metrics.Set, c *Client) *stats {
	s.GetOrCreateGauge(`mw_store_rate{kind="reads"}`, func() float64 { return float64(c.reads.current()) })
	s.GetOrCreateGauge(`mw_store_rate{kind="writes"}`, func() float64 { return float64(c.writes.current()) })
	s.GetOrCreateGauge("mw_store_breaker_open", func() float64 {
		if c.BreakerOpen() {
			return 1
		}
		return 0
	})
	return &stats{set: s, retries: s.GetOrCreateCounter("mw_store_retries_total")}
}

// CountRequest counts in s one attempt of an operation for u with result code c.
// Other clients of the same store use it for their own operations.
func CountRequest(s *metrics.Set, op string, u Use, c mwcode.Code) {
	s.GetOrCreateCounter(fmt.Sprintf(`mw_store_requests_total{op=%q,use=%q,code="%d"}`, op, u, int(c))).Inc()
}
