package mwlimit

import "time"

// descent detects whether a falling limit lowers the latency. If calls queue in
// the backend server, the latency falls with the number in flight. If it does
// not, something else is slow, and a lower limit only refuses calls that could
// have been served.
type descent struct {
	from    float64 // from is the limit at the start of the descent.
	peak    time.Duration
	windows int
}

// Parameters of descent.
const (
	// descentWindows is the number of windows before a descent is judged, since
	// the latency lags behind the limit.
	descentWindows = 6
	// minDescent is the minimum decrease of the limit for a descent to be
	// judged, as a ratio.
	minDescent = 0.25
	// minResponse is the minimum decrease of the latency for a descent not to be
	// futile, as a ratio of the decrease of the limit.
	minResponse = 0.33
)

// futile records a step from limit to next and the latency measured at limit.
// It reports whether the descent so far has failed to lower the latency.
func (d *descent) futile(limit, next float64, latency time.Duration) bool {
	if next >= limit && d.windows < descentWindows {
		*d = descent{}
		return false
	}
	if d.windows == 0 {
		d.from = limit
	}
	d.windows++
	d.peak = max(d.peak, latency)
	if d.windows < descentWindows {
		return false
	}
	limitDrop := 1 - next/d.from
	latencyDrop := 1 - float64(latency)/float64(d.peak)
	if next >= limit && limitDrop < minDescent {
		*d = descent{}
		return false
	}
	return limitDrop >= minDescent && latencyDrop < minResponse*limitDrop
}
