// Package mwcheck holds the promises of a system to what its callers and
// backend servers see. It is told of each event when it is seen and knows
// neither processes nor messages.
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

// Promise is what a system promises.
type Promise string

// Promises.
const (
	// Once: a request that must not repeat runs once at the most.
	Once Promise = "Once"
	// Refusal: a request that was said not to have run has not and never will.
	Refusal Promise = "Refusal"
	// Whole: an answer is the whole one that the backend server gave to just
	// that request.
	Whole Promise = "Whole"
	// Drain: a backend server gets no request later than a bound after its
	// node has acknowledged that it leaves.
	Drain Promise = "Drain"
	// Forward: in one life of its process, no node goes back to an older
	// configuration.
	Forward Promise = "Forward"
	// Recovery: requests are served once the faults are over.
	Recovery Promise = "Recovery"
)

// Violation is a promise that was broken.
type Violation struct {
	Promise Promise
	Subject string // Subject is the request, backend server or node.
	Detail  string
	At      time.Time
}

// Bounds are the times that promises name.
type Bounds struct {
	// Drain is the longest time from the acknowledgement to the last request;
	// 0 does not look at it.
	Drain time.Duration
	// Contact is how long a node must have been without a fault for a bound in
	// time to hold for it.
	Contact time.Duration
}

// Checker keeps what was seen, in shards by request.
type Checker struct {
	bounds   Bounds
	requests *mwshard.Map[mwid.RequestID, request]

	mu           sync.Mutex
	leaveAcked   map[string]time.Time // leaveAcked is when backend servers left.
	lastFaultEnd time.Time            // lastFaultEnd is the end of the latest fault.
	activeFaults int
	versions     map[Incarnation]observedVersion
	violations   []Violation
	broken       map[Promise]int
	counts       Counts
}

// Incarnation is one life of a node's process.
type Incarnation struct {
	Node  int
	Start int
}

// observedVersion is the newest configuration that was in force in a life.
type observedVersion struct {
	version int
	at      time.Time // at is when an answer showed it.
}

// request is what was seen of a request that must not repeat.
type request struct {
	runs         int
	lastInstance string
	refused      bool
}

// Counts tells how much was seen.
type Counts struct {
	Asked    int
	Good     int
	Refused  int
	Failed   int
	Ran      int
	Versions int
	Left     int
}

// New returns a Checker without events.
func New(b Bounds) *Checker {
	return &Checker{
		bounds: b, requests: mwshard.New[mwid.RequestID, request](mwshard.DefaultShards),
		leaveAcked: make(map[string]time.Time), versions: make(map[Incarnation]observedVersion),
		broken: make(map[Promise]int),
	}
}

// Fault notes that a fault began; the returned function notes its end.
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

// faultFree tells whether no fault was there for the time of contact before at; the
// caller holds the lock.
func (c *Checker) faultFree(at time.Time) bool {
	return c.activeFaults == 0 && at.Sub(c.lastFaultEnd) >= c.bounds.Contact
}

// maxViolationsPerPromise is how many violations of each promise are kept.
const maxViolationsPerPromise = 5

func (c *Checker) addViolation(p Promise, subject, format string, args ...any) {
	c.broken[p]++
	if c.broken[p] <= maxViolationsPerPromise {
		c.violations = append(c.violations, Violation{p, subject, fmt.Sprintf(format, args...), time.Now()})
	}
}

// Ran notes that the backend server instance began to work on a request at a
// time.
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
		c.addViolation(Refusal, string(id), "ran at %s after it was said not to have run", instance)
	}
	if acked, ok := c.leaveAcked[instance]; ok && c.bounds.Drain > 0 && at.Sub(acked) > c.bounds.Drain && c.faultFree(at) {
		c.addViolation(Drain, instance, "%s reached it %v after the acknowledgement", id, at.Sub(acked))
	}
}

// Left notes when a node acknowledged that a backend server leaves.
func (c *Checker) Left(instance string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaveAcked[instance] = at
	c.counts.Left++
}

// Answer is what a caller got.
type Answer struct {
	Good   bool
	NotRun bool   // NotRun tells that the status promises it.
	Wrong  string // Wrong says what is wrong with the answer.
}

// Answered notes the end of a request.
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
		c.addViolation(Refusal, string(id), "said not to have run, and ran at %s", r.lastInstance)
	}
	if a.Wrong != "" {
		c.addViolation(Whole, string(id), "%s", a.Wrong)
	}
}

// InForce notes that a request that was sent at a time showed that a
// configuration was in force at a node.
func (c *Checker) InForce(inc Incarnation, version int, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Versions++
	s := c.versions[inc]
	if version < s.version && sent.After(s.at) {
		c.addViolation(Forward, fmt.Sprintf("node %d", inc.Node), "version %d after version %d", version, s.version)
	}
	if version > s.version {
		c.versions[inc] = observedVersion{version, time.Now()}
	}
}

// Recovered notes how many of the requests after the last fault were good.
func (c *Checker) Recovered(good, asked int, minRatio float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asked == 0 || float64(good) < minRatio*float64(asked) {
		c.addViolation(Recovery, "system", "%d of %d requests are served after the faults", good, asked)
	}
}

// Result returns the first violations, how often each promise was broken, and
// how much was seen.
func (c *Checker) Result() ([]Violation, map[Promise]int, Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations), maps.Clone(c.broken), c.counts
}
