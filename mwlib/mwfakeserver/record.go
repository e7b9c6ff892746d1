package mwfakeserver

import (
	"sync/atomic"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwunit"
)

// RequestID identifies one call across all of its attempts. Callers send it in
// the header RequestIDHeader.
type RequestID string

// RequestIDHeader is the header that carries a RequestID.
const RequestIDHeader = "X-Request-Id"

// Record counts the calls that backend servers ran, so that tests can check that
// refused calls were not run and that no call ran twice. Several Backends may
// share a Record.
type Record struct {
	runs    *mwshard.Map[RequestID, mwunit.Attempts]
	keys    *mwshard.Map[mwid.CallKey, mwunit.Attempts]
	started atomic.Int64
	done    atomic.Int64
	shed    atomic.Int64
	givenUp atomic.Int64
	leaving atomic.Int64
}

// NewRecord returns an empty Record.
func NewRecord() *Record {
	return &Record{
		runs: mwshard.New[RequestID, mwunit.Attempts](mwshard.DefaultShards),
		keys: mwshard.New[mwid.CallKey, mwunit.Attempts](mwshard.DefaultShards),
	}
}

// Totals counts the calls of a Record.
type Totals struct {
	// Run counts calls that were started.
	Run int64
	// Done counts calls that completed successfully.
	Done int64
	// Shed counts calls that were refused because the queue was full.
	Shed int64
	// GivenUp counts calls that were cancelled or exceeded their time-out.
	GivenUp int64
	// WhileLeaving counts calls that arrived at a Server that was leaving.
	WhileLeaving int64
}

// Totals returns the counts so far.
func (r *Record) Totals() Totals {
	return Totals{
		Run: r.started.Load(), Done: r.done.Load(), Shed: r.shed.Load(),
		GivenUp: r.givenUp.Load(), WhileLeaving: r.leaving.Load(),
	}
}

// Runs returns how often a call with the given id was started.
func (r *Record) Runs(id RequestID) mwunit.Attempts {
	n, _ := r.runs.Get(id)
	return n
}

// RunsOfKey returns how often a call with key k was started.
func (r *Record) RunsOfKey(k mwid.CallKey) mwunit.Attempts {
	n, _ := r.keys.Get(k)
	return n
}

// DuplicateKeys returns the keys under which more than one call was started.
func (r *Record) DuplicateKeys() []mwid.CallKey {
	var ks []mwid.CallKey
	r.keys.Range(func(k mwid.CallKey, n mwunit.Attempts) bool {
		if n > 1 {
			ks = append(ks, k)
		}
		return true
	})
	return ks
}

// begin counts the start of a call.
func (r *Record) begin(id RequestID, k mwid.CallKey) {
	r.started.Add(1)
	increment(r.runs, id)
	increment(r.keys, k)
}

// increment increments the count of k in m. It ignores the empty key.
func increment[K ~string](m *mwshard.Map[K, mwunit.Attempts], k K) {
	if k == "" {
		return
	}
	m.Update(k, func(n mwunit.Attempts, _ bool) (mwunit.Attempts, bool) { return n + 1, true })
}
