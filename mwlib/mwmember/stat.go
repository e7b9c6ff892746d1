package mwmember

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwunit"
)

// kind is a kind of message.
type kind int

// Kinds of messages.
const (
	pingKind kind = iota
	viaKind
	newsKind
	exportKind
	relayKind
	exchangeKind
	kinds
)

// names of the kinds in metrics.
var kindNames = [kinds]string{"ping", "via", "news", "export", "relay", "exchange"}

// stats are the counters of membership.
type stats struct {
	messages   [kinds]*metrics.Counter
	bytes      [kinds]*metrics.Counter
	failures   [kinds]*metrics.Counter
	suspicions *metrics.Counter
	deaths     *metrics.Counter
	refuted    *metrics.Counter
}

func newStats(s *metrics.Set) *stats {
	st := &stats{
		suspicions: s.GetOrCreateCounter("mw_member_suspicions_total"),
		deaths:     s.GetOrCreateCounter("mw_member_deaths_total"),
		refuted:    s.GetOrCreateCounter("mw_member_refutations_total"),
	}
	for k, n := range kindNames {
		st.messages[k] = s.GetOrCreateCounter(fmt.Sprintf(`mw_member_messages_total{kind=%q}`, n))
		st.bytes[k] = s.GetOrCreateCounter(fmt.Sprintf(`mw_member_bytes_total{kind=%q}`, n))
		st.failures[k] = s.GetOrCreateCounter(fmt.Sprintf(`mw_member_failures_total{kind=%q}`, n))
	}
	return st
}

// sent counts one message of kind k with its answer, as the asking side
// sees them.
func (s *stats) sent(k kind, n mwunit.Bytes) {
	s.messages[k].Inc()
	s.bytes[k].Add(int(n))
}

// slowness is how slow this node itself seems to be: 0 to maxSlowness. Waits
// for others are stretched by it, so that a node that is short of time does
// not take its neighbours for dead.
type slowness struct {
	mu sync.Mutex
	n  int
}

// maxSlowness is the greatest slowness.
const maxSlowness = 8

// add changes s by d within its bounds.
func (s *slowness) add(d int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n = min(max(s.n+d, 0), maxSlowness)
}

// factor returns what waits are multiplied by.
func (s *slowness) factor() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n + 1
}
