// Package mwclient implements the caller side of a load test: it sends requests
// to nodes, retries them as configured, and compares refusals with what the
// backend servers ran.
package mwclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"mustardwheel.example/mwbench/internal/mwload"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwfakeserver"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// Request describes the requests of one kind. A request may take several
// attempts.
type Request struct {
	Service mwid.ServiceName
	Method  string
	Path    string
	Caller  mwid.CallerName
	// Keyed means that each request has its own key, the same in all its
	// attempts.
	Keyed bool
	// Timeout bounds the request, including all its attempts.
	Timeout time.Duration
	// AttemptTimeout bounds one attempt; 0 means Timeout.
	AttemptTimeout time.Duration
	// MaxAttempts is the maximum number of attempts; values below 1 mean 1.
	MaxAttempts mwunit.Attempts
	// RetryDelay is the time between two attempts.
	RetryDelay time.Duration
}

// Client sends requests to a set of entry points and records the answers. It
// records the attempts that were refused, so that FalseRefusals can check them
// against what the backend servers ran. It is safe for concurrent use.
type Client struct {
	http      *http.Client
	entries   []mwid.Address
	refused   *mwshard.Map[mwfakeserver.RequestID, struct{}]
	answers   *mwshard.Map[Answer, int]
	truncated atomic.Int64
}

// Limits on idle connections to one entry point.
const (
	idleConnections = 1024
	idleTimeout     = time.Minute
)

// New returns a Client for entries, and a function that closes its idle
// connections.
func New(entries ...mwid.Address) (*Client, func()) {
	t := &http.Transport{
		MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	c := &Client{
		http: &http.Client{Transport: t}, entries: entries,
		refused: mwshard.New[mwfakeserver.RequestID, struct{}](mwshard.DefaultShards),
		answers: mwshard.New[Answer, int](mwshard.DefaultShards),
	}
	return c, t.CloseIdleConnections
}

// Do sends request s as described by q, with retries.
func (c *Client) Do(ctx context.Context, q Request, s mwload.Arrival) mwload.Outcome {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	var o mwload.Outcome
	for o.Attempts < max(q.MaxAttempts, 1) {
		a := attempt{c: c, q: q, id: string(s.Kind) + "-" + strconv.Itoa(int(s.Number)), n: o.Attempts}
		o.Attempts++
		var retry bool
		o.OK, o.Work, retry = a.runWithTimeout(ctx)
		if o.OK || !retry || !mwtimer.Sleep(ctx, q.RetryDelay) {
			return o
		}
	}
	return o
}

// attempt is one attempt of a request.
type attempt struct {
	c  *Client
	q  Request
	id string
	n  mwunit.Attempts
}

// requestID returns an ID that differs between the attempts of a request.
func (a *attempt) requestID() mwfakeserver.RequestID {
	return mwfakeserver.RequestID(a.id + "." + strconv.Itoa(int(a.n)))
}

// runWithTimeout runs the attempt within its AttemptTimeout, if there is one.
func (a *attempt) runWithTimeout(ctx context.Context) (ok bool, work time.Duration, retry bool) {
	if a.q.AttemptTimeout == 0 {
		return a.run(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, a.q.AttemptTimeout)
	defer cancel()
	return a.run(ctx)
}

// run makes the attempt; retry reports whether another one may help.
func (a *attempt) run(ctx context.Context) (ok bool, work time.Duration, retry bool) {
	r, err := a.request(ctx)
	if err != nil {
		return false, 0, false
	}
	res, err := a.c.http.Do(r)
	if err != nil {
		return false, 0, true
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		if !errors.Is(err, context.DeadlineExceeded) {
			a.c.truncated.Add(1)
		}
		return false, 0, true
	}
	a.c.countAnswer(newAnswer(a.q.Service, res))
	if res.Header.Get("Mw-Outcome") == "NotRun" {
		a.c.refused.Set(a.requestID(), struct{}{})
	}
	work, _ = time.ParseDuration(res.Header.Get(mwfakeserver.WorkHeader))
	return res.StatusCode == http.StatusOK, work, true
}

// request returns the HTTP request of the attempt. Its entry point depends on
// the request's ID and the number of the attempt alone, so that all arms use
// the same entry points.
func (a *attempt) request(ctx context.Context) (*http.Request, error) {
	var sum int
	for _, b := range []byte(a.id) {
		sum = sum*31 + int(b)
	}
	entry := a.c.entries[(uint(sum)+uint(a.n))%uint(len(a.c.entries))]
	r, err := http.NewRequestWithContext(ctx, a.q.Method, "http://"+string(entry)+a.q.Path, nil)
	if err != nil {
		return nil, err
	}
	h := r.Header
	h.Set("Mw-Service", string(a.q.Service))
	h.Set("Mw-Caller", string(a.q.Caller))
	h.Set(mwfakeserver.RequestIDHeader, string(a.requestID()))
	if t, ok := ctx.Deadline(); ok {
		h.Set("Mw-Timeout", max(time.Until(t), time.Millisecond).String())
	}
	if a.q.Keyed {
		h.Set("Mw-Key", a.id)
	}
	if a.n == 0 {
		h.Set("Mw-First", "1")
	} else {
		h.Set("Mw-Resubmitted", "1")
	}
	return r, nil
}

// FalseRefusals returns the attempts that were answered NotRun although rec
// shows that they ran.
func (c *Client) FalseRefusals(rec *mwfakeserver.Record) []mwfakeserver.RequestID {
	var out []mwfakeserver.RequestID
	c.refused.Range(func(id mwfakeserver.RequestID, _ struct{}) bool {
		if rec.Runs(id) > 0 {
			out = append(out, id)
		}
		return true
	})
	return out
}

// Refused returns the number of attempts that were answered NotRun.
func (c *Client) Refused() int { return c.refused.Len() }

// Truncated returns the number of answers that broke off before their end for a
// reason other than the caller's own timeout.
func (c *Client) Truncated() int64 { return c.truncated.Load() }

// Answer is a kind of answer to an attempt.
type Answer struct {
	Service mwid.ServiceName
	Status  int
	// Code is mwcode.OK if a backend server answered.
	Code mwcode.Code
}

func newAnswer(s mwid.ServiceName, res *http.Response) Answer {
	// Only answers by a node have a code.
	n, _ := strconv.Atoi(res.Header.Get("Mw-Code"))
	return Answer{Service: s, Status: res.StatusCode, Code: mwcode.Code(n)}
}

func (c *Client) countAnswer(a Answer) {
	c.answers.Update(a, func(n int, _ bool) (int, bool) { return n + 1, true })
}

// Answers calls f with each kind of answer and the number of attempts that
// received it.
func (c *Client) Answers(f func(a Answer, n int)) {
	c.answers.Range(func(a Answer, n int) bool {
		f(a, n)
		return true
	})
}
