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

// Reporting says how a load report misleads.
type Reporting struct {
	// Lag is how old the load is that the report shows.
	Lag time.Duration
	// Factor is what the load is multiplied by; 1 is the truth.
	Factor mwunit.Ratio
}

// reportPeriod is the time between two looks at the load.
const reportPeriod = 100 * time.Millisecond

// report keeps the load of the last while.
type report struct {
	Reporting
	mu   sync.Mutex
	past []Load
}

// look adds l, and forgets what is older than the lag.
func (p *report) look(l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.past = append(p.past, l)
	if n := int(p.Lag/reportPeriod) + 1; len(p.past) > n {
		p.past = p.past[len(p.past)-n:]
	}
}

// shown returns the load as it is reported.
func (p *report) shown() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.past) == 0 {
		return Load{}
	}
	l := p.past[0]
	l.InFlight = mwunit.Slots(float64(l.InFlight) * float64(p.Factor))
	l.Queued = mwunit.Slots(float64(l.Queued) * float64(p.Factor))
	return l
}

// watch looks at the load of g until stop is closed.
func (p *report) watch(g *gate, stop <-chan struct{}) {
	for wait(reportPeriod, stop) {
		p.look(g.load())
	}
}

// serve answers with the load report.
func (p *report) serve(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	// An error here is that of a caller that left; nobody is there to tell.
	_ = json.NewEncoder(w).Encode(p.shown())
}
