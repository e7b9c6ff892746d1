package mwroute

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwid"
)

// meter holds the router's metrics.
type meter struct {
	set      *metrics.Set
	calls    [numDistances]*metrics.Counter
	spills   [numDistances]*metrics.Counter
	early    *metrics.Counter
	probes   *metrics.Counter
	fallback *metrics.Counter
}

func newMeter(s *metrics.Set) *meter {
	m := &meter{
		set:      s,
		early:    s.GetOrCreateCounter("mw_route_early_refusals_total"),
		probes:   s.GetOrCreateCounter("mw_route_probes_total"),
		fallback: s.GetOrCreateCounter("mw_route_last_resort_total"),
	}
	for d := range numDistances {
		m.calls[d] = s.GetOrCreateCounter(fmt.Sprintf("mw_route_calls_total{distance=%q}", d))
		m.spills[d] = s.GetOrCreateCounter(fmt.Sprintf("mw_route_spills_total{distance=%q}", d))
	}
	return m
}

// countCall counts a call that is sent over distance d.
func (m *meter) countCall(d distance) { m.calls[d].Inc() }

// countPick counts a pick at distance d as a spill if spilled is set, that is,
// if nearer targets were passed over because they were busy or slow. It does
// not count other picks.
func (m *meter) countPick(d distance, spilled bool) {
	if spilled {
		m.spills[d].Inc()
	}
}

func ejectedName(s mwid.ServiceName) string {
	return fmt.Sprintf("mw_route_ejected{service=%q}", s)
}

// setEjected sets the number of ejected targets of s.
func (m *meter) setEjected(s mwid.ServiceName, n int) {
	m.set.GetOrCreateGauge(ejectedName(s), nil).Set(float64(n))
}

// unregister removes the metrics of s.
func (m *meter) unregister(s mwid.ServiceName) { m.set.UnregisterMetric(ejectedName(s)) }
