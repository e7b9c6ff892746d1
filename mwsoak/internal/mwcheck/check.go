// Package mwcheck checks the guarantees of a system against what its callers
// and backend servers observe. Its caller reports each event to a Checker as it
// is observed; the package itself handles neither processes nor messages.
package mwcheck

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
)

// Promise is the name of a guarantee of the system.
type Promise string

// The guarantees that a Checker checks.
const (
	// Once: a request that is not repeatable runs at most once.
	Once Promise = "Once"
	// Refusal: a request reported to its caller as not run has not run and never
	// will.
	Refusal Promise = "Refusal"
	// Whole: a response is complete, and is the one that the backend server gave
	// to this request.
	Whole Promise = "Whole"
	// Drain: a backend server gets no request later than Bounds.Drain after its
	// node has acknowledged that the backend server is leaving.
	Drain Promise = "Drain"
	// Forward: a node does not go back to an older configuration within one
	// incarnation.
	Forward Promise = "Forward"
	// Current: a node serves the newest configuration that was acknowledged longer
	// ago than Bounds.Apply.
	Current Promise = "Current"
	// Recovery: requests are served again after the last fault has ended.
	Recovery Promise = "Recovery"
)

// Violation is one observed breach of a guarantee.
type Violation struct {
	Promise Promise
	Subject string // Subject is the id of the request, backend server or node.
	Detail  string
	At      time.Time
}

// Bounds are the time limits of the guarantees.
type Bounds struct {
	// Drain is the maximum time from the acknowledgement of a leave to the
	// last request; 0 disables the check.
	Drain time.Duration
	// Contact is the time without faults after which Drain is checked: during a
	// fault and shortly after it, the nodes may not be able to reach each other.
	Contact time.Duration
	// Apply is the maximum time from the acknowledgement of a change of the
	// configuration until it is in force at all nodes; 0 disables the check.
	Apply time.Duration
	// Settle is the time without faults after which Apply is checked.
	Settle time.Duration
}

// Checker records observed events and the violations found in them. Requests
// that are not repeatable are kept in shards by their id; all other state is
// under one lock.
type Checker struct {
	bounds   Bounds
	requests *mwshard.Map[mwid.RequestID, request]

	mu           sync.Mutex
	leaveAcked   map[string]time.Time // leaveAcked is when the leave of a backend server was acknowledged.
	lastFaultEnd time.Time
	activeFaults int
	versions     map[Incarnation]observedVersion
	changes      []change // changes are in the order of their versions.
	violations   []Violation
	broken       map[Promise]int
	counts       Counts
}

// Incarnation is one run of a node's process, from its start to its end. Start
// counts the starts of the node's process.
type Incarnation struct {
	Node  int
	Start int
}

// observedVersion is the newest configuration seen in force in an incarnation.
type observedVersion struct {
	version int
	at      time.Time // at is when the response that showed it arrived.
}

// request is the state of a request that is not repeatable.
type request struct {
	runs         int
	lastInstance string
	refused      bool
}

// Counts are the numbers of observed events.
type Counts struct {
	Asked    int
	Good     int
	Refused  int
	Failed   int
	Ran      int
	Versions int
	Left     int
}

// New returns a Checker without recorded events.
func New(b Bounds) *Checker {
	return &Checker{
		bounds: b, requests: mwshard.New[mwid.RequestID, request](mwshard.DefaultShards),
		leaveAcked: make(map[string]time.Time), versions: make(map[Incarnation]observedVersion),
		broken: make(map[Promise]int),
	}
}

// Fault records the start of a fault. The returned function records its end.
func (c *Checker) Fault() func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults++
	var once sync.Once
	return func() {
		once.Do(func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.activeFaults--
			c.lastFaultEnd = time.Now()
		})
	}
}

// faultFree reports whether no fault is active and the last one ended at least
// d before at. The caller holds c.mu.
func (c *Checker) faultFree(at time.Time, d time.Duration) bool {
	return c.activeFaults == 0 && at.Sub(c.lastFaultEnd) >= d
}

// maxViolationsPerPromise is the maximum number of violations of each guarantee
// that are kept with their details; further ones are only counted.
const maxViolationsPerPromise = 5

func (c *Checker) addViolation(p Promise, subject, format string, args ...any) {
	c.broken[p]++
	if c.broken[p] <= maxViolationsPerPromise {
		c.violations = append(c.violations, Violation{p, subject, fmt.Sprintf(format, args...), time.Now()})
	}
}

// Ran records that a backend server began to run a request at the given time.
// The instance names one start of the backend server.
func (c *Checker) Ran(id mwid.RequestID, instance string, mayRepeat bool, at time.Time) {
	var r request
	if !mayRepeat {
		c.requests.Update(id, func(x request, _ bool) (request, bool) {
			r = x
			x.runs++
			x.lastInstance = instance
			return x, true
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Ran++
	if r.runs > 0 {
		c.addViolation(Once, string(id), "ran at %s and at %s", r.lastInstance, instance)
	}
	if r.refused {
		c.addViolation(Refusal, string(id), "ran at %s after its caller was told that it had not run", instance)
	}
	if acked, ok := c.leaveAcked[instance]; ok && c.bounds.Drain > 0 && at.Sub(acked) > c.bounds.Drain && c.faultFree(at, c.bounds.Contact) {
		c.addViolation(Drain, instance, "got request %s %v after the leave was acknowledged", id, at.Sub(acked))
	}
}

// LeaveAcked records when a node acknowledged that a backend server is leaving.
// The instance is the one passed to Ran.
func (c *Checker) LeaveAcked(instance string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaveAcked[instance] = at
	c.counts.Left++
}

// Answer is the outcome of a request as its caller observed it.
type Answer struct {
	Good   bool
	NotRun bool   // NotRun reports whether the status guarantees that the request did not run.
	Wrong  string // Wrong describes the error in the response, empty if there is none.
}

// Answered records the outcome of a request.
func (c *Checker) Answered(id mwid.RequestID, mayRepeat bool, a Answer) {
	var r request
	if a.NotRun && !mayRepeat {
		c.requests.Update(id, func(x request, _ bool) (request, bool) {
			x.refused = true
			r = x
			return x, true
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Asked++
	switch {
	case a.Good:
		c.counts.Good++
	case a.NotRun:
		c.counts.Refused++
	default:
		c.counts.Failed++
	}
	if r.runs > 0 {
		c.addViolation(Refusal, string(id), "reported as not run after it ran at %s", r.lastInstance)
	}
	if a.Wrong != "" {
		c.addViolation(Whole, string(id), "%s", a.Wrong)
	}
}

// InForce records that a response showed version in force at a node; sent is when
// the request was sent. Requests overlap, so an older version is a violation
// of Forward only if its request was sent after the newer version was observed.
func (c *Checker) InForce(inc Incarnation, version int, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Versions++
	s := c.versions[inc]
	if version < s.version && sent.After(s.at) {
		c.addViolation(Forward, fmt.Sprintf("node %d", inc.Node), "version %d after version %d", version, s.version)
	}
	c.checkCurrent(inc, version, sent)
	if version > s.version {
		c.versions[inc] = observedVersion{version, time.Now()}
	}
}

// Recovered records how many of the requests sent after the last fault
// succeeded. Fewer than minRatio of them is a violation of Recovery.
func (c *Checker) Recovered(good, asked int, minRatio float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asked == 0 || float64(good) < minRatio*float64(asked) {
		c.addViolation(Recovery, "system", "%d of %d requests were served after the faults", good, asked)
	}
}

// Result returns the recorded violations, the number of violations of each
// guarantee, and the numbers of observed events.
func (c *Checker) Result() ([]Violation, map[Promise]int, Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations), maps.Clone(c.broken), c.counts
}
