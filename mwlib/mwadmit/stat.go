package mwadmit

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwlane"
)

// stats creates the metrics of an admission.
type stats struct {
	set *metrics.Set
}

// gateStats are the metrics of one service.
type gateStats struct {
	admitted *metrics.Counter
	refusals []refusals // in the order of refusalCodes
	waits    [mwlane.Count]*metrics.Histogram
}

// refusals counts the calls that were refused with one code.
type refusals struct {
	code mwcode.Code
	n    *metrics.Counter
}

// refusalCodes are the codes with which an Adaptive refuses calls.
var refusalCodes = []mwcode.Code{
	mwcode.Overloaded, mwcode.DeadlineTooShort, mwcode.DeadlinePassed,
	mwcode.RetiredCeiling, mwcode.LaneFull, mwcode.CallerGone, mwcode.Draining,
}

// gate returns the metrics of service s.
func (st *stats) gate(s mwid.ServiceName) *gateStats {
	g := &gateStats{
		admitted: st.set.GetOrCreateCounter(fmt.Sprintf("mw_admission_admitted_total{service=%q}", s)),
	}
	for _, c := range refusalCodes {
		n := st.set.GetOrCreateCounter(fmt.Sprintf(
			`mw_admission_refused_total{service=%q,code="%d"}`, s, int(c)))
		g.refusals = append(g.refusals, refusals{c, n})
	}
	for l := range g.waits {
		g.waits[l] = st.set.GetOrCreateHistogram(fmt.Sprintf(
			"mw_admission_wait_seconds{service=%q,lane=%q}", s, mwlane.Lane(l)))
	}
	return g
}

// watch registers gauges of the load of service s.
func (st *stats) watch(s mwid.ServiceName, load func() mwkernel.Load) {
	gauge := func(name string, f func(mwkernel.Load) float64) {
		st.set.GetOrCreateGauge(fmt.Sprintf("%s{service=%q}", name, s), func() float64 { return f(load()) })
	}
	gauge("mw_admission_limit", func(l mwkernel.Load) float64 { return float64(l.Limit) })
	gauge("mw_admission_in_flight", func(l mwkernel.Load) float64 { return float64(l.InFlight) })
	gauge("mw_admission_queued", func(l mwkernel.Load) float64 { return float64(l.Queued) })
	gauge("mw_admission_threshold_importance", func(l mwkernel.Load) float64 {
		return float64(l.Threshold.Importance())
	})
}

// countRefusal counts a call refused with code c and returns the error for it.
func (g *gateStats) countRefusal(c mwcode.Code) error {
	for _, r := range g.refusals {
		if r.code == c {
			r.n.Inc()
		}
	}
	return mwcode.New(c)
}

// observeWait records how long a call of lane l was queued.
func (g *gateStats) observeWait(l mwlane.Lane, d time.Duration) {
	g.waits[l].Update(d.Seconds())
}
