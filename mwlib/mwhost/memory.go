package mwhost

import "mustardwheel.example/mwlib/mwmemory"

// exportMemory exports the statistics of b as metrics.
func (h *Host) exportMemory(b *mwmemory.Budget) {
	for name, f := range map[string]func(mwmemory.Stats) float64{
		"mw_memory_held_bytes":    func(s mwmemory.Stats) float64 { return float64(s.Held) },
		"mw_memory_holders":       func(s mwmemory.Stats) float64 { return float64(s.Holders) },
		"mw_memory_refused_total": func(s mwmemory.Stats) float64 { return float64(s.Refused) },
		"mw_memory_evicted_total": func(s mwmemory.Stats) float64 { return float64(s.Evicted) },
	} {
		h.metrics.GetOrCreateGauge(name, func() float64 { return f(b.Stats()) })
	}
}
