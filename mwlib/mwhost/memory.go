package mwhost

import (
	"mustardwheel.example/mwlib/mwmemory"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

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

// heldMemoryShare is the share of the process's memory for requests beyond
// mwmemory.Allowance. What remains is for the state of the node, garbage between two
// collections and the buffers of the operating system.
const heldMemoryShare = 0.12

// heldMemory returns the memory for requests beyond mwmemory.Allowance, 0 if it is
// unlimited.
func heldMemory(set *mwsetting.Node) mwunit.Bytes {
	return mwunit.Bytes(heldMemoryShare * float64(set.Place.Memory*mwunit.MB))
}
