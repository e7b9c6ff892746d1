package mwhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwhttp"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
)

// code returns the code in the headers of an answer, "" if it has none.
func code(resp *http.Response) string { return resp.Header.Get(mwhttp.HeaderCode) }

func want(c mwcode.Code) string { return fmt.Sprint(int(c)) }

func TestRefusalsTellTheTruth(t *testing.T) {
	tests := []struct {
		name    string
		backend http.HandlerFunc
		code    mwcode.Code
		outcome string
	}{{
		name:    "plain 503",
		backend: func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		code:    mwcode.BackendUnavailable, outcome: "OutcomeUnknown",
	}, {
		name: "503 with the statement that it did not run",
		backend: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(mwhttp.HeaderNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		code: mwcode.BackendFull, outcome: "NotRun",
	}, {
		name:    "connection lost after the request arrived",
		backend: func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) },
		code:    mwcode.ConnectionLost, outcome: "OutcomeUnknown",
	}, {
		name: "silence until the deadline",
		backend: func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body) // net/http detects a disconnected caller only after this.
			<-r.Context().Done()
		},
		code: mwcode.Silent, outcome: "OutcomeUnknown",
	}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newStack(t, test.backend)
			r := s.request(c, "POST", "/orders", strings.NewReader("order"))
			r.Header.Set(mwhttp.HeaderTimeout, "300ms")
			resp, _ := do(c, r)
			c.Assert(code(resp), qt.Equals, want(test.code))
			c.Assert(resp.Header.Get(mwhttp.HeaderOutcome), qt.Equals, test.outcome)
		})
	}
}

func TestBackendThatIsGoneDidNotRun(t *testing.T) {
	c := qt.New(t)
	s := newStack(t, http.NotFoundHandler())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := mwid.Address(ln.Addr().String())
	ln.Close()
	c.Assert(s.target.Announce(mwcall.Announcement{
		Service: service, Address: addr, Slots: 1, Connections: 1, TTL: mwkernel.MaxTTL,
	}), qt.IsNil)
	resp, _ := do(c, s.request(c, "POST", "/orders", strings.NewReader("order")))
	c.Assert(code(resp), qt.Equals, want(mwcode.ConnectFailed))
	c.Assert(resp.Header.Get(mwhttp.HeaderOutcome), qt.Equals, "NotRun")
}

// closer is a backend server that answers the first request on a connection
// and closes the connection after reading the second.
type closer struct {
	ln       net.Listener
	requests atomic.Int32
}

func newCloser(c *qt.C) *closer {
	b := &closer{}
	b.ln = accept(c, b.serve)
	return b
}

// accept listens on loopback and serves each connection in a goroutine until
// the test ends.
func accept(c *qt.C, serve func(net.Conn)) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return ln
}

func (b *closer) serve(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for first := true; ; first = false {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		b.requests.Add(1)
		if !first {
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// net/http's Transport resends a request by itself when a reused connection
// breaks. A call that may have run must never run again that way.
func TestTransportDoesNotReplay(t *testing.T) {
	tests := []struct {
		name   string
		method string
		body   string
		header string
	}{
		{name: "GET", method: "GET"},
		{name: "POST without a body and with Idempotency-Key", method: "POST", header: "Idempotency-Key"},
		{name: "POST with a body and X-Idempotency-Key", method: "POST", body: "order", header: "X-Idempotency-Key"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newCloser(c)
			s := newStack(t, http.NotFoundHandler())
			c.Assert(s.target.Announce(mwcall.Announcement{
				Service: service, Address: mwid.Address(b.ln.Addr().String()),
				Slots: 1, Connections: 1, TTL: mwkernel.MaxTTL,
			}), qt.IsNil)
			for _, wantCode := range []string{"", want(mwcode.ConnectionLost)} {
				r := s.request(c, test.method, "/", strings.NewReader(test.body))
				if test.header != "" {
					r.Header.Set(test.header, "k")
				}
				resp, _ := do(c, r)
				c.Assert(code(resp), qt.Equals, wantCode)
			}
			c.Assert(b.requests.Load(), qt.Equals, int32(2))
		})
	}
}

func TestKeyedOrderRunsOnceAndItsAnswerIsKept(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int32
	s := newStack(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Order", "7")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, "run ", runs.Add(1))
	}))
	for range 3 {
		r := s.request(c, "POST", "/orders", strings.NewReader("order"))
		r.Header.Set(mwhttp.HeaderKey, "key-1")
		resp, body := do(c, r)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusCreated)
		c.Assert(resp.Header.Get("X-Order"), qt.Equals, "7")
		c.Assert(body, qt.Equals, "run 1")
	}
}

func TestDrainRefusesNewAndFinishesOld(t *testing.T) {
	c := qt.New(t)
	started, finish := make(chan struct{}), make(chan struct{})
	s := newStack(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-finish
		io.WriteString(w, "whole")
	}))
	old := make(chan string)
	go func() {
		_, body := do(c, s.request(c, "GET", "/old", nil))
		old <- body
	}()
	<-started
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.Assert(s.target.Drain(ctx), qt.ErrorIs, context.Canceled)
	resp, _ := do(c, s.request(c, "POST", "/new", nil))
	c.Assert(code(resp), qt.Equals, want(mwcode.Draining))
	close(finish)
	c.Assert(<-old, qt.Equals, "whole")
	c.Assert(s.target.Drain(t.Context()), qt.IsNil)
}

// The refusal of a call with a key says nothing about earlier attempts with that
// key, unless the caller declares that there were none.
func TestRefusalOfARepetitionProvesNothing(t *testing.T) {
	tests := []struct {
		name    string
		header  http.Header
		code    mwcode.Code
		outcome string
	}{
		{"no key", http.Header{}, mwcode.Draining, "NotRun"},
		{"first with its key", http.Header{mwhttp.HeaderKey: {"k"}, mwhttp.HeaderFirst: {"1"}}, mwcode.Draining, "NotRun"},
		{"maybe not the first", http.Header{mwhttp.HeaderKey: {"k"}}, mwcode.KeyUnproven, "OutcomeUnknown"},
		{"repetition", http.Header{mwhttp.HeaderKey: {"k"}, mwhttp.HeaderResubmitted: {"1"}}, mwcode.KeyUnproven, "OutcomeUnknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newStack(t, http.NotFoundHandler())
			c.Assert(s.target.Drain(t.Context()), qt.IsNil)
			r := s.request(c, "POST", "/orders", strings.NewReader("order"))
			maps.Copy(r.Header, test.header)
			resp, _ := do(c, r)
			c.Assert(code(resp), qt.Equals, want(test.code))
			c.Assert(resp.Header.Get(mwhttp.HeaderOutcome), qt.Equals, test.outcome)
		})
	}
}
