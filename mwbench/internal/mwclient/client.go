// Package mwclient is a caller: it sends whole requests to nodes, tries again
// where told to, and checks refusals against what backend servers ran.
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

// Request is how the requests of one kind look.
type Request struct {
	Service mwid.ServiceName
	Method  string
	Path    string
	Caller  mwid.CallerName
	// Keyed tells that each request has a key of its own.
	Keyed bool
	// Timeout is the time that the caller waits for the whole, all tries
	// together.
	Timeout time.Duration
	// AttemptTimeout is how long the caller waits for one try; 0 stands for
	// Timeout.
	AttemptTimeout time.Duration
	// MaxAttempts is the greatest number of attempts; below 1 stands for 1.
	MaxAttempts mwunit.Attempts
	// RetryDelay is the time between two attempts.
	RetryDelay time.Duration
}

// Client sends requests to entry points in turn.
type Client struct {
	http      *http.Client
	entries   []mwid.Address
	refused   *mwshard.Map[mwfakeserver.RequestID, struct{}]
	answers   *mwshard.Map[Answer, int]
	truncated atomic.Int64
}

// Bounds of the connections to one entry point.
const (
	idleConnections = 1024
	idleTimeout     = time.Minute
)

// New returns a Client for entries. The returned function closes its
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

// Do makes one whole request as q says.
func (c *Client) Do(ctx context.Context, q Request, s mwload.Arrival) mwload.Outcome {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	var o mwload.Outcome
	for o.Attempts < max(q.MaxAttempts, 1) {
		a := attempt{c: c, q: q, id: string(s.Kind) + "-" + strconv.Itoa(int(s.Number)), n: o.Attempts}
		o.Attempts++
		var again bool
		o.OK, o.Work, again = a.runWithTimeout(ctx)
		if o.OK || !again || !mwtimer.Sleep(ctx, q.RetryDelay) {
			return o
		}
	}
	return o
}

// attempt is one try of one request.
type attempt struct {
	c  *Client
	q  Request
	id string
	n  mwunit.Attempts
}

// requestID tells the tries of one request apart.
func (a *attempt) requestID() mwfakeserver.RequestID {
	return mwfakeserver.RequestID(a.id + "." + strconv.Itoa(int(a.n)))
}

// runWithTimeout runs the try within its own timeout.
func (a *attempt) runWithTimeout(ctx context.Context) (ok bool, work time.Duration, again bool) {
	if a.q.AttemptTimeout == 0 {
		return a.run(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, a.q.AttemptTimeout)
	defer cancel()
	return a.run(ctx)
}

// run makes the try; again tells whether another one may help.
func (a *attempt) run(ctx context.Context) (ok bool, work time.Duration, again bool) {
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

// request returns the HTTP request of the try. Its entry point follows from
// the request's id, so that all arms use the same.
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

// FalseRefusals returns the tries that were answered "not run" although rec
// says that they ran.
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

// Refused returns how many tries were answered "not run".
func (c *Client) Refused() int { return c.refused.Len() }

// Truncated returns how many answers broke before their end, other than by the
// caller's own timeout.
func (c *Client) Truncated() int64 { return c.truncated.Load() }

// Answer is a kind of answer that a try got.
type Answer struct {
	Service mwid.ServiceName
	Status  int
	// Code is mwcode.OK for an answer by a backend server.
	Code mwcode.Code
}

func newAnswer(s mwid.ServiceName, res *http.Response) Answer {
	// An answer without a code is one by a backend server.
	n, _ := strconv.Atoi(res.Header.Get("Mw-Code"))
	return Answer{Service: s, Status: res.StatusCode, Code: mwcode.Code(n)}
}

func (c *Client) countAnswer(a Answer) {
	c.answers.Update(a, func(n int, _ bool) (int, bool) { return n + 1, true })
}

// Answers calls f with each kind of answer and how many tries got it.
func (c *Client) Answers(f func(a Answer, n int)) {
	c.answers.Range(func(a Answer, n int) bool {
		f(a, n)
		return true
	})
}
