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

// count counts one attempt of o with result code c.
func (s *stats) count(o op, c mwcode.Code) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`mw_store_requests_total{op=%q,code="%d"}`, opNames[o], int(c))).Inc()
}
