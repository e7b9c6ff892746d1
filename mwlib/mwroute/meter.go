package mwroute

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwid"
)

// meter holds the router's metrics.
type meter struct {
	set      *metrics.Set
	calls    [distances]*metrics.Counter
	spills   [distances]*metrics.Counter
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
	for d := range distances {
		m.calls[d] = s.GetOrCreateCounter(fmt.Sprintf("mw_route_calls_total{distance=%q}", d))
		m.spills[d] = s.GetOrCreateCounter(fmt.Sprintf("mw_route_spills_total{distance=%q}", d))
	}
	return m
}

// begun counts a call that is sent over distance d.
func (m *meter) begun(d distance) { m.calls[d].Inc() }

// picked counts a pick at distance d; spilled reports whether nearer targets
// were passed over for lack of room.
func (m *meter) picked(d distance, spilled bool) {
	if spilled {
		m.spills[d].Inc()
	}
}

func ejectedName(s mwid.ServiceName) string {
	return fmt.Sprintf("mw_route_ejected{service=%q}", s)
}

// ejected sets the number of ejected targets of s.
func (m *meter) ejected(s mwid.ServiceName, n int) {
	m.set.GetOrCreateGauge(ejectedName(s), nil).Set(float64(n))
}

// forget unregisters the metrics of s.
func (m *meter) forget(s mwid.ServiceName) { m.set.UnregisterMetric(ejectedName(s)) }
