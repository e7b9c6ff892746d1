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
	updateKind
	exportKind
	relayKind
	exchangeKind
	numKinds
)

// kindNames are the names of the kinds in metrics.
var kindNames = [numKinds]string{"ping", "via", "news", "export", "relay", "exchange"}

// stats are the counters of a Gossip.
type stats struct {
	messages   [numKinds]*metrics.Counter
	bytes      [numKinds]*metrics.Counter
	failures   [numKinds]*metrics.Counter
	suspicions *metrics.Counter
	deaths     *metrics.Counter
	refuted    *metrics.Counter
	invalid    *metrics.Counter
}

func newStats(s *metrics.Set) *stats {
	st := &stats{
		suspicions: s.GetOrCreateCounter("mw_member_suspicions_total"),
		deaths:     s.GetOrCreateCounter("mw_member_deaths_total"),
		refuted:    s.GetOrCreateCounter("mw_member_refutations_total"),
		invalid:    s.GetOrCreateCounter("mw_member_invalid_total"),
	}
	for k, n := range kindNames {
		st.messages[k] = s.GetOrCreateCounter(fmt.Sprintf(`mw_member_messages_total{kind=%q}`, n))
		st.bytes[k] = s.GetOrCreateCounter(fmt.Sprintf(`mw_member_bytes_total{kind=%q}`, n))
		st.failures[k] = s.GetOrCreateCounter(fmt.Sprintf(`mw_member_failures_total{kind=%q}`, n))
	}
	return st
}

// countSent counts a request of kind k and its answer, n bytes together. Only
// the requesting side counts them.
func (s *stats) countSent(k kind, n mwunit.Bytes) {
	s.messages[k].Inc()
	s.bytes[k].Add(int(n))
}

// slowness estimates how slow this node itself is, from 0 to maxSlowness. It rises
// when a probe gets no answer from any node, and when this node receives the
// opinion that it is suspect or dead itself. It falls when a neighbour answers a
// direct ping. Timeouts are multiplied by slowness+1, so that a node that is short
// of processor time does not declare its neighbours dead.
type slowness struct {
	mu sync.Mutex
	n  int
}

const maxSlowness = 8

// add adds d to s and limits the result to 0 to maxSlowness.
func (s *slowness) add(d int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n = min(max(s.n+d, 0), maxSlowness)
}

// factor returns the factor by which timeouts are multiplied.
func (s *slowness) factor() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n + 1
}
