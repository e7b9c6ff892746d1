package mwconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwconn"
	"mustardwheel.example/mwlib/mwmemnet"
)

// The server's own limits, longer than all limits under test.
const (
	serverHeader = time.Hour
	serverIdle   = 2 * time.Hour
)

// fixture is a server with a Listener and one connection to it.
type fixture struct {
	limits atomic.Pointer[mwconn.Limits]
	caller net.Conn
}

func newFixture(c *qt.C, l mwconn.Limits) *fixture {
	r := &fixture{}
	r.limits.Store(&l)
	p := mwmemnet.NewListener()
	srv := &http.Server{
		ReadHeaderTimeout: serverHeader, IdleTimeout: serverIdle,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Minute) // Longer than all limits under test.
			io.Copy(w, r.Body)
		}),
	}
	ln := mwconn.NewListener(p, mwconn.WithLimits(func() mwconn.Limits { return *r.limits.Load() }))
	ln.Attach(srv)
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.Serve(ln)
	}()
	c.Cleanup(func() { srv.Close(); <-done })
	var err error
	r.caller, err = p.Dial(context.Background(), "", "")
	c.Assert(err, qt.IsNil)
	return r
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// roundTrip sends one request and reads its answer.
func (r *fixture) roundTrip(c *qt.C) {
	_, err := io.WriteString(r.caller, request)
	c.Assert(err, qt.IsNil)
	b := make([]byte, 4096)
	n, err := r.caller.Read(b)
	c.Assert(err, qt.IsNil)
	c.Assert(string(b[:n]), qt.Contains, "200 OK")
}

// closedAfter returns how long the server keeps the connection open.
func (r *fixture) closedAfter() time.Duration {
	begin := time.Now()
	io.Copy(io.Discard, r.caller)
	return time.Since(begin)
}

func TestLimits(t *testing.T) {
	limits := mwconn.Limits{Header: 3 * time.Second, Idle: 15 * time.Second}
	for _, test := range []struct {
		name      string
		limits    mwconn.Limits
		requests  int
		part      string
		newLimits *mwconn.Limits
		want      time.Duration
	}{
		{"no request", limits, 0, "", nil, limits.Header},
		{"part of the first header", limits, 0, "GET / HT", nil, limits.Header},
		{"idle after a request", limits, 1, "", nil, limits.Idle},
		{"idle after three requests", limits, 3, "", nil, limits.Idle},
		{"part of a later header", limits, 1, "GET / HT", nil, limits.Header},
		{"no limits: the server's", mwconn.Limits{}, 1, "", nil, serverIdle},
		{"new limits on an open connection", limits, 1, "GET / HT", &mwconn.Limits{Header: time.Second}, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := newFixture(c, test.limits)
				for range test.requests {
					r.roundTrip(c)
				}
				if test.newLimits != nil {
					r.limits.Store(test.newLimits)
				}
				if test.part != "" {
					_, err := io.WriteString(r.caller, test.part)
					c.Assert(err, qt.IsNil)
				}
				c.Check(r.closedAfter(), qt.Equals, test.want)
			})
		})
	}
}

// A request that arrives just within the idle limit must be answered.
func TestReuseWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newFixture(c, mwconn.Limits{Header: time.Second, Idle: 15 * time.Second})
		for range 3 {
			r.roundTrip(c)
			time.Sleep(12 * time.Second)
		}
		r.roundTrip(c)
		r.caller.Close()
	})
}
