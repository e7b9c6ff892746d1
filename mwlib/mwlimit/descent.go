package mwlimit

import "time"

// descent watches whether a falling limit brings the latency down. Where
// calls queue in the backend server, the latency falls with the number in
// flight. Where it does not, something else is slow, and a lower limit only
// refuses calls that could have been served.
type descent struct {
	from    float64 // from is the limit that the fall began at.
	peak    time.Duration
	windows int
}

// Parameters of descent.
const (
	// descentWindows is the number of windows before a fall is judged: the
	// latency lags behind.
	descentWindows = 6
	// descentLeast is the part by which the limit must have fallen.
	descentLeast = 0.25
	// descentResponse is the part by which the latency must have eased, as a
	// part of that by which the limit fell.
	descentResponse = 0.33
)

// futile takes one step of the limit and the latency at it. It tells whether
// the fall so far was of no use.
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
	fell := 1 - next/d.from
	eased := 1 - float64(latency)/float64(d.peak)
	if next >= limit && fell < descentLeast {
		*d = descent{}
		return false
	}
	return fell >= descentLeast && eased < descentResponse*fell
}
