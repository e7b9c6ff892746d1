package mwversion

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwid"
)

// stats holds the metrics of the configuration.
type stats struct {
	set     *metrics.Set
	version *metrics.Gauge
}

func newStats(s *metrics.Set) *stats {
	return &stats{set: s, version: s.GetOrCreateGauge("mw_config_version", nil)}
}

// installed counts a version that was put in force.
func (s *stats) installed(o origin, v mwid.Version) {
	s.version.Set(float64(v))
	s.count("installs", o)
}

// stale counts an offered version below the one in force.
func (s *stats) stale(o origin) { s.count("stale_reads", o) }

// refused counts a configuration that could not be put in force.
func (s *stats) refused(o origin) { s.count("refused", o) }

// failed counts a read or fetch that got no reply.
func (s *stats) failed(o origin) { s.count("failures", o) }

// read counts a read from the store or a fetch from a peer.
func (s *stats) read(o origin) { s.count("reads", o) }

func (s *stats) count(what string, o origin) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`mw_config_%s_total{origin=%q}`, what, o)).Inc()
}
