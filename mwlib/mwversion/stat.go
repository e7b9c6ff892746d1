package mwversion

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwid"
)

// stats are the counters of the configuration.
type stats struct {
	set     *metrics.Set
	version *metrics.Gauge
}

func newStats(s *metrics.Set) *stats {
	return &stats{set: s, version: s.GetOrCreateGauge("mw_config_version", nil)}
}

// installed counts a version put in force.
func (s *stats) installed(o origin, v mwid.Version) {
	s.version.Set(float64(v))
	s.count("installs", o)
}

// stale counts a version that was too low.
func (s *stats) stale(o origin) { s.count("stale_reads", o) }

// refused counts a configuration that could not be put in force.
func (s *stats) refused(o origin) { s.count("refused", o) }

// failed counts a read or fetch without an answer.
func (s *stats) failed(o origin) { s.count("failures", o) }

// read counts a read or fetch.
func (s *stats) read(o origin) { s.count("reads", o) }

func (s *stats) count(what string, o origin) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`mw_config_%s_total{origin=%q}`, what, o)).Inc()
}
