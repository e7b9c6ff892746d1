package mwversion

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwid"
)

// stats holds the metrics of a Fanout.
type stats struct {
	set     *metrics.Set
	version *metrics.Gauge
}

func newStats(s *metrics.Set) *stats {
	return &stats{set: s, version: s.GetOrCreateGauge("mw_config_version", nil)}
}

// countInstall counts a version that was put in force.
func (s *stats) countInstall(o origin, v mwid.Version) {
	s.version.Set(float64(v))
	s.count("installs", o)
}

// countStale counts an offered version below the one in force.
func (s *stats) countStale(o origin) { s.count("stale_reads", o) }

// countRefusal counts a configuration that could not be put in force.
func (s *stats) countRefusal(o origin) { s.count("refused", o) }

// countFailure counts a read from the store or a fetch from a peer that failed.
func (s *stats) countFailure(o origin) { s.count("failures", o) }

// countRead counts a read from the store or a fetch from a peer.
func (s *stats) countRead(o origin) { s.count("reads", o) }

func (s *stats) count(what string, o origin) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`mw_config_%s_total{origin=%q}`, what, o)).Inc()
}
