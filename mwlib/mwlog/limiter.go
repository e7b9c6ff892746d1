package mwlog

import (
	"sync"
	"time"
)

// Limiter limits how often lines of one kind are logged. It is for lines about
// other nodes, whose number grows with the fleet: when hundreds of nodes restart,
// they must not displace the lines about calls.
type Limiter struct {
	perSecond int

	mu      sync.Mutex
	second  int64 // second of the last line, Unix time
	lines   int   // lines in that second
	omitted int   // lines omitted since the last line that was allowed
}

// NewLimiter returns a Limiter that allows n lines in each second.
func NewLimiter(n int) *Limiter { return &Limiter{perSecond: n} }

// Allow reports whether a line may be logged at now. If so, it also returns the
// number of lines that were omitted before it.
func (l *Limiter) Allow(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.lines = s, 0
	}
	if l.lines >= l.perSecond {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
