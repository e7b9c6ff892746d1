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
	// pause is the longest time between two requests of a caller.
	pause = 30 * time.Millisecond
	// patience is how long a caller waits; routeTimeout is what the operator
	// allows.
	patience     = 2 * time.Second
	routeTimeout = 1500 * time.Millisecond
	// leaves is the part of the requests whose caller leaves before the answer.
	leaves = 0.03
	// probePeriod is the time between two questions for a node's configuration.
	probePeriod = 40 * time.Millisecond
)

func versionPath(v int) string { return fmt.Sprintf("/v%d/", v) }

// newClient returns the client of one caller, which keeps its connections
// until the node is gone.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true}}
}

// call makes the requests of one caller.
func (s *Scene) call(ctx context.Context, n *node) {
	c := newClient()
	defer c.CloseIdleConnections()
	for mwtimer.Sleep(ctx, rand.N(pause)) {
		path := browsePath
		if rand.N(2) == 0 {
			path = orderPath
		}
		s.askBy(c, n, path, rand.Float64() < leaves)
	}
}

// ask makes one request of a new caller.
func (s *Scene) ask(n *node, path string, leave bool) mwstandin.Result {
	c := newClient()
	defer c.CloseIdleConnections()
	return s.askBy(c, n, path, leave)
}

func (s *Scene) askBy(c *http.Client, n *node, path string, leave bool) mwstandin.Result {
	id, order := s.ids.next(), path == orderPath
	q := mwstandin.Request{
		Entry: n.entry(), Host: host, Path: path + id, ID: id, Method: http.MethodGet,
		Wait: patience, Client: c,
	}
	if order {
		q.Method = http.MethodPost
	}
	ctx := context.Background() // A request ends by its own time.
	if leave {
		var cancel func()
		ctx, cancel = context.WithTimeout(ctx, rand.N(2*workMost))
		defer cancel()
	}
	r := mwstandin.Ask(ctx, q)
	s.check.Answered(mwid.RequestID(id), !order, mwcheck.Answer{Good: r.Good(), NotRun: r.NotRun, Wrong: r.Wrong})
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
		life, sent := n.life(), time.Now()
		r := s.askBy(c, n, versionPath(v), false)
		if r.Good() && life == n.life() {
			s.check.InForce(life, v, sent)
		}
	}
}

// probedVersions is how many of the latest configurations probes ask for.
const probedVersions = 3

// workMost is the longest time that a backend server works on a request.
const workMost = 60 * time.Millisecond

// work returns how long a request takes: a few take long.
func work() time.Duration {
	if rand.N(20) == 0 {
		return rand.N(workMost)
	}
	return rand.N(workMost / 10)
}
