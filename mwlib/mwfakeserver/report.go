package mwfakeserver

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwunit"
)

// LoadPath is the path of the load report.
const LoadPath = "/load"

// Load is a load report.
type Load struct {
	InFlight mwunit.Slots
	Queued   mwunit.Slots
}

// Reporting sets how a load report deviates from the load.
type Reporting struct {
	// Lag is the age of the reported load.
	Lag time.Duration
	// Factor multiplies the reported load; 1 reports it unchanged.
	Factor mwunit.Ratio
}

// reportPeriod is the time between two samples of the load.
const reportPeriod = 100 * time.Millisecond

// report keeps the samples of the load that cover the lag.
type report struct {
	Reporting
	mu      sync.Mutex
	samples []Load
}

// addSample adds the sample l, and removes samples older than the lag.
func (p *report) addSample(l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, l)
	if n := int(p.Lag/reportPeriod) + 1; len(p.samples) > n {
		p.samples = p.samples[len(p.samples)-n:]
	}
}

// reportedLoad returns the load to report.
func (p *report) reportedLoad() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.samples) == 0 {
		return Load{}
	}
	l := p.samples[0]
	l.InFlight = mwunit.Slots(float64(l.InFlight) * float64(p.Factor))
	l.Queued = mwunit.Slots(float64(l.Queued) * float64(p.Factor))
	return l
}

// watch samples the load of g until stop is closed.
func (p *report) watch(g *gate, stop <-chan struct{}) {
	for wait(reportPeriod, stop) {
		p.addSample(g.load())
	}
}

// serve answers with the load report.
func (p *report) serve(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	// Encode fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(p.reportedLoad())
}
