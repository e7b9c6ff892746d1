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

// Parameters of the load.
const (
	// callersPerNode is the number of concurrent callers of each node. Half of
	// their requests are orders, which are not repeatable.
	callersPerNode = 6
	// maxThinkTime is the maximum time between two requests of a caller.
	maxThinkTime = 30 * time.Millisecond
	// callerTimeout is how long a caller waits for a response; routeTimeout is
	// the timeout that the operator sets for a route.
	callerTimeout = 2 * time.Second
	routeTimeout  = 1500 * time.Millisecond
	// abandonRatio is the fraction of the requests whose caller disconnects
	// after a random time of up to 2*maxWork if no response has arrived by then.
	abandonRatio = 0.03
	// probePeriod is the time between two probes of a node's configuration.
	probePeriod = 40 * time.Millisecond
)

func versionPath(v int) string { return fmt.Sprintf("/v%d/", v) }

// newClient returns an HTTP client for one caller. It keeps its connections
// open for as long as the node does.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true}}
}

// runCaller sends the requests of one caller until ctx is done.
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

// sendOnce sends one request on a connection of its own.
func (s *Scene) sendOnce(n *node, path string, abandon bool) mwstandin.Result {
	c := newClient()
	defer c.CloseIdleConnections()
	return s.send(c, n, path, abandon)
}

// send sends one request by client c, reports the outcome to the checker and
// returns it. If abandon is set, the caller disconnects after a random time.
func (s *Scene) send(c *http.Client, n *node, path string, abandon bool) mwstandin.Result {
	id, order := s.ids.next(), path == orderPath
	q := mwstandin.Request{
		Entry: n.entry(), Host: host, Path: path + id, ID: id, Method: http.MethodGet,
		Wait: callerTimeout, Client: c,
	}
	if order {
		q.Method = http.MethodPost
	}
	ctx := context.Background() // The end of the load does not cancel a request.
	if abandon {
		var cancel func()
		ctx, cancel = context.WithTimeout(ctx, rand.N(2*maxWork))
		defer cancel()
	}
	r := mwstandin.Ask(ctx, q)
	s.checker.Answered(mwid.RequestID(id), !order, mwcheck.Answer{Good: r.Good(), NotRun: r.NotRun, Wrong: r.Mismatch})
	return r
}

// probe periodically requests a route that exists in one version of the
// configuration only, and reports the versions in force to the checker. A
// response counts only if the process of the node did not restart meanwhile.
func (s *Scene) probe(ctx context.Context, n *node) {
	c := newClient()
	defer c.CloseIdleConnections()
	for mwtimer.Sleep(ctx, probePeriod) {
		v := s.newest()
		v -= rand.N(min(probedVersions, v))
		inc, sent := n.incarnation(), time.Now()
		r := s.send(c, n, versionPath(v), false)
		switch {
		case inc != n.incarnation():
		case r.Good():
			s.checker.InForce(inc, v, sent)
		case r.Status == http.StatusNotFound && v == s.newest():
			s.checker.NotInForce(inc, v, sent)
		}
	}
}

// probedVersions is the number of most recent configurations that probes
// request.
const probedVersions = 3

// maxWork is the maximum time that a backend server works on a request.
const maxWork = 60 * time.Millisecond

// workTime returns a random service time: up to maxWork for one request in 20,
// and up to a tenth of that for the others.
func workTime() time.Duration {
	if rand.N(20) == 0 {
		return rand.N(maxWork)
	}
	return rand.N(maxWork / 10)
}
