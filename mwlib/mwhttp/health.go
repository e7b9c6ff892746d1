package mwhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwconn"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwtimer"
)

// Limits of a health check. The platform's backend servers wait one second for the
// acknowledgement of an announcement, which the check may be part of.
const (
	// healthTimeout bounds a request to the health path.
	healthTimeout = 500 * time.Millisecond
	// startupWait bounds the wait for the first configuration of the node and for
	// the listener of the backend server, both of which may have just started.
	startupWait = 400 * time.Millisecond
	// startupPeriod is the time between two attempts while waiting.
	startupPeriod = 20 * time.Millisecond
)

// healthClient does not keep connections open: the process of a node rarely checks
// the health of its backend server more than once, after the start of the process.
var healthClient = &http.Client{
	Timeout: healthTimeout,
	Transport: mwconn.AnswerTransport{Transport: &http.Transport{
		DisableKeepAlives: true, MaxResponseHeaderBytes: mwconn.MaxHead,
	}},
}

// HealthChecker checks the health of backend servers by a GET of the configured
// HealthPath of their service. A backend server is healthy if it responds with status
// 200 and the id of the instance that announced itself.
type HealthChecker struct {
	Kernel *mwkernel.Kernel
	// InstanceHeader is the header with the id of the instance that responds.
	InstanceHeader string
	// NotRunHeader is the header of a response that rejects the request.
	NotRunHeader string
}

// Check is a mwkernel.HealthCheck. It waits for what the check needs and takes at most
// 900 ms.
func (c HealthChecker) Check(ctx context.Context, a mwcall.Announcement) mwkernel.Health {
	ctx, cancel := context.WithTimeout(ctx, startupWait+healthTimeout)
	defer cancel()
	deadline := time.Now().Add(startupWait)
	for {
		h, ready := c.try(ctx, a)
		if ready || !time.Now().Before(deadline) || !mwtimer.Sleep(ctx, startupPeriod) {
			return h
		}
	}
}

// try checks the health of the backend server that a announces once. It also returns
// whether the check was possible: the node has a configuration, and the backend server
// accepts connections.
func (c HealthChecker) try(ctx context.Context, a mwcall.Announcement) (h mwkernel.Health, ready bool) {
	s := c.Kernel.Configuration().Snapshot()
	if s == nil {
		return mwkernel.HealthUnknown, false
	}
	path := s.ServiceOf(a.Service).HealthPath
	if path == "" {
		return mwkernel.HealthUnknown, true
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(a.Address)+path, nil)
	if err != nil {
		return mwkernel.HealthUnknown, true
	}
	resp, err := healthClient.Do(r)
	if err != nil {
		h = healthOfError(err)
		return h, h != mwkernel.HealthGone
	}
	defer resp.Body.Close()
	return c.healthOf(resp, a.Instance), true
}

// healthOf returns the health of instance id that resp tells.
func (c HealthChecker) healthOf(resp *http.Response, id mwid.InstanceID) mwkernel.Health {
	instance := mwid.InstanceID(resp.Header.Get(c.InstanceHeader))
	rejected := resp.Header.Get(c.NotRunHeader) != ""
	switch {
	case rejected && (instance == id || instance == ""):
		return mwkernel.HealthUnknown // It has no free slot for the check.
	case instance != id:
		return mwkernel.HealthGone
	case resp.StatusCode == http.StatusOK:
		return mwkernel.HealthGood
	}
	return mwkernel.HealthLeaving
}

// healthOfError distinguishes a backend server that does not run from one that
// is slow: a dial error other than a time-out means that nothing listens at the
// address.
func healthOfError(err error) mwkernel.Health {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && !op.Timeout() {
		return mwkernel.HealthGone
	}
	return mwkernel.HealthUnknown
}
