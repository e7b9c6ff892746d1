package mwscene

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwsoak/internal/mwcheck"
	"mustardwheel.example/platform/mwstandin"
)

const (
	browsePath = "/browse/"
	orderPath  = "/order/"
)

// Load of a run.
const (
	// callersPerNode is how many callers a node has. Half of their requests
	// are orders, which must not repeat.
	callersPerNode = 6
	// maxThinkTime is the longest time between two requests of a caller.
	maxThinkTime = 30 * time.Millisecond
	// callerTimeout is how long a caller waits; routeTimeout is what the operator
	// allows.
	callerTimeout = 2 * time.Second
	routeTimeout  = 1500 * time.Millisecond
	// abandonRatio is the part of the requests whose caller leaves before the answer.
	abandonRatio = 0.03
	// probePeriod is the time between two questions for a node's configuration.
	probePeriod = 40 * time.Millisecond
)

func versionPath(v int) string { return fmt.Sprintf("/v%d/", v) }

// newClient returns the client of one caller, which keeps its connections
// until the node is gone.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true}}
}

// runCaller makes the requests of one caller.
func (s *Scene) runCaller(ctx context.Context, n *node) {
	c := newClient()
	defer c.CloseIdleConnections()
	for mwtimer.Sleep(ctx, rand.N(maxThinkTime)) {
		path := browsePath
		if rand.N(2) == 0 {
			path = orderPath
		}
		s.send(c, n, path, rand.Float64() < abandonRatio)
	}
}

// sendOnce makes one request of a new caller.
func (s *Scene) sendOnce(n *node, path string, abandon bool) mwstandin.Result {
	c := newClient()
	defer c.CloseIdleConnections()
	return s.send(c, n, path, abandon)
}

func (s *Scene) send(c *http.Client, n *node, path string, abandon bool) mwstandin.Result {
	id, order := s.ids.next(), path == orderPath
	q := mwstandin.Request{
		Entry: n.entry(), Host: host, Path: path + id, ID: id, Method: http.MethodGet,
		Wait: callerTimeout, Client: c,
	}
	if order {
		q.Method = http.MethodPost
	}
	ctx := context.Background() // A request ends by its own time.
	if abandon {
		var cancel func()
		ctx, cancel = context.WithTimeout(ctx, rand.N(2*maxWork))
		defer cancel()
	}
	r := mwstandin.Ask(ctx, q)
	s.checker.Answered(mwid.RequestID(id), !order, mwcheck.Answer{Good: r.Good(), NotRun: r.NotRun, Wrong: r.Wrong})
	return r
}

// probe asks a node for the routes that only one configuration has, and so
// learns which one is in force. Answers of one life of its process count.
func (s *Scene) probe(ctx context.Context, n *node) {
	c := newClient()
	defer c.CloseIdleConnections()
	for mwtimer.Sleep(ctx, probePeriod) {
		s.mu.Lock()
		v := s.version - rand.N(min(probedVersions, s.version))
		s.mu.Unlock()
		inc, sent := n.incarnation(), time.Now()
		r := s.send(c, n, versionPath(v), false)
		if r.Good() && inc == n.incarnation() {
			s.checker.InForce(inc, v, sent)
		}
	}
}

// probedVersions is how many of the latest configurations probes ask for.
const probedVersions = 3

// maxWork is the longest time that a backend server works on a request.
const maxWork = 60 * time.Millisecond

// workTime returns how long a request takes: a few take long.
func workTime() time.Duration {
	if rand.N(20) == 0 {
		return rand.N(maxWork)
	}
	return rand.N(maxWork / 10)
}
